/** Chooses the engines that this host asks for a load report. */
import {type Engine} from '../../types/configuration.js';
import {type State} from '../../types/state.js';
import {firstChoices, hashText} from '../../utils/hashes.js';
import {servingHosts} from '../membership/queries.js';
import {view} from '../upstreams/queries.js';

/** Milliseconds after which a report that another host should have brought is read by this one. */
const overdueAgeMs = 5000;

/**
 * @param state - Core state.
 * @returns Engines of this host's own failure domain.
 */
export function ownEngines(state: State): readonly Engine[] {
	return (state.configuration.inForce?.upstreams ?? [])
		.filter(upstream => upstream.kind === 'engine')
		.filter(engine => engine.failureDomain === state.self.failureDomain);
}

/**
 * Each engine is read by one host of its failure domain, chosen alike by all; the others read it only when no report of it
 * comes.
 *
 * @param state - Core state.
 * @param now - Monotonic time in milliseconds.
 * @param interval - Milliseconds between two reports of one engine.
 * @returns Engines to read now, those whose report is oldest first.
 */
export function readingsDue(state: State, now: number, interval: number): readonly Engine[] {
	const hosts = servingHosts(state, state.self.failureDomain)
		.map(({incarnation}) => ({host: incarnation.host, hash: hashText(incarnation.host)}));
	const due = ownEngines(state)
		.map(engine => ({engine, age: now - (view(state, engine.id).reportedAt ?? Number.NEGATIVE_INFINITY)}))
		.filter(({engine, age}) => {
			const [poller] = firstChoices(hashText(engine.id), hosts, 1);
			const isPoller = poller === undefined || poller.host === state.self.incarnation.host;
			return age >= (isPoller ? interval : overdueAgeMs);
		});
	return due.toSorted((one, other) => other.age - one.age).map(({engine}) => engine);
}

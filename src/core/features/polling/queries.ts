/** Chooses the engines that this host polls for a load report. */
import {type Engine} from '../../types/configuration.js';
import {type State} from '../../types/state.js';
import {selectTopRanked, hashText} from '../../utils/hashes.js';
import {listServingHosts} from '../membership/queries.js';
import {getView} from '../upstreams/queries.js';

/** A host polls an engine that another host should poll once its last report is older than this. */
const overdueAgeMs = 5000;

/**
 * @param state - Core state.
 * @returns Engines of this host's own failure domain.
 */
export function getOwnEngines(state: State): readonly Engine[] {
	return (state.configuration.inForce?.upstreams ?? [])
		.filter(upstream => upstream.kind === 'engine')
		.filter(engine => engine.failureDomain === state.self.failureDomain);
}

/**
 * Each engine is polled by one host of its failure domain, on which all agree by rendezvous hashing; the others poll it only when
 * its reports do not arrive.
 *
 * @param state - Core state.
 * @param now - Monotonic time in milliseconds.
 * @param interval - Polling interval of an engine, in milliseconds.
 * @returns Engines to poll now, oldest report first.
 */
export function findEnginesDue(state: State, now: number, interval: number): readonly Engine[] {
	const hosts = listServingHosts(state, state.self.failureDomain)
		.map(({incarnation}) => ({host: incarnation.host, hash: hashText(incarnation.host)}));
	const due = getOwnEngines(state)
		.map(engine => ({engine, age: now - (getView(state, engine.id).reportedAt ?? Number.NEGATIVE_INFINITY)}))
		.filter(({engine, age}) => {
			const [poller] = selectTopRanked(hashText(engine.id), hosts, 1);
			const isPoller = poller === undefined || poller.host === state.self.incarnation.host;
			return age >= (isPoller ? interval : overdueAgeMs);
		});
	return due.toSorted((one, other) => other.age - one.age).map(({engine}) => engine);
}

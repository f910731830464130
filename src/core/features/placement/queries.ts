/** What engines should hold, who orders it, and which may change now. Pure: hosts with the same view answer alike. */
import {type Engine, type Target} from '../../types/configuration.js';
import {type State} from '../../types/state.js';
import {hashText, mix, rank} from '../../utils/hashes.js';
import {service} from '../configuration/queries.js';
import {servingHosts} from '../membership/queries.js';
import {view} from '../upstreams/queries.js';

/** At most this part of a service's engines in a failure domain changes at a time. */
const changingPart = 0.25;

/**
 * @param a - What an engine holds.
 * @param b - What it should hold.
 * @returns Whether both have the same weights.
 */
export function hasSameWeights(a: Target | undefined, b: Target): boolean {
	return a?.model === b.model && a.version === b.version;
}

/**
 * @param a - What an engine holds.
 * @param b - What it should hold.
 * @returns Whether they are the same; the order of adapters does not matter.
 */
export function isSame(a: Target | undefined, b: Target): boolean {
	return hasSameWeights(a, b)
		&& a?.role === b.role
		&& a.adapters.length === b.adapters.length
		&& a.adapters.every(adapter => b.adapters.includes(adapter));
}

/**
 * @param state - Core state.
 * @returns Engines of this host's failure domain.
 */
export function ownEngines(state: State): readonly Engine[] {
	return (state.configuration.inForce?.upstreams ?? [])
		.filter(upstream => upstream.kind === 'engine')
		.filter(engine => engine.failureDomain === state.self.failureDomain);
}

/**
 * @param state - Core state.
 * @returns A function that names the host that orders an engine, by rendezvous over the hosts that serve here.
 */
export function orderers(state: State): (engine: Engine) => string | undefined {
	const hosts = servingHosts(state, state.self.failureDomain)
		.map(member => ({host: member.incarnation.host, hash: hashText(member.incarnation.host)}));
	return engine => rank(hashText(engine.id), hosts)[0]?.host;
}

function isReady(state: State, engine: Engine): boolean {
	const {report, reachable} = view(state, engine.id);
	return reachable && report?.ready === true;
}

function isLoading(state: State, engine: Engine): boolean {
	const {report, reachable} = view(state, engine.id);
	return reachable && report?.ready === false;
}

/**
 * @param state - Core state.
 * @param engine - Engine.
 * @returns Whether it is last known to hold, or to load, something else than its target.
 */
export function isOff(state: State, engine: Engine): boolean {
	const {report} = view(state, engine.id);
	return engine.target !== undefined && report !== undefined && !isSame(report.loading ?? report.current, engine.target);
}

function place(engine: Engine): number {
	return mix(hashText(engine.id), 0);
}

/** Of one service: engines that are off and ready change in one order, while enough others stay ready. */
function changeable(state: State, engines: readonly Engine[], kept: number): readonly Engine[] {
	const ready = engines.filter(engine => isReady(state, engine));
	const most = Math.max(1, Math.floor(engines.length * changingPart));
	const allowed = Math.max(0, Math.min(most, engines.length - kept));
	// What is already loading counts among those that change; what cannot be reached does not hold the others up.
	const busy = engines.filter(engine => isLoading(state, engine)).length;
	return ready
		.filter(engine => isOff(state, engine))
		.toSorted((a, b) => place(a) - place(b))
		.slice(0, Math.max(0, allowed - busy))
		.filter((_, index) => ready.length - index - 1 >= kept);
}

/**
 * @param state - Core state.
 * @returns Ready engines of this failure domain that may load something else now.
 */
export function changeableEngines(state: State): readonly Engine[] {
	const groups = new Map<string, Engine[]>();
	for (const engine of ownEngines(state)) {
		const group = groups.get(engine.service);
		if (group === undefined) {
			groups.set(engine.service, [engine]);
		} else {
			group.push(engine);
		}
	}

	return [...groups].flatMap(([id, engines]) => {
		const wanted = service(state, id);
		return changeable(state, engines, wanted?.kind === 'model' ? wanted.readyEngines : 0);
	});
}

/**
 * @param current - What an engine holds.
 * @param target - What it should hold.
 * @returns Loads that the change takes from the weight store.
 */
export function loadsNeeded(current: Target | undefined, target: Target): number {
	const isReplacement = !hasSameWeights(current, target);
	const held = isReplacement ? [] : current?.adapters ?? [];
	return (isReplacement ? 1 : 0) + target.adapters.filter(adapter => !held.includes(adapter)).length;
}

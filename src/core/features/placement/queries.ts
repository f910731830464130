/** Determines the controller of each engine and the engines that may change now. Hosts with the same view agree on both. */
import {type Engine, type Target} from '../../types/configuration.js';
import {type State} from '../../types/state.js';
import {hashText, mixHashes, rank} from '../../utils/hashes.js';
import {findService} from '../configuration/queries.js';
import {listServingHosts} from '../membership/queries.js';
import {getView} from '../upstreams/queries.js';

/** Largest share of a service's engines in a failure domain that may change at a time. */
const maxChangingShare = 0.25;

/**
 * @param a - What an engine holds.
 * @param b - What it should hold.
 * @returns Whether both have the same weights, that is, model and version.
 */
export function hasSameWeights(a: Target | undefined, b: Target): boolean {
	return a?.model === b.model && a.version === b.version;
}

/**
 * @param a - What an engine holds.
 * @param b - What it should hold.
 * @returns Whether they are equal; the order of adapters does not matter.
 */
export function isSameTarget(a: Target | undefined, b: Target): boolean {
	return hasSameWeights(a, b)
		&& a?.role === b.role
		&& a.adapters.length === b.adapters.length
		&& a.adapters.every(adapter => b.adapters.includes(adapter));
}

/**
 * @param state - Core state.
 * @returns Engines of this host's failure domain.
 */
export function getOwnEngines(state: State): readonly Engine[] {
	return (state.configuration.inForce?.upstreams ?? [])
		.filter(upstream => upstream.kind === 'engine')
		.filter(engine => engine.failureDomain === state.self.failureDomain);
}

/**
 * @param state - Core state.
 * @returns A function that returns the host that controls an engine, by rendezvous hashing over the serving hosts of this domain.
 */
export function createControllerLookup(state: State): (engine: Engine) => string | undefined {
	const hosts = listServingHosts(state, state.self.failureDomain)
		.map(member => ({host: member.incarnation.host, hash: hashText(member.incarnation.host)}));
	return engine => rank(hashText(engine.id), hosts)[0]?.host;
}

function isReady(state: State, engine: Engine): boolean {
	const {report, reachable} = getView(state, engine.id);
	return reachable && report?.ready === true;
}

function isLoading(state: State, engine: Engine): boolean {
	const {report, reachable} = getView(state, engine.id);
	return reachable && report?.ready === false;
}

/**
 * @param state - Core state.
 * @param engine - Engine.
 * @returns Whether its last report shows that it holds, or is loading, something other than its target.
 */
export function isOffTarget(state: State, engine: Engine): boolean {
	const {report} = getView(state, engine.id);
	return engine.target !== undefined && report !== undefined && !isSameTarget(report.loading ?? report.current, engine.target);
}

function getChangeRank(engine: Engine): number {
	return mixHashes(hashText(engine.id), 0);
}

/** Selects the ready engines of one service that may change now, in an order on which hosts agree; at least `minReady` stay. */
function selectChangeable(state: State, engines: readonly Engine[], minReady: number): readonly Engine[] {
	const ready = engines.filter(engine => isReady(state, engine));
	const maxChanging = Math.max(1, Math.floor(engines.length * maxChangingShare));
	const allowed = Math.max(0, Math.min(maxChanging, engines.length - minReady));
	// Engines that are loading count as changing. Unreachable ones do not, or they would block the others.
	const loadingCount = engines.filter(engine => isLoading(state, engine)).length;
	return ready
		.filter(engine => isOffTarget(state, engine))
		.toSorted((a, b) => getChangeRank(a) - getChangeRank(b))
		.slice(0, Math.max(0, allowed - loadingCount))
		.filter((_, index) => ready.length - index - 1 >= minReady);
}

/**
 * @param state - Core state.
 * @returns Ready engines of this failure domain that may load a different target now.
 */
export function findChangeableEngines(state: State): readonly Engine[] {
	const groups = new Map<string, Engine[]>();
	for (const engine of getOwnEngines(state)) {
		const group = groups.get(engine.service);
		if (group === undefined) {
			groups.set(engine.service, [engine]);
		} else {
			group.push(engine);
		}
	}

	return [...groups].flatMap(([id, engines]) => {
		const configured = findService(state, id);
		return selectChangeable(state, engines, configured?.kind === 'model' ? configured.readyEngines : 0);
	});
}

/**
 * @param current - What an engine holds.
 * @param target - What it should hold.
 * @returns Loads from the weight store that the change needs.
 */
export function countLoadsNeeded(current: Target | undefined, target: Target): number {
	const isReplacement = !hasSameWeights(current, target);
	const held = isReplacement ? [] : current?.adapters ?? [];
	return (isReplacement ? 1 : 0) + target.adapters.filter(adapter => !held.includes(adapter)).length;
}

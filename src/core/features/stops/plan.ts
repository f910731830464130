/** Schedules planned stops as a pure function of the document, so that all hosts compute the same schedule. */
import {type Configuration, type PlannedStop, type Upstream} from '../../types/configuration.js';

/** Time during which one target stops, in milliseconds since 1970, the end excluded. */
export type StopWindow = {
	readonly target: string;
	readonly from: number;
	readonly until: number;
};

/**
 * @param configuration - Document in force.
 * @param kind - Kind of target.
 * @returns Planned stops of that kind, in the order in which they begin.
 */
export function sortStops(configuration: Configuration, kind: PlannedStop['target']['kind']): readonly PlannedStop[] {
	return configuration.plannedStops
		.filter(stop => stop.target.kind === kind)
		.toSorted((a, b) => a.notBefore - b.notBefore || (a.id < b.id ? -1 : 1));
}

/** Assigns each stop to the slot that is free first; there are as many slots as concurrent stops are allowed. */
function scheduleStops(stops: readonly PlannedStop[], concurrent: number): readonly StopWindow[] {
	const slotEnds = Array.from({length: concurrent}, () => 0);
	return stops.map(stop => {
		const slot = slotEnds.indexOf(Math.min(...slotEnds));
		const from = Math.max(stop.notBefore, slotEnds[slot]!);
		slotEnds[slot] = from + stop.grace;
		return {target: stop.target.id, from, until: from + stop.grace};
	});
}

function getGroupKey(upstream: Upstream): string {
	return `${upstream.service}/${upstream.failureDomain}`;
}

const windowCache = new WeakMap<Configuration, readonly StopWindow[]>();

/**
 * Upstreams of one service and failure domain stop one after another, or as many at a time as the stop rule allows, each for its
 * grace. The schedule depends on time alone, so that hosts agree without having received the same reports.
 *
 * @param configuration - Document in force.
 * @returns Windows in which upstreams stop.
 */
export function scheduleUpstreamStops(configuration: Configuration): readonly StopWindow[] {
	const cached = windowCache.get(configuration);
	if (cached !== undefined) {
		return cached;
	}

	const upstreams = new Map(configuration.upstreams.map(upstream => [upstream.id, upstream]));
	const groups = new Map<string, PlannedStop[]>();
	for (const stop of sortStops(configuration, 'upstream')) {
		const upstream = upstreams.get(stop.target.id);
		if (upstream !== undefined) {
			const key = getGroupKey(upstream);
			groups.set(key, [...groups.get(key) ?? [], stop]);
		}
	}

	const windows = [...groups.values()].flatMap(stops => scheduleStops(stops, configuration.stopRule.concurrentUpstreams));
	windowCache.set(configuration, windows);
	return windows;
}

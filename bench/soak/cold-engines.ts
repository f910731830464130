/** Checks that hosts which know that an engine is cold don't send it more, all together, than it takes. */
import {type Arrival, type UpstreamStandIn} from '../../stand-ins/gateway/upstream.js';
import {type Host} from '../gateway/host.js';
import {type RequestRecord} from './guarantees.js';

/** How the engines of a soak start, as in the configuration. */
export const coldStartConfiguration = {ColdStartS: 2, ColdPerS: 6};

/** Bound on the requests in any second: one and a half times the rate, and five. */
const allowed = (coldStartConfiguration.ColdPerS * 1.5) + 5;
const windowMs = 1000;

/** Time from the log line of a host until its earlier requests have arrived. */
const noticeMs = 300;

/** An engine that a host knows to be cold, in Unix milliseconds. */
type Knowledge = {
	readonly from: number;
	readonly until: number;
};

type ColdEngine = Pick<UpstreamStandIn, 'arrivals' | 'id'>;

function findKnowledge({lines}: Pick<Host, 'lines'>, upstream: string): readonly Knowledge[] {
	return lines.filter(line => line.event === 'upstream-cold' && line.upstream === upstream)
		.map(line => ({from: Date.parse(String(line.time)), until: Number(line.until)}));
}

/**
 * @param engines - Engines with the requests that arrived there.
 * @param requests - Requests of the callers.
 * @param hosts - Hosts with their log lines.
 * @param lag - Longest event loop lag of this process, in milliseconds.
 * @returns A description of each cold engine that got too many.
 */
export function findColdOverruns(engines: readonly ColdEngine[], requests: ReadonlyArray<Pick<RequestRecord, 'host' | 'id'>>, hosts: ReadonlyArray<Pick<Host, 'lines'>>, lag: number): readonly string[] {
	const hostOf = new Map(requests.map(({id, host}) => [id, host]));
	return engines.flatMap(({id, arrivals}) => {
		const knowledge = hosts.map(host => findKnowledge(host, id));
		const isKnown = ({request, at}: Arrival) => {
			const wall = performance.timeOrigin + at;
			return knowledge[hostOf.get(request) ?? -1]?.some(({from, until}) => wall > from + noticeMs + lag && wall < until) === true;
		};

		const counted = arrivals.filter(arrival => arrival.isCold === true && isKnown(arrival)).map(({at}) => at);
		const most = Math.max(0, ...counted.map(first => counted.filter(at => at >= first && at < first + windowMs).length));
		return most > allowed ? [`${id} was cold and got ${most} requests within a second, allowed ${allowed}`] : [];
	});
}

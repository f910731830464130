/** Checks that hosts kept to what upstreams stated about themselves in their responses. Times are monotonic milliseconds. */
import {type Arrival, type Statement, type UpstreamStandIn} from '../../stand-ins/gateway/upstream.js';
import {type Outage, type RequestRecord} from './guarantees.js';

/** Time after a host has passed on the response of a leaving upstream until it must send no new request there. */
const drainDelayMs = 2000;

/** Time after a refusal until the stated pause must be kept, and requests that may arrive in the rest of it. */
const pauseNoticeMs = 500;
const maxPausedArrivals = 2;

/** Time until a limit must be kept: after it was first stated, and after a host has passed on a response that states it. */
const limitSettlingMs = 3000;
const limitNoticeMs = 500;

/** Bound on the requests to a limited upstream: within the window, this factor of its limit and some more. */
const limitWindowMs = 4000;
const limitFactor = 1.5;
const limitExcess = 5;

/** A request at an upstream, with the host that sent it and how its caller fared. */
type Sent = {
	readonly arrival: Arrival;
	readonly record: RequestRecord;
};

/** A response of an upstream that the host has passed on, or by which the host was refused. */
type Told = Sent & {readonly statement: Statement};

type UpstreamHistory = Pick<UpstreamStandIn, 'arrivals' | 'id'>;

function toTold(sent: readonly Sent[]): readonly Told[] {
	return sent.flatMap(each => each.arrival.statement === undefined ? [] : [{...each, statement: each.arrival.statement}]);
}

function isExcused(host: number, from: number, to: number, outages: readonly Outage[]): boolean {
	return outages.some(outage => outage.host === host && outage.from < to && outage.to > from);
}

function isPassedOn({record, arrival}: Sent): boolean {
	return record.result.type === 'answered' && arrival.statement !== undefined && arrival.statement.at <= record.ended;
}

function findLateAtLeaving(upstream: string, sent: readonly Sent[], outages: readonly Outage[], lag: number): readonly string[] {
	const told = toTold(sent).filter(each => each.statement.isLeaving && isPassedOn(each));
	return sent.flatMap(({record, arrival}) => {
		const first = told.find(each => each.record.host === record.host && each.arrival.process === arrival.process);
		const isLate = first !== undefined && record.began > first.record.ended + drainDelayMs + lag && !isExcused(record.host, first.record.ended, arrival.at, outages);
		return isLate ? [`${record.id} reached ${upstream} ${Math.round(arrival.at - first.record.ended)} ms after host ${record.host} had passed on that it leaves`] : [];
	});
}

function findUnwanted(upstream: string, sent: readonly Sent[], outages: readonly Outage[], lag: number): readonly string[] {
	return toTold(sent).flatMap(({record: {host}, arrival, statement}) => {
		const from = statement.at + pauseNoticeMs + lag;
		const to = statement.at + ((statement.retryAfter ?? 0) * 1000);
		const unwanted = sent.filter(each => each.record.host === host && each.arrival.process === arrival.process && each.arrival.at > from && each.arrival.at < to);
		return unwanted.length > maxPausedArrivals && !isExcused(host, statement.at, to, outages)
			? [`${unwanted.map(each => `${each.record.id} after ${Math.round(each.arrival.at - statement.at)} ms`).join(', ')} reached ${upstream} from host ${host}, which wanted none for ${statement.retryAfter} s after ${arrival.request}`]
			: [];
	});
}

/** Returns the periods in which one process of an upstream stated the same limit in all its responses. */
function findLimitPeriods(sent: readonly Sent[]): ReadonlyArray<readonly Told[]> {
	const periods: Told[][] = [];
	for (const told of toTold(sent).toSorted((a, b) => a.statement.at - b.statement.at)) {
		const last = periods.at(-1);
		const previous = last?.at(-1);
		if (last !== undefined && previous?.statement.rateLimit === told.statement.rateLimit && previous?.arrival.process === told.arrival.process) {
			last.push(told);
		} else {
			periods.push([told]);
		}
	}

	return periods.filter(period => period[0]!.statement.rateLimit !== undefined);
}

function findOverLimit(upstream: string, sent: readonly Sent[], outages: readonly Outage[], lag: number): readonly string[] {
	return findLimitPeriods(sent).flatMap(period => {
		const rate = period[0]!.statement.rateLimit!;
		const settledAt = period[0]!.statement.at + limitSettlingMs;
		const until = period.at(-1)!.statement.at;
		const counted = sent.filter(({record, arrival}) => {
			const told = period.find(each => each.record.host === record.host && isPassedOn(each));
			return told !== undefined && arrival.at > Math.max(settledAt, told.record.ended + limitNoticeMs + lag) && arrival.at < until
				&& !isExcused(record.host, period[0]!.statement.at, arrival.at, outages);
		});
		const most = Math.max(0, ...counted.map(first => counted.filter(({arrival}) => arrival.at >= first.arrival.at && arrival.at < first.arrival.at + limitWindowMs).length));
		const allowed = (limitWindowMs / 1000 * rate * limitFactor) + limitExcess;
		return most > allowed ? [`${upstream} limited itself to ${rate} a second and got ${most} requests within ${limitWindowMs} ms, allowed ${allowed}`] : [];
	});
}

/**
 * @param upstreams - Upstreams with the requests that arrived there.
 * @param requests - Requests of the callers.
 * @param outages - When hosts were killed, stopped or paused: what they were told before is excused.
 * @param lag - Longest event loop lag of this process, in milliseconds.
 * @returns A description of each statement that hosts did not keep to.
 */
export function findIgnoredStatements(upstreams: readonly UpstreamHistory[], requests: readonly RequestRecord[], outages: readonly Outage[], lag: number): readonly string[] {
	const records = new Map(requests.map(request => [request.id, request]));
	return upstreams.flatMap(({id, arrivals}) => {
		const sent = arrivals.flatMap(arrival => {
			const record = records.get(arrival.request);
			return record === undefined ? [] : [{arrival, record}];
		});
		return [...findLateAtLeaving(id, sent, outages, lag), ...findUnwanted(id, sent, outages, lag), ...findOverLimit(id, sent, outages, lag)];
	});
}

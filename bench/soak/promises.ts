/** What callers and upstreams saw, and the promises that are checked on it. */
import {type Answer} from '../gateway/asking.js';
import {type Run} from '../../stand-ins/gateway/ledger.js';

export type Kind = 'ask' | 'once' | 'read';

/** One request of a caller. Times on the monotonic clock, in milliseconds. */
export type Visit = {
	readonly id: string;
	readonly kind: Kind;
	readonly host: number;
	readonly began: number;
	readonly ended: number;
	/** Longest time that it may take. */
	readonly limit: number;
	/** What a whole answer says. */
	readonly expected: string | number;
	readonly result: Result;
};

export type Result
	= | {readonly type: 'answered'; readonly answer: Answer; readonly got: string | number}
	/** The connection ended before any answer; `isIdle` if it had carried others and closed as this one was sent. */
		| {readonly type: 'cut'; readonly reason: string; readonly isIdle: boolean}
	/** Nobody listened. */
		| {readonly type: 'refused'}
		| {readonly type: 'never'};

/** A time in which a host was killed, or stood still. */
export type Excuse = {
	readonly host: number;
	readonly from: number;
	readonly to: number;
	readonly type: 'killed' | 'paused' | 'stopping';
};

/** Milliseconds that an answer may take beyond its time: one of these processes may wait for the processor. */
const slack = 1200;

/** Milliseconds around a kill within which a connection may break. */
const killMargin = 100;

/** Milliseconds after the word to stop within which a balancer may still send callers: it asks once a second, twice. */
const balancerLag = 2600;

function overlaps({host, began, ended}: Visit, excuse: Excuse): boolean {
	return excuse.host === host && excuse.from - killMargin < ended && began < excuse.to + killMargin;
}

function timely(visit: Visit, excuses: readonly Excuse[], lag: number): readonly string[] {
	const isExcused = excuses.some(excuse => excuse.type === 'paused' && overlaps(visit, excuse));
	const took = visit.ended - visit.began;
	return took > visit.limit + slack + lag && !isExcused ? [`${visit.id} took ${Math.round(took)} ms of ${visit.limit}`] : [];
}

function answered({id, expected, result}: Visit, runs: readonly Run[]): readonly string[] {
	if (result.type !== 'answered') {
		return [];
	}

	const {answer, got} = result;
	const found: string[] = [];
	if (answer.status === 200 && answer.isWhole && got !== expected) {
		found.push(`${id} got ${got} in place of ${expected}`);
	}

	if (answer.headers['x-not-executed'] !== undefined && runs.length > 0) {
		found.push(`${id} was told that it had not run, and ran at ${runs.map(run => run.upstream).join(', ')}`);
	}

	return found;
}

/**
 * A caller that connects to a host which has long said that it leaves, as no host was ready: when listening ends, the kernel resets
 * connections that came since the last look of the process, and nothing in the process can prevent it.
 */
function cameTooLate(visit: Visit, excuses: readonly Excuse[]): boolean {
	return excuses.some(excuse => excuse.type === 'stopping' && overlaps(visit, excuse) && visit.began > excuse.from + balancerLag);
}

function kept(visit: Visit, excuses: readonly Excuse[], runs: readonly Run[]): readonly string[] {
	const {id, host, result} = visit;
	if (result.type === 'never') {
		return [`${id} was never answered by host ${host}`];
	}

	if (result.type !== 'cut') {
		return [];
	}

	const allowed = result.isIdle ? ['killed', 'stopping'] : ['killed'];
	const isExcused = excuses.some(excuse => allowed.includes(excuse.type) && overlaps(visit, excuse));
	return isExcused || (runs.length === 0 && cameTooLate(visit, excuses)) ? [] : [`${id}, sent at ${Math.round(visit.began)} ms, was cut by host ${host} at ${Math.round(visit.ended)} ms: ${result.reason}`];
}

/**
 * @param visits - All requests.
 * @param runsOf - What upstreams ran of a request.
 * @param excuses - When hosts were killed, stopped or stood still.
 * @param lag - Milliseconds for which this process itself did not look, at most.
 * @returns Each promise that was broken.
 */
export function broken(visits: readonly Visit[], runsOf: (id: string) => readonly Run[], excuses: readonly Excuse[], lag: number): readonly string[] {
	return visits.flatMap(visit => {
		const runs = runsOf(visit.id);
		const doubled = visit.kind === 'once' && runs.length > 1 ? [`${visit.id} ran ${runs.length} times`] : [];
		return [...timely(visit, excuses, lag), ...answered(visit, runs), ...kept(visit, excuses, runs), ...doubled];
	});
}

/**
 * @param versions - Versions that one run of a host brought into force, in order.
 * @returns Whether it ever went back.
 */
export function goesBack(versions: readonly number[]): boolean {
	return versions.some((version, index) => index > 0 && version <= versions[index - 1]!);
}

/** When a request that was sent goes on at another engine. */
import {type Job} from './load.js';

/** What moving costs beside: its prompt is read again and its last attempt is used up, in requests of usual worth. */
const reroutingLoss = 0.25;

/** Milliseconds after its sending for which a request is looked at again: news of all hosts have come by then. */
const yieldWindowMs = 100;

/** Beginnings closer together than this, in milliseconds, can't be ordered by news that tell of them. */
const clockToleranceMs = 5;

/** Milliseconds of reading in one pass from which on others at the engine are harmed: under it no pause grows too long. */
export const harmfulReading = 100;

/**
 * @param own - Request at an engine.
 * @param other - Request that has just been sent to an engine of it.
 * @param now - Time in milliseconds.
 * @returns Whether the host of the first one may move it as soon as it hears of the other one.
 */
export function mayMove(own: Job, other: Job, now: number): boolean {
	const isYoung = own.firstByte === undefined && now - own.began <= yieldWindowMs;
	return other.readPerPass >= harmfulReading || (isYoung && own.readPerPass >= harmfulReading);
}

/** Which of two requests that met at an engine was there first; alike at both their hosts, also where clocks blur it. */
function isFirst(one: Job, other: Job): boolean {
	return Math.abs(one.began - other.began) < clockToleranceMs ? one.id < other.id : one.began < other.began;
}

/**
 * Hosts that have not heard of each other's latest choices may choose the same engine. With 70 hosts one in seven prompts of
 * 60,000 tokens or more met another one so.
 *
 * @param own - Request that was sent from here.
 * @param other - Request that a peer tells of.
 * @param now - Time in milliseconds.
 * @returns Whether the own one is to look for another place: the other one was first.
 */
export function isToYield(own: Job, other: Job, now: number): boolean {
	if (own.firstByte !== undefined || now - own.began > yieldWindowMs || !isFirst(other, own)) {
		return false;
	}

	if (Math.max(own.readPerPass, other.readPerPass) < harmfulReading) {
		return false;
	}

	const engines = new Set([own.upstream, ...own.helpers]);
	return engines.has(other.upstream) || other.helpers.some(engine => engines.has(engine));
}

/**
 * @param stayingLoss - What the request loses where it is, in requests of usual worth.
 * @param reroutedLoss - What it would lose at another engine.
 * @returns Whether it goes there.
 */
export function isWorthMoving(stayingLoss: number, reroutedLoss: number): boolean {
	return reroutedLoss + reroutingLoss < stayingLoss;
}

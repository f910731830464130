/** Decides when a request that was sent is rerouted to another engine. */
import {type Job} from '../engines/load.js';

/** Cost of rerouting, in requests of usual weight: the prompt is prefilled again and the last attempt is used up. */
const reroutingLoss = 0.25;

/** Time after its sending, in milliseconds, within which a request may yield: by then the load updates of all hosts have arrived. */
const yieldWindowMs = 100;

/** Start times closer together than this, in milliseconds, cannot be ordered reliably across hosts. */
const clockToleranceMs = 5;

/** Prefill within one engine iteration, in milliseconds, that disrupts other jobs at the engine. Shorter ones make no pause too long. */
export const disruptivePrefillMs = 100;

/**
 * @param own - Job at an engine.
 * @param other - Job that has just been sent to an engine of the first one.
 * @param now - Time in milliseconds.
 * @returns Whether the host of the first job may reroute it as soon as it receives the load update of the other one.
 */
export function canCauseReroute(own: Job, other: Job, now: number): boolean {
	const isYoung = own.firstByte === undefined && now - own.began <= yieldWindowMs;
	return other.readPerPass >= disruptivePrefillMs || (isYoung && own.readPerPass >= disruptivePrefillMs);
}

/** Returns whether `one` was sent before `other`. Both hosts get the same result, also for nearly equal start times. */
function isFirst(one: Job, other: Job): boolean {
	return Math.abs(one.began - other.began) < clockToleranceMs ? one.id < other.id : one.began < other.began;
}

/**
 * Returns whether a job has to yield to one that was sent earlier to the same engine. Hosts that do not know of each other's latest choices
 * may choose the same engine: with 70 hosts, this affects one in seven prompts of 60,000 tokens or more.
 *
 * @param own - Job that this host sent.
 * @param other - Job that a peer sent.
 * @param now - Time in milliseconds.
 * @returns Whether this host should look for another placement of its own job.
 */
export function hasToYield(own: Job, other: Job, now: number): boolean {
	if (own.firstByte !== undefined || now - own.began > yieldWindowMs || !isFirst(other, own)) {
		return false;
	}

	if (Math.max(own.readPerPass, other.readPerPass) < disruptivePrefillMs) {
		return false;
	}

	const engines = new Set([own.upstream, ...own.helpers]);
	return engines.has(other.upstream) || other.helpers.some(engine => engines.has(engine));
}

/**
 * @param stayingLoss - Expected loss at the current engine, in requests of usual weight.
 * @param reroutedLoss - Expected loss at another engine.
 * @returns Whether the request should be rerouted there.
 */
export function isWorthRerouting(stayingLoss: number, reroutedLoss: number): boolean {
	return reroutedLoss + reroutingLoss < stayingLoss;
}

/** Decides which attempts may be retried, within a budget that all hosts share. */
import {assertNever} from '../../utils/common.js';
import {type PlacementKind} from '../engines/load.js';
import {type Route} from '../types.js';

/**
 * Why an attempt is replaced by another one of the same request: the memory of its hold is lost, it is rerouted (`moved`), or its engine is
 * unresponsive (`silent`).
 */
export type SuccessionReason = 'memory lost' | 'moved' | 'silent';

/**
 * Why a host cancels an attempt: the caller has left, its time is over, it turns out to crash engines (`convicted`), another attempt takes
 * its place, or the one that it should replace has sent something first (`outrun`).
 */
export type CancelReason = SuccessionReason | 'caller left' | 'convicted' | 'outrun' | 'time over';

/** What is known for certain about an attempt that has ended. */
export type AttemptEnding
	/** The upstream answered, and its complete answer was forwarded; `unfinished` is the number of bytes after the last event of a stream. */
	= | {readonly type: 'answered'; readonly status: number; readonly unfinished?: number}
	/** The upstream certainly did not run it; `isShed` if it refused because of its load. */
		| {readonly type: 'not-run'; readonly reason: string; readonly isShed: boolean}
	/** The upstream ran it and answered with an error that another upstream may not return. */
		| {readonly type: 'failed'; readonly status: number}
	/** It was sent, but no complete answer arrived; `isDisconnected` if its connection broke, as when the upstream crashes. */
		| {readonly type: 'unknown'; readonly reason: string; readonly unfinished?: number; readonly isDisconnected?: boolean}
	/** This host cancelled it. */
		| {readonly type: 'cancelled'; readonly reason: CancelReason};

/** Limits on the retries of all hosts together. */
export type RetryLimits = {
	/** Retries as a share of the requests to a service within the window. */
	readonly ratio: number;
	/** Window in milliseconds. */
	readonly window: number;
	/** Additional retries within the window. */
	readonly allowance: number;
};

/** Share of the limits that is used: hosts know the fleet size only roughly, and windows slide. */
const usedShare = 0.7;

/** Share of these that suspected requests may use. */
const suspectedShare = 0.5;

type AttemptTimes = {
	/** Times of requests and of retries within the last window. */
	readonly requests: number[];
	readonly retries: number[];
};

function prune(times: number[], before: number): void {
	let count = 0;
	while (count < times.length && times[count]! < before) {
		count++;
	}

	times.splice(0, count);
}

/** Hosts that share the allowance. */
export type BudgetShare = {
	/** Hosts of the fleet, this one included. */
	readonly hosts: number;
	/** Hosts whose requests are counted here, this one included. */
	readonly counted: number;
};

/**
 * Retry budget, by service. Hosts count each other's requests and share the allowance, in a large fleet those of one failure domain their part
 * of it: the budget is then there where callers arrive, and where a fault affects a few of the hosts. Hosts that are cut off use only the
 * parts of the hosts that they receive updates from.
 */
export class RetryBudget {
	readonly #limits: RetryLimits;
	readonly #times = new Map<string, AttemptTimes>();

	/**
	 * @param limits - Limits on all hosts together.
	 */
	constructor(limits: RetryLimits) {
		this.#limits = limits;
	}

	/**
	 * @param service - Service that a request is sent to for the first time.
	 * @param now - Time in milliseconds.
	 */
	countRequest(service: string, now: number): void {
		this.#recentTimes(service, now).requests.push(now);
	}

	/**
	 * @param service - Service that a request is sent to again.
	 * @param now - Time in milliseconds.
	 */
	countRetry(service: string, now: number): void {
		this.#recentTimes(service, now).retries.push(now);
	}

	/**
	 * Counts a request that another host has sent with which this one shares the allowance.
	 *
	 * @param service - Service that it was sent to.
	 * @param kind - Kind of its placement.
	 * @param now - Time in milliseconds.
	 */
	countPeerPlacement(service: string, kind: PlacementKind, now: number): void {
		switch (kind) {
			case 'first': {
				this.countRequest(service, now);
				return;
			}

			case 'retry': {
				this.countRetry(service, now);
				return;
			}

			case 'unreached before': {
				return;
			}

			default: {
				assertNever(kind);
			}
		}
	}

	/**
	 * Counts requests that such hosts have sent for the first time and that weren't reported one by one.
	 *
	 * @param service - Service that they were sent to.
	 * @param count - Number of requests.
	 * @param now - Time in milliseconds.
	 */
	countPeerRequests(service: string, count: number, now: number): void {
		const {requests} = this.#recentTimes(service, now);
		for (let index = 0; index < count; index++) {
			requests.push(now);
		}
	}

	/**
	 * @param service - Service.
	 * @param share - Hosts that share the allowance.
	 * @param now - Time in milliseconds.
	 * @param isSuspected - Whether the request may have crashed its upstream; such requests leave a part of the budget to those that they interrupt.
	 * @returns Whether this host may make one more retry.
	 */
	allowsRetry(service: string, {hosts, counted}: BudgetShare, now: number, isSuspected = false): boolean {
		const {requests, retries} = this.#recentTimes(service, now);
		const earned = requests.length * this.#limits.ratio;
		return retries.length + 1 <= ((this.#limits.allowance * counted / hosts) + earned) * usedShare * (isSuspected ? suspectedShare : 1);
	}

	#recentTimes(service: string, now: number): AttemptTimes {
		const times = this.#times.get(service) ?? {requests: [], retries: []};
		this.#times.set(service, times);
		prune(times.requests, now - this.#limits.window);
		prune(times.retries, now - this.#limits.window);
		return times;
	}
}

/**
 * @param rules - Kind of the route, and whether another engine may resume its streams.
 * @returns Whether a request may run again after it has run, as its caller can't notice.
 */
export function isIdempotent({kind, isResumable}: Pick<Route, 'isResumable' | 'kind'>): boolean {
	return kind === 'idempotent' || (kind === 'streaming' && isResumable);
}

/**
 * @param rules - Kind of the route, and whether another engine may resume its streams.
 * @param ending - How the attempt ended.
 * @returns Whether another attempt is safe.
 */
export function isRepeatable(rules: Pick<Route, 'isResumable' | 'kind'>, ending: AttemptEnding): boolean {
	switch (ending.type) {
		case 'not-run': {
			return true;
		}

		case 'failed':
		case 'unknown': {
			return isIdempotent(rules);
		}

		case 'answered':
		case 'cancelled': {
			return false;
		}

		default: {
			return assertNever(ending);
		}
	}
}

/** Which attempts may be followed by another, within a budget that all hosts share. */
import {assertNever} from '../utils/common.js';
import {type Placing} from './load.js';
import {type RouteKind} from './types.js';

/** Why an attempt is given up: an engine that is silent or about to pause, or memory that is about to go, is left for another one. */
export type CancelReason = 'caller left' | 'memory lost' | 'moved' | 'silent' | 'time over';

/** What is provably true of an attempt that is over. */
export type AttemptEnding
	/** The upstream answered; its answer was passed on whole. */
	= | {readonly type: 'answered'; readonly status: number}
	/** Provably not run; `isShed` if the upstream refused it for load. */
		| {readonly type: 'not-run'; readonly reason: string; readonly isShed: boolean}
	/** The upstream ran it and answered with an error that another upstream may not have. */
		| {readonly type: 'failed'; readonly status: number}
	/** It was sent and no whole answer came. */
		| {readonly type: 'unknown'; readonly reason: string}
	/** Given up by this host. */
		| {readonly type: 'cancelled'; readonly reason: CancelReason};

/** Bounds of retries over all hosts. */
export type RetryLimits = {
	/** Retries as a share of a service's requests within the window. */
	readonly ratio: number;
	/** Window in milliseconds. */
	readonly window: number;
	/** Retries beside the share within a window. */
	readonly allowance: number;
};

/** Part of the bounds that is used: hosts know each other's number only roughly, and windows slide. */
const usedShare = 0.7;

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

/** Hosts among which the allowance is shared out. */
export type BudgetShare = {
	/** Hosts of the fleet, this one included. */
	readonly hosts: number;
	/** Those of them whose sendings are counted here, this one included. */
	readonly counted: number;
};

/**
 * Retries that this host may still make, by service. In a large fleet the hosts of a failure domain count each other's sendings and share
 * one part. Answers faults that meet a few of hundreds of hosts: the part of one host is a retry or two, while those of its neighbours go
 * unused. A failure domain or a host that is cut off keeps to the part of those that it hears of.
 */
export class RetryBudget {
	readonly #limits: RetryLimits;
	readonly #times = new Map<string, AttemptTimes>();

	/**
	 * @param limits - Bounds over all hosts.
	 */
	constructor(limits: RetryLimits) {
		this.#limits = limits;
	}

	/**
	 * @param service - Service that a caller's request goes to.
	 * @param now - Time in milliseconds.
	 */
	countRequest(service: string, now: number): void {
		this.#recentTimes(service, now).requests.push(now);
	}

	/**
	 * @param service - Service that a request is sent to once more.
	 * @param now - Time in milliseconds.
	 */
	countRetry(service: string, now: number): void {
		this.#recentTimes(service, now).retries.push(now);
	}

	/**
	 * @param service - Service that another host of this failure domain has sent a request to.
	 * @param kind - Which placing of it that was.
	 * @param now - Time in milliseconds.
	 */
	hear(service: string, kind: Placing, now: number): void {
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
	 * @param service - Service.
	 * @param sharers - Hosts that share the allowance.
	 * @param now - Time in milliseconds.
	 * @returns Whether this host may send one more request again.
	 */
	allows(service: string, {hosts, counted}: BudgetShare, now: number): boolean {
		const {requests, retries} = this.#recentTimes(service, now);
		const earned = requests.length * this.#limits.ratio;
		return retries.length + 1 <= ((this.#limits.allowance * counted / hosts) + earned) * usedShare;
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
 * @param kind - What the request's route allows.
 * @param isResumable - Whether a stream may go on at another engine.
 * @param ending - How the attempt ended.
 * @returns Whether another attempt can do no harm.
 */
export function isRepeatable(kind: RouteKind, isResumable: boolean, ending: AttemptEnding): boolean {
	switch (ending.type) {
		case 'not-run': {
			return true;
		}

		case 'failed': {
			return kind === 'idempotent';
		}

		case 'unknown': {
			return kind === 'idempotent' || (kind === 'streaming' && isResumable);
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

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
export type RetryBounds = {
	/** Retries as a share of a service's requests within the window. */
	readonly ratio: number;
	/** Window in milliseconds. */
	readonly window: number;
	/** Retries beside the share within a window. */
	readonly allowance: number;
};

/** Part of the bounds that is used: hosts know each other's number only roughly, and windows slide. */
const usedShare = 0.7;

type Tally = {
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
export type Sharers = {
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
	readonly #bounds: RetryBounds;
	readonly #tallies = new Map<string, Tally>();

	/**
	 * @param bounds - Bounds over all hosts.
	 */
	constructor(bounds: RetryBounds) {
		this.#bounds = bounds;
	}

	/**
	 * @param service - Service that a caller's request goes to.
	 * @param now - Time in milliseconds.
	 */
	countRequest(service: string, now: number): void {
		this.#tally(service, now).requests.push(now);
	}

	/**
	 * @param service - Service that a request is sent to once more.
	 * @param now - Time in milliseconds.
	 */
	countRetry(service: string, now: number): void {
		this.#tally(service, now).retries.push(now);
	}

	/**
	 * @param service - Service that another host of this failure domain has sent a request to.
	 * @param placing - Which placing of it that was.
	 * @param now - Time in milliseconds.
	 */
	hear(service: string, placing: Placing, now: number): void {
		switch (placing) {
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
				assertNever(placing);
			}
		}
	}

	/**
	 * @param service - Service.
	 * @param sharers - Hosts that share the allowance.
	 * @param now - Time in milliseconds.
	 * @returns Whether this host may send one more request again.
	 */
	allows(service: string, {hosts, counted}: Sharers, now: number): boolean {
		const {requests, retries} = this.#tally(service, now);
		const earned = requests.length * this.#bounds.ratio;
		return retries.length + 1 <= ((this.#bounds.allowance * counted / hosts) + earned) * usedShare;
	}

	#tally(service: string, now: number): Tally {
		const tally = this.#tallies.get(service) ?? {requests: [], retries: []};
		this.#tallies.set(service, tally);
		prune(tally.requests, now - this.#bounds.window);
		prune(tally.retries, now - this.#bounds.window);
		return tally;
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

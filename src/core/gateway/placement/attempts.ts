/** Tracks the attempts of one request: which upstreams it was sent to, and whether another attempt may follow. */
import {type PlacementKind} from '../engines/load.js';
import {isIdempotent, isRepeatable, type AttemptEnding} from '../limits/retries.js';
import {type Route} from '../types.js';

/** Refused holds after which the request is given up. */
const maxRefusedHolds = 3;

/**
 * Reservations that engines refused for lack of memory after which a request that may wait for memory is given up. Engines refuse until the
 * lease of a dead host ends, which nobody reports: with 200 ms between the attempts, this allows for one lease.
 */
const maxMemoryShortages = 24;

/** Attempts without a required helper after which the request is given up. */
const maxMissingHelpers = 4;

/**
 * Upstreams without a connection after which the request is given up. Must allow for two in each of several failure domains: they fail
 * within milliseconds if links are reset, while upstreams in the own domain would answer.
 */
const maxUnreachedUpstreams = 8;

/** Upstreams that crashed under other requests and that don't count against the limit of the route. */
const maxCrashedUpstreams = 2;

type RetryRules = Pick<Route, 'attempts' | 'isResumable' | 'kind'>;

/** Upstreams that a request may be sent to next. */
export type Eligibility = {
	/** Upstreams that received the request, or that refused it memory or help. They neither answer nor help. */
	readonly excluded: ReadonlySet<string>;
	/** If set, one of these must answer, as the route allows no further upstream. */
	readonly permitted?: ReadonlySet<string>;
};

/** Attempts of one request. */
export class Attempts {
	readonly #rules: RetryRules;
	readonly #excluded = new Set<string>();
	/** Upstreams that the request was sent to, and how often. */
	readonly #contacted = new Map<string, number>();
	/** Upstreams that lacked a helper, or whose attempt gave way to another. Sending the request to them again does not count against the limit of the route. */
	readonly #askableAgain = new Set<string>();
	#sent = 0;
	#refusedHolds = 0;
	#memoryShortages = 0;
	#missingHelpers = 0;
	#unreached = 0;
	#crashed = 0;

	/**
	 * @param rules - Retry rules of the route.
	 */
	constructor(rules: RetryRules) {
		this.#rules = rules;
	}

	/** Upstreams that the request may be sent to next. */
	get eligibility(): Eligibility {
		return {excluded: this.#excluded, permitted: this.#hasUpstreamsLeft ? undefined : this.#askableAgain};
	}

	/** Upstreams that a stream may move to: none that has had the request. */
	get untried(): Eligibility {
		return {excluded: new Set([...this.#excluded, ...this.#contacted.keys()]), permitted: this.#hasUpstreamsLeft ? undefined : new Set()};
	}

	/** Upstreams that received the request and count against the limit of the route. */
	get contacted(): Iterable<string> {
		return this.#contacted.keys();
	}

	/** Number of times that the request was sent. */
	get sent(): number {
		return this.#sent;
	}

	/** Kind of the next placement. */
	get placementKind(): PlacementKind {
		if (this.#sent > 0) {
			return 'retry';
		}

		return this.#unreached > 0 ? 'unreached before' : 'first';
	}

	/** Whether the request may move from an unresponsive engine to another one. */
	get canFailOver(): boolean {
		return (this.#hasUpstreamsLeft || this.#askableAgain.size > 0) && isIdempotent(this.#rules);
	}

	/** Whether the request may move to an engine that hasn't had it. */
	get canMove(): boolean {
		return this.#hasUpstreamsLeft && isIdempotent(this.#rules);
	}

	/**
	 * @param upstream - Upstream that the request is sent to.
	 */
	recordSent(upstream: string): void {
		this.#sent++;
		this.#excluded.add(upstream);
		this.#contacted.set(upstream, (this.#contacted.get(upstream) ?? 0) + 1);
		this.#askableAgain.delete(upstream);
	}

	/**
	 * Takes back the last attempt.
	 *
	 * @param upstream - Upstream that could not be connected to, so that nothing was sent.
	 */
	recordUnreached(upstream: string): void {
		this.#takeBack(upstream);
		this.#unreached++;
	}

	/**
	 * Takes back an attempt that was cancelled before it was sent.
	 *
	 * @param upstream - Upstream; it may be asked again.
	 */
	recordUnsent(upstream: string): void {
		this.#takeBack(upstream);
		this.#excluded.delete(upstream);
		if (this.#contacted.has(upstream)) {
			this.#askableAgain.add(upstream);
		}
	}

	/**
	 * Excuses an attempt at an upstream that crashed under another request.
	 *
	 * @param upstream - Upstream; it gets the request no more.
	 */
	recordCrashed(upstream: string): void {
		if (this.#crashed < maxCrashedUpstreams && this.#contacted.delete(upstream)) {
			this.#crashed++;
		}
	}

	/**
	 * @param upstream - Upstream whose attempt ended as another one was kept; it may be asked again.
	 */
	recordDropped(upstream: string): void {
		this.#excluded.delete(upstream);
		this.#askableAgain.add(upstream);
	}

	/**
	 * @param upstream - Engine that did not run the request.
	 * @param helper - Engine that should have helped and did not.
	 */
	recordMissingHelper(upstream: string, helper: string): void {
		this.#missingHelpers++;
		this.#excluded.delete(upstream);
		this.#askableAgain.add(upstream);
		this.#excluded.add(helper);
	}

	/**
	 * @param engines - Engines that refused to reserve memory.
	 */
	recordRefusedHold(engines: readonly string[]): void {
		this.#refusedHolds++;
		for (const engine of engines) {
			this.#excluded.add(engine);
		}
	}

	/** Counts a reservation that an engine refused as it had less free memory than forecast; it may be asked again. */
	recordMemoryShortage(): void {
		this.#memoryShortages++;
	}

	/**
	 * @param ending - How the last attempt ended.
	 * @returns Whether the request may be retried, apart from the retry budget.
	 */
	canRetryAfter(ending: AttemptEnding): boolean {
		// An attempt that this host cancelled may have run anyway.
		const known: AttemptEnding = ending.type === 'cancelled' ? {type: 'unknown', reason: ending.reason} : ending;
		return isRepeatable(this.#rules, known)
			&& (this.#hasUpstreamsLeft || this.#askableAgain.size > 0)
			&& this.#refusedHolds < maxRefusedHolds
			&& this.#memoryShortages < maxMemoryShortages
			&& this.#missingHelpers < maxMissingHelpers
			&& this.#unreached < maxUnreachedUpstreams;
	}

	#takeBack(upstream: string): void {
		this.#sent--;
		const count = this.#contacted.get(upstream) ?? 0;
		if (count > 1) {
			this.#contacted.set(upstream, count - 1);
		} else {
			this.#contacted.delete(upstream);
		}
	}

	get #hasUpstreamsLeft(): boolean {
		return this.#contacted.size < this.#rules.attempts;
	}
}

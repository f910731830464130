/** The attempts of one request: where it went, and whether it may go on elsewhere. */
import {type Placing} from './load.js';
import {isRepeatable, type AttemptEnding} from './retries.js';
import {type Route} from './types.js';

/** Refusals of holds after which no other engines are tried. */
const maxRefusedHolds = 3;

/** Refusals for an engine that was to help after which no others are tried. */
const maxMissingHelpers = 4;

/**
 * Upstreams without a connection after which no others are tried. Two in each of several failure domains fail within
 * milliseconds where links are reset, while those of the own domain would answer.
 */
const maxUnreachedUpstreams = 8;

type RetryRules = Pick<Route, 'attempts' | 'isResumable' | 'kind'>;

/** Upstreams that a request may go to next. */
export type Eligibility = {
	/** Upstreams that it went to, or that refused it memory or help: neither asked again nor asked to help. */
	readonly tried: ReadonlySet<string>;
	/** One of these must answer, where the route allows no further upstream. */
	readonly permitted?: ReadonlySet<string>;
};

export class Tries {
	readonly #rules: RetryRules;
	readonly #excluded = new Set<string>();
	/** Upstreams that were sent the request. */
	readonly #contacted = new Set<string>();
	/** Those of them that would have taken it, had an engine helped them: asked again they are no further upstream. */
	readonly #askableAgain = new Set<string>();
	#sent = 0;
	#refusedHolds = 0;
	#missingHelpers = 0;
	#unreached = 0;

	/**
	 * @param rules - What the request's route allows.
	 */
	constructor(rules: RetryRules) {
		this.#rules = rules;
	}

	/** Upstreams that the request may go to next. */
	get eligibility(): Eligibility {
		return {tried: this.#excluded, permitted: this.#hasUpstreamsLeft ? undefined : this.#askableAgain};
	}

	/** Times that it was sent. */
	get sent(): number {
		return this.#sent;
	}

	/** Which placing of the request comes next. */
	get placing(): Placing {
		if (this.#sent > 0) {
			return 'retry';
		}

		return this.#unreached > 0 ? 'unreached before' : 'first';
	}

	/** Whether an engine that is silent could be left for another one. */
	get mayLeave(): boolean {
		return this.#hasUpstreamsLeft && this.#isRepeatable({type: 'unknown', reason: 'silent'});
	}

	/**
	 * @param upstream - Upstream that the request is sent to.
	 */
	noteSent(upstream: string): void {
		this.#sent++;
		this.#excluded.add(upstream);
		this.#contacted.add(upstream);
		this.#askableAgain.delete(upstream);
	}

	/**
	 * @param upstream - Upstream to which no connection was made: nothing was sent after all.
	 */
	noteUnreached(upstream: string): void {
		this.#sent--;
		this.#unreached++;
		this.#contacted.delete(upstream);
	}

	/**
	 * @param upstream - Engine that did not run the request.
	 * @param helper - Engine that was to help it and did not.
	 */
	noteMissedHelper(upstream: string, helper: string): void {
		this.#missingHelpers++;
		this.#excluded.delete(upstream);
		this.#askableAgain.add(upstream);
		this.#excluded.add(helper);
	}

	/**
	 * @param engines - Engines that refused memory.
	 */
	noteRefusedHold(engines: readonly string[]): void {
		this.#refusedHolds++;
		for (const engine of engines) {
			this.#excluded.add(engine);
		}
	}

	/**
	 * @param ending - How the last attempt ended.
	 * @returns Whether another one may follow, as far as this request goes.
	 */
	mayFollow(ending: AttemptEnding): boolean {
		// What this host gave up itself may have run all the same.
		const known: AttemptEnding = ending.type === 'cancelled' ? {type: 'unknown', reason: ending.reason} : ending;
		return this.#isRepeatable(known)
			&& (this.#hasUpstreamsLeft || this.#askableAgain.size > 0)
			&& this.#refusedHolds < maxRefusedHolds
			&& this.#missingHelpers < maxMissingHelpers
			&& this.#unreached < maxUnreachedUpstreams;
	}

	get #hasUpstreamsLeft(): boolean {
		return this.#contacted.size < this.#rules.attempts;
	}

	#isRepeatable(ending: AttemptEnding): boolean {
		return isRepeatable(this.#rules.kind, this.#rules.isResumable, ending);
	}
}

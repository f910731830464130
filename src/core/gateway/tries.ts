/** The attempts of one request: where it went, and whether it may go on elsewhere. */
import {isRepeatable, type AttemptEnding} from './retries.js';
import {type Route} from './types.js';

/** Refusals of holds after which no other engines are tried. */
const mostRefusedHolds = 3;

/** Upstreams without a connection after which no others are tried: each may take as long as a connection is waited for. */
const mostUnreached = 3;

type Rules = Pick<Route, 'attempts' | 'isResumable' | 'kind'>;

export class Tries {
	readonly #rules: Rules;
	readonly #tried = new Set<string>();
	#sent = 0;
	#refusedHolds = 0;
	#unreached = 0;

	/**
	 * @param rules - What the request's route allows.
	 */
	constructor(rules: Rules) {
		this.#rules = rules;
	}

	/** Upstreams that the request went to, or that refused it memory. */
	get tried(): ReadonlySet<string> {
		return this.#tried;
	}

	/** Upstreams that it was sent to. */
	get sent(): number {
		return this.#sent;
	}

	/** Whether an engine that is silent could be left for another one. */
	get mayLeave(): boolean {
		return this.#sent < this.#rules.attempts && this.#isRepeatable({type: 'unknown', reason: 'silent'});
	}

	/**
	 * @param upstream - Upstream that the request is sent to.
	 */
	noteSent(upstream: string): void {
		this.#sent++;
		this.#tried.add(upstream);
	}

	/** No connection was made: nothing was sent after all. */
	noteUnreached(): void {
		this.#sent--;
		this.#unreached++;
	}

	/**
	 * @param engines - Engines that refused memory.
	 */
	noteRefusedHold(engines: readonly string[]): void {
		this.#refusedHolds++;
		for (const engine of engines) {
			this.#tried.add(engine);
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
			&& this.#sent < this.#rules.attempts
			&& this.#refusedHolds < mostRefusedHolds
			&& this.#unreached < mostUnreached;
	}

	#isRepeatable(ending: AttemptEnding): boolean {
		return isRepeatable(this.#rules.kind, this.#rules.isResumable, ending);
	}
}

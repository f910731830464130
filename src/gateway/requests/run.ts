/** One attempt of a request, among others that may run at the same time. */
import {type CancelReason, type SuccessionReason} from '../../core/gateway/limits/retries.js';
import {type Placement} from '../../core/gateway/placement/placement.js';
import {type Attempt} from '../upstreams/attempt.js';

/** Attempts of the same request. */
export type RunObserver = {
	/** The engine of an attempt has accepted a connection for it. */
	readonly noteConnected: (run: Run) => void;
	/** The engine of an attempt has sent something; returns whether it is kept. */
	readonly lead: (run: Run) => boolean;
	/** An attempt may soon need a successor. */
	readonly prepare: (run: Run) => void;
	/** An attempt should get a successor; returns whether one was sent. */
	readonly request: (run: Run, reason: SuccessionReason, placement?: Placement) => boolean;
};

export class Run {
	readonly #observer: RunObserver;
	#placement: Placement;
	#attempt: Attempt | undefined;
	#isDropped = false;
	#yielding: Promise<void> | undefined;
	#endYielding: (() => void) | undefined;

	/**
	 * @param placement - Where it is to be sent.
	 * @param observer - Attempts of the same request.
	 */
	constructor(placement: Placement, observer: RunObserver) {
		this.#placement = placement;
		this.#observer = observer;
	}

	/** Where it was sent, or is to be. */
	get placement(): Placement {
		return this.#placement;
	}

	/** Whether it may have reached its engine. */
	get isSent(): boolean {
		return this.#attempt !== undefined;
	}

	/** Whether it was sent over another host. */
	get isTunnelled(): boolean {
		return this.#attempt?.tunnel !== undefined;
	}

	/** Whether another attempt was kept in its place. */
	get isDropped(): boolean {
		return this.#isDropped;
	}

	/** Resolves once it may pass on again what its engine sends; undefined if it may. */
	get yielding(): Promise<void> | undefined {
		return this.#yielding;
	}

	/**
	 * Holds back what its engine sends, so that its successor can go on after what the caller has now.
	 *
	 * @param time - Milliseconds after which it goes on.
	 */
	yieldFor(time: number): void {
		this.#yielding = new Promise(resolve => {
			const timer = setTimeout(() => {
				this.endYielding();
			}, time);
			this.#endYielding = () => {
				clearTimeout(timer);
				resolve();
			};
		});
	}

	/** Lets it go on, as its successor has ended. */
	endYielding(): void {
		this.#endYielding?.();
		this.#yielding = undefined;
		this.#endYielding = undefined;
	}

	/**
	 * @param attempt - Attempt that is about to be sent.
	 * @param placement - Where it is sent; engines may have been replaced while memory was reserved.
	 */
	begin(attempt: Attempt, placement: Placement): void {
		this.#attempt = attempt;
		this.#placement = placement;
	}

	/** Notes that its engine has accepted a connection for it. */
	noteConnected(): void {
		if (!this.#isDropped) {
			this.#observer.noteConnected(this);
		}
	}

	/** Takes the lead, as its engine has sent something. Returns false if another attempt is kept. */
	lead(): boolean {
		return !this.#isDropped && this.#observer.lead(this);
	}

	/** Looks for an engine that could take over, as its own is quiet. */
	prepareSuccessor(): void {
		if (!this.#isDropped) {
			this.#observer.prepare(this);
		}
	}

	/**
	 * Asks for a successor.
	 *
	 * @param reason - Why one is wanted.
	 * @param placement - Where to send it; any engine that sends something if absent.
	 * @returns Whether it is secured, so that it was sent.
	 */
	requestSuccessor(reason: SuccessionReason, placement?: Placement): boolean {
		return !this.#isDropped && this.#observer.request(this, reason, placement);
	}

	/**
	 * @param reason - Why it is cancelled.
	 */
	cancel(reason: CancelReason): void {
		this.#attempt?.cancel(reason);
	}

	/**
	 * Cancels it, as another attempt is kept.
	 *
	 * @param reason - Why.
	 */
	drop(reason: CancelReason): void {
		this.#isDropped = true;
		this.cancel(reason);
		this.endYielding();
	}
}

/** Runs the core: passes it events with the current time, keeps its state and executes its effects. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {
	initialState,
	raise,
	step,
	type Effect,
	type Event,
	type Member,
	type Random,
	type State,
} from '../core/index.js';
import {type Clock} from './clock.js';

export type Executor = {
	readonly execute: (effect: Effect) => void;
};

/** Time spent in the core on one type of event. */
export type EventUsage = {
	readonly events: number;
	readonly milliseconds: number;
};

export class Driver {
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #pauseThreshold: number;
	readonly #pending: Event[] = [];
	readonly #usage = new Map<Event['type'], EventUsage>();
	#state: State | undefined;
	#lastEventTime = Number.POSITIVE_INFINITY;
	#executor: Executor | undefined;
	#isProcessing = false;

	/**
	 * @param clock - Source of the time passed to the core.
	 * @param seed - Seed of the core's random source.
	 * @param pauseThreshold - Milliseconds without an event after which the process counts as having been paused.
	 */
	constructor(clock: Clock, seed: number, pauseThreshold: number) {
		this.#clock = clock;
		this.#pauseThreshold = pauseThreshold;
		const generator = xoroshiro128plus(seed);
		this.#random = {integer: (min, max) => uniformInt(generator, min, max)};
	}

	/**
	 * The core's state.
	 *
	 * @throws Failure `notConfigured` before the start.
	 */
	get state(): State {
		return this.#state ?? raise('notConfigured');
	}

	/** Time spent in the core by event type. */
	get usage(): ReadonlyMap<Event['type'], EventUsage> {
		return this.#usage;
	}

	/**
	 * Initializes the core. Must be called once the listeners are open, as the core needs their addresses.
	 *
	 * @param self - This host with its addresses.
	 * @param executor - Executes the effects.
	 */
	start(self: Member, executor: Executor): void {
		this.#state = initialState(self);
		this.#executor = executor;
	}

	/**
	 * Passes an event to the core and executes the resulting effects. An event dispatched by an effect is queued until the effects
	 * before it are done.
	 */
	dispatch(event: Event): void {
		this.#detectPause();
		this.#pending.push(event);
		if (this.#isProcessing) {
			return;
		}

		this.#isProcessing = true;
		try {
			this.#processPending();
		} finally {
			this.#isProcessing = false;
		}
	}

	/** Queues a `woken` event ahead of the first event after a pause, whatever that event is. */
	#detectPause(): void {
		const now = this.#clock.now();
		const gap = now - this.#lastEventTime;
		this.#lastEventTime = now;
		if (gap > this.#pauseThreshold) {
			this.#pending.push({type: 'woken', pause: gap});
		}
	}

	#processPending(): void {
		for (let event = this.#pending.shift(); event !== undefined; event = this.#pending.shift()) {
			for (const effect of this.#processEvent(event)) {
				this.#executor?.execute(effect);
			}
		}
	}

	#processEvent(event: Event): readonly Effect[] {
		const began = this.#clock.now();
		const {state, effects} = step(this.state, event, {
			now: began,
			wall: this.#clock.wall(),
			random: this.#random,
		});
		this.#state = state;
		const usage = this.#usage.get(event.type) ?? {events: 0, milliseconds: 0};
		this.#usage.set(event.type, {
			events: usage.events + 1,
			milliseconds: usage.milliseconds + this.#clock.now() - began,
		});
		return effects;
	}
}

/** Drives the core: gives it events with the time, keeps its state and has its effects carried out. */
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

/** Carries out effects. */
export type Executor = {
	readonly execute: (effect: Effect) => void;
};

/** Time spent in the core on one type of event. */
export type Usage = {
	readonly events: number;
	readonly milliseconds: number;
};

export class Driver {
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #pauseThreshold: number;
	readonly #pending: Event[] = [];
	readonly #usage = new Map<Event['type'], Usage>();
	#state: State | undefined;
	#seen = Number.POSITIVE_INFINITY;
	#executor: Executor | undefined;
	#isBusy = false;

	/**
	 * @param clock - Time.
	 * @param seed - Seed of the random source.
	 * @param pauseThreshold - Milliseconds without an event from which on the process counts as paused.
	 */
	constructor(clock: Clock, seed: number, pauseThreshold: number) {
		this.#clock = clock;
		this.#pauseThreshold = pauseThreshold;
		const generator = xoroshiro128plus(seed);
		this.#random = {integer: (least, most) => uniformInt(generator, least, most)};
	}

	/**
	 * The core's state.
	 *
	 * @throws Failure `notConfigured` before the start.
	 */
	get state(): State {
		return this.#state ?? raise('notConfigured');
	}

	/** Time spent in the core by type of event. */
	get usage(): ReadonlyMap<Event['type'], Usage> {
		return this.#usage;
	}

	/**
	 * Starts with the addresses that the listeners got.
	 *
	 * @param self - This host.
	 * @param executor - Carries out the effects.
	 */
	start(self: Member, executor: Executor): void {
		this.#state = initialState(self);
		this.#executor = executor;
	}

	/**
	 * Takes an event. One that comes while effects are carried out waits until they are.
	 *
	 * @param event - What happened.
	 */
	dispatch(event: Event): void {
		this.#noticePause();
		this.#pending.push(event);
		if (this.#isBusy) {
			return;
		}

		this.#isBusy = true;
		try {
			this.#drain();
		} finally {
			this.#isBusy = false;
		}
	}

	/** Whatever runs first after a pause, the core hears of the pause before it. */
	#noticePause(): void {
		const now = this.#clock.now();
		const gap = now - this.#seen;
		this.#seen = now;
		if (gap > this.#pauseThreshold) {
			this.#pending.push({type: 'woken', pause: gap});
		}
	}

	#drain(): void {
		for (let event = this.#pending.shift(); event !== undefined; event = this.#pending.shift()) {
			for (const effect of this.#take(event)) {
				this.#executor?.execute(effect);
			}
		}
	}

	#take(event: Event): readonly Effect[] {
		const began = this.#clock.now();
		const {state, effects} = step(this.state, event, {
			now: began,
			wall: this.#clock.wall(),
			random: this.#random,
		});
		this.#state = state;
		const before = this.#usage.get(event.type) ?? {events: 0, milliseconds: 0};
		this.#usage.set(event.type, {
			events: before.events + 1,
			milliseconds: before.milliseconds + this.#clock.now() - began,
		});
		return effects;
	}
}

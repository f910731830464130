/** A host of the fuzz world: a core state, and what an entry daemon would do with its effects. */
import {
	initialState, step, type Context, type Effect, type Event, type Member, type Request, type State,
} from '../../src/core/index.js';
import {type Dice} from './random.js';
import {type Ledger, type Visit} from './ledger.js';
import {type Mutation} from './mutations.js';

/** Wall-clock time at the start of every run. */
export const epoch = 1_800_000_000_000;

/** Who waits for an answer: a caller, another host, or a request that repeats this one. */
export type Receiver = (outcome: Answer) => void;

export type Answer = {
	readonly effect: Extract<Effect, {readonly type: 'answer'}>;
	/** Operation whose result it carries. */
	readonly payload?: string;
	/** When it was decided, at whichever host. */
	readonly decidedAt: number;
};

export type Exchange = {
	readonly request: Request;
	readonly operation: string;
	readonly right: string;
	readonly receivers: Receiver[];
	readonly visit: Visit;
	payload?: string;
	/** What the host that it was passed on to answered. */
	passed?: Answer;
	answer?: Answer;
};

/** What all hosts of a world share. */
export type Surroundings = {
	readonly dice: Dice;
	readonly ledger: Ledger;
	readonly mutation: Mutation | undefined;
};

export class Host {
	readonly member: Member;
	state: State;
	isAlive = true;
	isPaused = false;
	readonly wanted = new Map<string, number>();
	readonly exchanges = new Map<string, Exchange>();
	readonly tickets = new Map<string, (ticket: Extract<Effect, {readonly type: 'issue-ticket'}>['ticket']) => void>();
	readonly #backlog: Event[] = [];
	readonly #surroundings: Surroundings;
	readonly #skew: number;

	constructor(member: Member, surroundings: Surroundings, skew: number) {
		this.member = member;
		this.state = initialState(member);
		this.#surroundings = surroundings;
		this.#skew = skew;
	}

	get name(): string {
		return this.member.incarnation.host;
	}

	/**
	 * @param now - Time of the world in milliseconds.
	 * @returns This host's wall clock.
	 */
	wall(now: number): number {
		return epoch + now + this.#skew;
	}

	/** Takes an event, or keeps it until this host wakes. */
	take(event: Event, now: number): readonly Effect[] {
		if (!this.isAlive) {
			return [];
		}

		if (this.isPaused) {
			if (event.type !== 'tick') {
				this.#backlog.push(event);
			}

			return [];
		}

		return this.#step(event, now);
	}

	/** Wakes: hears of the pause first, then of everything that came meanwhile. */
	wake(pause: number, now: number): readonly Effect[] {
		this.isPaused = false;
		const events: readonly Event[] = [{type: 'woken', pause}, ...this.#backlog.splice(0)];
		return events.flatMap(event => this.take(event, now));
	}

	#step(event: Event, now: number): readonly Effect[] {
		const {dice, ledger, mutation} = this.#surroundings;
		const context: Context = {now, wall: this.wall(now), random: dice};
		const changed = mutation?.event?.(event, this) ?? [event];
		const effects: Effect[] = [];
		for (const each of changed) {
			const next = step(this.state, each, context);
			ledger.steps++;
			this.state = mutation?.state?.(next.state, this) ?? next.state;
			effects.push(...next.effects);
		}

		return effects.flatMap(effect => mutation?.effect?.(effect, this) ?? [effect]);
	}
}

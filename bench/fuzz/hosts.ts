/** A simulated host: runs the core on events, and returns the effects that an entry daemon would execute. */
import {
	initialState, step, type StepContext, type Effect, type Event, type Member, type Request, type State,
} from '../../src/core/index.js';
import {type SeededRandom} from './random.js';
import {type Ledger, type HostRequest} from './ledger.js';
import {type Mutation} from './mutations.js';

/** Wall-clock time at the start of every run, in milliseconds since 1970. */
export const epoch = 1_800_000_000_000;

/** Takes an answer for a caller, another host, or a request that repeats this one. */
export type AnswerHandler = (answer: Answer) => void;

export type Answer = {
	readonly effect: Extract<Effect, {readonly type: 'answer'}>;
	/** Operation whose result the answer carries. */
	readonly payload?: string;
	/** When it was decided, at this host or at the host that the request was forwarded to. */
	readonly decidedAt: number;
};

export type Exchange = {
	readonly request: Request;
	readonly operation: string;
	readonly right: string;
	readonly answerHandlers: AnswerHandler[];
	readonly hostRequest: HostRequest;
	payload?: string;
	/** Answer of the host that the request was forwarded to. */
	forwardedAnswer?: Answer;
	answer?: Answer;
};

/** Shared by all hosts of a simulation. */
export type HostOptions = {
	readonly random: SeededRandom;
	readonly ledger: Ledger;
	readonly mutation: Mutation | undefined;
};

export class Host {
	readonly member: Member;
	state: State;
	isAlive = true;
	isPaused = false;
	/** Peer ports of the hosts that this host wants links to, by name. */
	readonly connectTargets = new Map<string, number>();
	readonly exchanges = new Map<string, Exchange>();
	readonly ticketHandlers = new Map<string, (ticket: Extract<Effect, {readonly type: 'issue-ticket'}>['ticket']) => void>();
	readonly #backlog: Event[] = [];
	readonly #options: HostOptions;
	readonly #clockSkew: number;

	constructor(member: Member, options: HostOptions, clockSkew: number) {
		this.member = member;
		this.state = initialState(member);
		this.#options = options;
		this.#clockSkew = clockSkew;
	}

	get name(): string {
		return this.member.incarnation.host;
	}

	/**
	 * @param now - Simulation time in milliseconds.
	 * @returns Wall-clock time of this host.
	 */
	getWallTime(now: number): number {
		return epoch + now + this.#clockSkew;
	}

	/** Handles an event; while this host is paused, queues it, or drops it if it is a tick. */
	handle(event: Event, now: number): readonly Effect[] {
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

	/** Ends a pause: handles an event about the pause first, then the queued events. */
	resume(pause: number, now: number): readonly Effect[] {
		this.isPaused = false;
		const events: readonly Event[] = [{type: 'woken', pause}, ...this.#backlog.splice(0)];
		return events.flatMap(event => this.handle(event, now));
	}

	#step(event: Event, now: number): readonly Effect[] {
		const {random, ledger, mutation} = this.#options;
		const context: StepContext = {now, wall: this.getWallTime(now), random};
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

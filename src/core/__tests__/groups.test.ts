import {describe, expect, it} from 'vitest';
import {
	codes, configurationSchema, step, type Effect, type Event, type Random, type State,
} from '../index.js';
import {createRandom} from '../../../bench/model/workload.js';
import {
	applyEvents, createConfiguration, createMember, createRequest, createServingState, effectsOf, startWallTimeMs,
} from './fixtures.js';

const memoryTokens = 100_000;
const engines = ['e1', 'e2', 'e3', 'e4'];

const document = configurationSchema.parse({
	...createConfiguration(),
	services: [{
		id: 'm', kind: 'model', model: 'm', deadline: {default: 100_000, most: 200_000}, idempotent: true,
	}],
	organisations: ['paper', 'other'].map(id => ({id, keyHashes: []})),
	upstreams: engines.map(id => ({
		id, kind: 'engine', service: 'm', failureDomain: 'a', address: {host: '127.0.0.1', port: 1}, memory: memoryTokens, fencing: true,
	})),
});

function createArrival(id: string, promptTokens = 230_000, deadline = 100_000): Event {
	return {
		type: 'request-arrived',
		request: createRequest(id, {type: 'idempotent'}, {
			service: 'm', promptTokens, outputLimit: 100, deadline, fingerprint: id,
		}),
	};
}

function createHoldAnswer(effect: Extract<Effect, {readonly type: 'hold'}>, granted: boolean): Event {
	return {
		type: 'hold-answered', hold: effect.hold, upstream: effect.upstream, granted,
	};
}

/** Grants every requested hold until the request is sent. */
function grantHolds(state: State, now: number, first: readonly Effect[]) {
	let current = state;
	let effects = first;
	const all = [...first];
	for (let holds = effectsOf(effects, 'hold'); holds.length > 0; holds = effectsOf(effects, 'hold')) {
		const next = applyEvents(current, now, ...holds.map(each => createHoldAnswer(each, true)));
		current = next.state;
		effects = next.effects;
		all.push(...effects);
	}

	return {state: current, effects: all};
}

/** Simulates two hosts and the engines' memory. Messages arrive in random order, and some answers are lost. */
class GroupSimulation {
	readonly outcomes: string[] = [];
	readonly #random: Random;
	readonly #hosts: State[] = ['a1', 'a2'].map(id => createServingState(createMember(id), document));
	readonly #held = new Map<string, {readonly upstream: string; readonly tokens: number}>();
	#messages: Array<() => void> = [];
	#now = 0;

	constructor(seed: number) {
		this.#random = createRandom(seed);
	}

	get isIdle(): boolean {
		return this.#hosts.every(each => each.groups.groups.isEmpty() && each.holds.releases.isEmpty() && each.requests.admissions.isEmpty());
	}

	get held(): number {
		return this.#held.size;
	}

	dispatch(host: number, event: Event): void {
		const {state, effects} = step(this.#hosts[host]!, event, {now: this.#now, wall: startWallTimeMs + this.#now, random: this.#random});
		this.#hosts[host] = state;
		for (const effect of effects) {
			this.#handleEffect(host, effect);
		}
	}

	/** Advances the clock by 10 ms and delivers about half of the pending messages. */
	advance(): void {
		this.#now += 10;
		const pending = this.#messages;
		this.#messages = [];
		for (const message of pending.toSorted(() => this.#random.integer(0, 1) - 0.5)) {
			if (this.#random.integer(0, 1) === 0) {
				message();
			} else {
				this.#messages.push(message);
			}
		}

		for (const host of this.#hosts.keys()) {
			this.dispatch(host, {type: 'tick'});
		}
	}

	#freeMemory(upstream: string): number {
		let freeTokens = memoryTokens;
		for (const each of this.#held.values()) {
			freeTokens -= each.upstream === upstream ? each.tokens : 0;
		}

		return freeTokens;
	}

	#handleEffect(host: number, effect: Effect): void {
		switch (effect.type) {
			case 'hold': {
				this.#messages.push(() => {
					const granted = this.#held.has(effect.hold) || this.#freeMemory(effect.upstream) >= effect.tokens;
					if (granted) {
						this.#held.set(effect.hold, effect);
					}

					expect(this.#freeMemory(effect.upstream)).toBeGreaterThanOrEqual(0);
					if (this.#random.integer(0, 19) > 0) {
						this.#messages.push(() => {
							this.dispatch(host, createHoldAnswer(effect, granted));
						});
					}
				});
				break;
			}

			case 'release': {
				this.#messages.push(() => {
					this.#held.delete(effect.hold);
					if (this.#random.integer(0, 3) > 0) {
						this.dispatch(host, {type: 'hold-released', hold: effect.hold, upstream: effect.upstream});
					}
				});
				break;
			}

			case 'send': {
				expect(effect.segments!.every(each => this.#held.has(each.hold))).toBe(true);
				this.#messages.push(() => {
					this.dispatch(host, {type: 'attempt-ended', attempt: effect.attempt, ending: {type: 'done', tokens: 1}});
				});
				break;
			}

			case 'answer': {
				this.outcomes.push(effect.outcome.type);
				break;
			}

			default: {
				break;
			}
		}
	}
}

describe('groups of engines', () => {
	it('requests holds one after another in the order of engine names, and sends once all are granted', () => {
		const first = applyEvents(createServingState(createMember('a1'), document), 0, createArrival('r'));
		const {effects} = grantHolds(first.state, 1, first.effects);
		const asked = effectsOf(effects, 'hold').map(each => each.upstream);
		expect(asked).toEqual(asked.toSorted());
		expect(asked).toHaveLength(3);
		const [sent] = effectsOf(effects, 'send');
		expect(sent!.upstream).toBe(asked.at(-1));
		expect(sent!.segments!.map(each => each.upstream)).toEqual(asked);
		expect(sent!.segments![0]!.from).toBe(0);
		expect(sent!.segments!.at(-1)!.to).toBe(230_000);
		expect(sent!.segments!.every((each, index, all) => index === 0 || all[index - 1]!.to === each.from)).toBe(true);
	});

	it('releases all holds when one engine has no memory in time, and tries again', () => {
		const first = applyEvents(createServingState(createMember('a1'), document), 0, createArrival('r'));
		const [hold] = effectsOf(first.effects, 'hold');
		const second = applyEvents(first.state, 1, createHoldAnswer(hold!, true));
		const [next] = effectsOf(second.effects, 'hold');
		let {state} = applyEvents(second.state, 2, createHoldAnswer(next!, false));
		let effects: readonly Effect[] = [];
		for (let now = 100; now <= 10_100 && effectsOf(effects, 'release').length === 0; now += 100) {
			const passed = applyEvents(state, now, {type: 'tick'});
			state = effectsOf(passed.effects, 'hold').length > 0 ? applyEvents(passed.state, now, createHoldAnswer(next!, false)).state : passed.state;
			effects = passed.effects;
		}

		expect(effectsOf(effects, 'release').map(each => each.hold).toSorted()).toEqual([hold!.hold, next!.hold].toSorted());
		expect(effectsOf(applyEvents(state, 12_000, {type: 'tick'}).effects, 'hold')).toHaveLength(1);
	});

	it('releases all holds after the answer, after a failure and when the caller leaves', () => {
		const first = applyEvents(createServingState(createMember('a1'), document), 0, createArrival('r'));
		const sent = grantHolds(first.state, 1, first.effects);
		const [send] = effectsOf(sent.effects, 'send');
		const ends: readonly Event[] = [
			{type: 'attempt-ended', attempt: send!.attempt, ending: {type: 'done', tokens: 1}},
			{
				type: 'attempt-ended', attempt: send!.attempt, ending: {
					type: 'failed', code: codes.upstreamFailed, detail: '',
				},
			},
			{type: 'request-abandoned', request: 'r'},
		];
		for (const event of ends) {
			expect(effectsOf(applyEvents(sent.state, 2, event).effects, 'release')).toHaveLength(3);
		}
	});

	it('repeats a release until it is confirmed, and releases a hold that was granted too late', () => {
		const first = applyEvents(createServingState(createMember('a1'), document), 0, createArrival('r'));
		const [hold] = effectsOf(first.effects, 'hold');
		const left = applyEvents(first.state, 1, {type: 'request-abandoned', request: 'r'});
		expect(effectsOf(left.effects, 'release')).toHaveLength(1);
		const again = applyEvents(left.state, 1100, {type: 'tick'});
		expect(effectsOf(again.effects, 'release')).toHaveLength(1);
		const confirmed = applyEvents(again.state, 1200, {type: 'hold-released', hold: hold!.hold, upstream: hold!.upstream});
		expect(effectsOf(applyEvents(confirmed.state, 3000, {type: 'tick'}).effects, 'release')).toEqual([]);
		const late = applyEvents(confirmed.state, 3001, createHoldAnswer(hold!, true));
		expect(effectsOf(late.effects, 'release')).toHaveLength(1);
	});

	it('refuses a prompt that exceeds the memory of all engines together', () => {
		const {effects} = applyEvents(createServingState(createMember('a1'), document), 0, createArrival('r', 390_000));
		expect(effectsOf(effects, 'answer').map(each => each.outcome)).toMatchObject([{type: 'not-run', code: codes.promptTooLong}]);
	});

	it.each([1, 2, 3, 4, 5, 6, 7, 8])('two hosts that compete for the same engines both complete, and no hold is left (seed %i)', seed => {
		const simulation = new GroupSimulation(seed);
		for (const host of [0, 1]) {
			for (let index = 0; index < 3; index++) {
				simulation.dispatch(host, createArrival(`${host}-${index}`, 230_000, 200_000));
			}
		}

		for (let turn = 0; turn < 20_000 && !(simulation.isIdle && simulation.held === 0); turn++) {
			simulation.advance();
		}

		expect(simulation.held).toBe(0);
		expect(simulation.isIdle).toBe(true);
		expect(simulation.outcomes).toEqual(Array.from({length: 6}, () => 'done'));
	});
});

import {describe, expect, it} from 'vitest';
import {
	type Configuration, type Effect, type Ending, type Request, type Takeover, type Ticket,
} from '../index.js';
import {findServingSystem} from '../features/takeover/queries.js';
import {
	createConfiguration, createMember, createRequest, createServingState,
} from './fixtures.js';
import {SimulatedNetwork} from './network.js';

function createTakeoverDocument(revision: number, takeovers: readonly Takeover[]): Configuration {
	const base = createConfiguration();
	return {
		...base,
		revision,
		upstreams: [...base.upstreams, {
			id: 'old', kind: 'legacy', service: 'bookings', failureDomain: 'a', address: {host: '127.0.0.1', port: 99}, concurrent: 8,
		}],
		takeovers,
	};
}

const toLegacy: readonly Takeover[] = [{service: 'bookings', servedBy: 'legacy'}];

describe('the serving system', () => {
	it.each([
		[[], 'cranberrytide'],
		[toLegacy, 'legacy'],
		[[...toLegacy, {service: 'bookings', failureDomain: 'a', servedBy: 'cranberrytide'}], 'cranberrytide'],
		[[...toLegacy, {service: 'bookings', failureDomain: 'b', servedBy: 'cranberrytide'}], 'legacy'],
		[[{service: 'bookings', organisation: 'paper', servedBy: 'legacy'}, {service: 'bookings', failureDomain: 'a', servedBy: 'cranberrytide'}], 'legacy'],
		[[{service: 'other', servedBy: 'legacy'}], 'cranberrytide'],
	] as const)('is that of the most specific rule (%#)', (takeovers, expected) => {
		const state = createServingState(createMember('a1'), createTakeoverDocument(1, takeovers));
		expect(findServingSystem(state, {service: 'bookings', organisation: 'paper'})).toBe(expected);
	});
});

type Run = {
	readonly right: string;
	readonly side: 'legacy' | 'cranberrytide';
	readonly ending: Ending['type'];
};

/** Hosts that forward requests to each other and send them to upstreams with random outcomes. */
class TakeoverSimulation {
	readonly network: SimulatedNetwork;
	readonly runs: Run[] = [];
	readonly tickets: Ticket[] = [];
	readonly hosts = ['a1', 'a2', 'a3'];
	readonly #random: (most: number) => number;
	readonly #forwards = new Map<string, {readonly host: string; readonly request: string}>();
	readonly #requests = new Map<string, Request>();
	#nextId = 0;

	constructor(seed: number) {
		this.network = new SimulatedNetwork(seed);
		let value = seed;
		this.#random = most => {
			value = (value * 48_271) % 2_147_483_647;
			return value % most;
		};

		for (const host of this.hosts) {
			this.network.addHost(host, 'a');
		}

		this.network.handleEffect = (host, effect) => {
			this.#handleEffect(host, effect);
		};

		this.network.sendHostList(...this.hosts);
	}

	/** Sends a request with a ticket or key, which may have been used before, to a random host. */
	sendToRandomHost(proof: Request['proof'], right: string) {
		this.#sendRequest(this.hosts[this.#random(this.hosts.length)]!, proof, right);
	}

	randomBelow(most: number): number {
		return this.#random(most);
	}

	#sendRequest(host: string, proof: Request['proof'], right: string, deadline = this.network.now + 5000): string {
		const id = `r${this.#nextId++}`;
		const made = createRequest(id, proof, {fingerprint: right, arrival: this.network.now, deadline});
		this.#requests.set(id, made);
		this.network.dispatch(host, {type: 'request-arrived', request: made});
		return id;
	}

	#handleEffect(host: string, effect: Effect) {
		switch (effect.type) {
			case 'issue-ticket': {
				this.tickets.push(effect.ticket);
				break;
			}

			case 'forward': {
				const {proof, fingerprint, deadline} = this.#requests.get(effect.request)!;
				const id = this.#sendRequest(effect.host, proof, fingerprint, deadline);
				this.#forwards.set(`${effect.host} ${id}`, {host, request: effect.request});
				break;
			}

			case 'send': {
				this.#runAttempt(host, effect);
				break;
			}

			case 'answer': {
				const waiting = this.#forwards.get(`${host} ${effect.request}`);
				if (waiting !== undefined) {
					this.network.dispatchLater(waiting.host, {type: 'forward-ended', request: waiting.request, ending: {type: 'done', tokens: 0}});
				}

				break;
			}

			default: {
				break;
			}
		}
	}

	#runAttempt(host: string, effect: Extract<Effect, {readonly type: 'send'}>) {
		const endings: readonly Ending[] = [
			{type: 'done', tokens: 1},
			{type: 'failed', code: 3001, detail: ''},
			{
				type: 'not-run', code: 2009, overload: true, detail: '',
			},
			{
				type: 'unknown', code: 4001, detail: '', relayed: false,
			},
		];
		const ending = endings[this.#random(endings.length)]!;
		this.runs.push({
			right: this.#requests.get(effect.request)!.fingerprint,
			side: effect.upstream === 'old' ? 'legacy' : 'cranberrytide',
			ending: ending.type,
		});
		this.network.dispatchLater(host, {type: 'attempt-ended', attempt: effect.attempt, ending});
	}
}

describe('a takeover while hosts adopt the configuration at different times', () => {
	it('runs no non-idempotent request on both systems, nor twice on one', () => {
		const sides = new Set<string>();
		for (let seed = 1; seed <= 20; seed++) {
			const simulation = new TakeoverSimulation(seed);
			simulation.network.publishConfiguration(createTakeoverDocument(1, toLegacy), ...simulation.hosts);
			simulation.network.run(3000);
			// One host stays at the old revision: it receives documents neither from the platform nor from its peers.
			const outdatedHost = simulation.hosts[simulation.randomBelow(3)]!;
			for (const host of simulation.hosts) {
				simulation.network.dispatch(host, {type: 'ticket-wanted', request: `w${host}`, organisation: 'paper'});
			}

			const proofs: ReadonlyArray<readonly [Request['proof'], string]> = [
				...simulation.tickets.map(ticket => [{type: 'ticket', ticket}, `ticket of ${ticket.keeper.host}`] as const),
				...['k1', 'k2', 'k3'].map(key => [{type: 'key', key}, key] as const),
			];
			for (let round = 0; round < 40; round++) {
				const [proof, right] = proofs[simulation.randomBelow(proofs.length)]!;
				simulation.sendToRandomHost(proof, right);
				simulation.network.run(50);
				if (round === 10) {
					simulation.network.limitRevision(outdatedHost, 1);
					simulation.network.publishConfiguration(createTakeoverDocument(2, []), ...simulation.hosts.filter(host => host !== outdatedHost));
				}

				if (round === 30) {
					simulation.network.limitRevision(outdatedHost, undefined);
				}
			}

			simulation.network.run(3000);
			expect(simulation.hosts.map(host => simulation.network.state(host).configuration.inForce?.revision)).toEqual([2, 2, 2]);
			const run = simulation.runs.filter(each => each.ending !== 'not-run');
			expect(new Set(run.map(each => each.right)).size).toBe(run.length);
			for (const each of run) {
				sides.add(each.side);
			}
		}

		expect(sides).toEqual(new Set(['legacy', 'cranberrytide']));
	});
});

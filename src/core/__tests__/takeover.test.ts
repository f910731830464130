import {describe, expect, it} from 'vitest';
import {
	type Configuration, type Effect, type Ending, type Request, type Takeover, type Ticket,
} from '../index.js';
import {servedBy} from '../features/takeover/queries.js';
import {
	configuration, member, request, serving,
} from './hosts.js';
import {Network} from './network.js';

function documentWith(revision: number, takeovers: readonly Takeover[]): Configuration {
	const base = configuration();
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

describe('who serves', () => {
	it.each([
		[[], 'cranberrytide'],
		[toLegacy, 'legacy'],
		[[...toLegacy, {service: 'bookings', failureDomain: 'a', servedBy: 'cranberrytide'}], 'cranberrytide'],
		[[...toLegacy, {service: 'bookings', failureDomain: 'b', servedBy: 'cranberrytide'}], 'legacy'],
		[[{service: 'bookings', organisation: 'paper', servedBy: 'legacy'}, {service: 'bookings', failureDomain: 'a', servedBy: 'cranberrytide'}], 'legacy'],
		[[{service: 'other', servedBy: 'legacy'}], 'cranberrytide'],
	] as const)('is found by the narrowest rule (%#)', (takeovers, expected) => {
		const state = serving(member('a1'), documentWith(1, takeovers));
		expect(servedBy(state, {service: 'bookings', organisation: 'paper'})).toBe(expected);
	});
});

type Run = {
	readonly right: string;
	readonly side: 'legacy' | 'cranberrytide';
	readonly ending: Ending['type'];
};

/** Hosts that pass requests on to each other and send them to upstreams whose answers differ. */
class Move {
	readonly network: Network;
	readonly runs: Run[] = [];
	readonly tickets: Ticket[] = [];
	readonly hosts = ['a1', 'a2', 'a3'];
	readonly #random: (most: number) => number;
	readonly #waiting = new Map<string, {readonly host: string; readonly request: string}>();
	readonly #requests = new Map<string, Request>();
	#next = 0;

	constructor(seed: number) {
		this.network = new Network(seed);
		let value = seed;
		this.#random = most => {
			value = (value * 48_271) % 2_147_483_647;
			return value % most;
		};

		for (const host of this.hosts) {
			this.network.add(host, 'a');
		}

		this.network.outside = (host, effect) => {
			this.#execute(host, effect);
		};

		this.network.list(...this.hosts);
	}

	/** A caller shows a ticket or a key at some host, perhaps not for the first time. */
	show(proof: Request['proof'], right: string) {
		this.#arrive(this.hosts[this.#random(this.hosts.length)]!, proof, right);
	}

	pick(most: number): number {
		return this.#random(most);
	}

	#arrive(host: string, proof: Request['proof'], right: string, deadline = this.network.now + 5000): string {
		const id = `r${this.#next++}`;
		const made = request(id, proof, {fingerprint: right, arrival: this.network.now, deadline});
		this.#requests.set(id, made);
		this.network.dispatch(host, {type: 'request-arrived', request: made});
		return id;
	}

	#execute(host: string, effect: Effect) {
		switch (effect.type) {
			case 'issue-ticket': {
				this.tickets.push(effect.ticket);
				break;
			}

			case 'forward': {
				const {proof, fingerprint, deadline} = this.#requests.get(effect.request)!;
				const id = this.#arrive(effect.host, proof, fingerprint, deadline);
				this.#waiting.set(`${effect.host} ${id}`, {host, request: effect.request});
				break;
			}

			case 'send': {
				this.#run(host, effect);
				break;
			}

			case 'answer': {
				const waiting = this.#waiting.get(`${host} ${effect.request}`);
				if (waiting !== undefined) {
					this.network.later(waiting.host, {type: 'forward-ended', request: waiting.request, ending: {type: 'done', tokens: 0}});
				}

				break;
			}

			default: {
				break;
			}
		}
	}

	#run(host: string, effect: Extract<Effect, {readonly type: 'send'}>) {
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
		this.network.later(host, {type: 'attempt-ended', attempt: effect.attempt, ending});
	}
}

describe('moving in while hosts adopt at different moments', () => {
	it('runs no non-idempotent request on both sides, nor twice on one', () => {
		const sides = new Set<string>();
		for (let seed = 1; seed <= 20; seed++) {
			const move = new Move(seed);
			move.network.publish(documentWith(1, toLegacy), ...move.hosts);
			move.network.run(3000);
			// One host is held at the old revision: it neither reads the platform nor hears its peers' documents.
			const held = move.hosts[move.pick(3)]!;
			for (const host of move.hosts) {
				move.network.dispatch(host, {type: 'ticket-wanted', request: `w${host}`, organisation: 'paper'});
			}

			const proofs: ReadonlyArray<readonly [Request['proof'], string]> = [
				...move.tickets.map(ticket => [{type: 'ticket', ticket}, `ticket of ${ticket.keeper.host}`] as const),
				...['k1', 'k2', 'k3'].map(key => [{type: 'key', key}, key] as const),
			];
			for (let round = 0; round < 40; round++) {
				const [proof, right] = proofs[move.pick(proofs.length)]!;
				move.show(proof, right);
				move.network.run(50);
				if (round === 10) {
					move.network.holdRevision(held, 1);
					move.network.publish(documentWith(2, []), ...move.hosts.filter(host => host !== held));
				}

				if (round === 30) {
					move.network.holdRevision(held, undefined);
				}
			}

			move.network.run(3000);
			expect(move.hosts.map(host => move.network.state(host).configuration.inForce?.revision)).toEqual([2, 2, 2]);
			const run = move.runs.filter(each => each.ending !== 'not-run');
			expect(new Set(run.map(each => each.right)).size).toBe(run.length);
			for (const each of run) {
				sides.add(each.side);
			}
		}

		expect(sides).toEqual(new Set(['legacy', 'cranberrytide']));
	});
});

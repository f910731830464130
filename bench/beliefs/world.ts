/**
 * Plays in virtual time what the hosts of a failure domain believe of upstreams that come and go, while some hosts stand still, are
 * killed, are slow, or are turned away by the store. Whoever is undisturbed must know within the bound.
 */
import {assertNever, type Random} from '../../src/core/index.js';
import {type Host, type Message} from '../../src/gateway/peers/messages.js';
import {relaysOf} from '../../src/gateway/peers/topology.js';
import {seeded} from '../model/workload.js';
import {Member, newsBound} from './member.js';
import {PlayedStore} from './store.js';

/** Milliseconds. */
const step = 25;
const settleTime = 4000;
const silenceTime = 2000;
const relinkTime = 300;
const warmUp = 5000;
const longestLatency = 20;
const longestDelay = 500;
const leaveInterval = 400;
const troubleInterval = 2500;

const hosts = 10;
const upstreams = 12;

/** What an undisturbed host believed wrongly for longer than the bound. */
export type Breach = {
	readonly at: number;
	readonly host: string;
	readonly upstream: string;
	readonly belief: 'missing' | 'ready';
	/** Milliseconds since the store acknowledged otherwise. */
	readonly age: number;
};

/** What befalls a host: `suspended` is frozen with a monotonic clock that does not count the time. */
export type Trouble = 'frozen' | 'killed' | 'slow' | 'suspended' | 'turned-away';

export type WorldOptions = {
	readonly seed: number;
	/** Kinds that may come. */
	readonly troubles: readonly Trouble[];
	/** Milliseconds played. */
	readonly duration: number;
	/** Moves virtual time on. */
	readonly advance: (time: number) => Promise<void>;
};

export class World {
	readonly members: readonly Member[];
	readonly breaches: Breach[] = [];
	/** Longest time in milliseconds for which an undisturbed host believed wrongly. */
	worst = 0;
	readonly #options: WorldOptions;
	readonly #store = new PlayedStore();
	readonly #random: Random;
	/** Since when a host is out of reach of the others, and when it was linked again. */
	readonly #silentSince = new Map<string, number>();
	readonly #linkedAt = new Map<string, number>();
	/** When the last message between two hosts arrives: links keep the order. */
	readonly #lastArrival = new Map<string, number>();
	#count = 0;

	/**
	 * @param options - Seed and time.
	 */
	constructor(options: WorldOptions) {
		this.#options = options;
		this.#random = seeded(options.seed);
		const network = {
			visible: (name: string) => this.#visible(name),
			send: (from: string, to: string, message: Message) => {
				this.#send(from, to, message);
			},
		};
		this.members = Array.from({length: hosts}, (_, index) => new Member({
			name: `h${index}`, failureDomain: 'a', address: {host: '127.0.0.1', port: 1}, started: 1, capacity: index < 2 ? 2 : 1,
		}, network, this.#store));
	}

	/** Plays it all. */
	async play(): Promise<void> {
		for (let index = 0; index < upstreams; index++) {
			this.#come();
		}

		for (const member of this.members) {
			member.start();
		}

		await this.#options.advance(warmUp);
		const end = performance.now() + this.#options.duration;
		let leaveAt = performance.now();
		let troubleAt = performance.now();
		while (performance.now() < end) {
			const now = performance.now();
			if (now >= leaveAt) {
				this.#leave();
				leaveAt = now + this.#random.integer(0, 2 * leaveInterval);
			}

			if (now >= troubleAt) {
				this.#trouble();
				troubleAt = now + this.#random.integer(troubleInterval / 2, 2 * troubleInterval);
			}

			await this.#options.advance(step);
			this.#look();
		}

		for (const member of this.members) {
			member.kill();
		}

		this.#store.stop();
	}

	#come(): void {
		this.#count++;
		this.#store.register(`u${this.#count}`);
	}

	/** The oldest upstream leaves, and a new one comes in its place. */
	#leave(): void {
		const [id] = this.#store.ready.keys();
		if (id === undefined) {
			return;
		}

		this.#come();
		if (this.#random.integer(0, 3) === 0) {
			this.#store.remove(id);
			return;
		}

		this.#store.drain(id);
		setTimeout(() => {
			this.#store.remove(id);
		}, this.#random.integer(newsBound, 3 * newsBound));
	}

	/** One or two hosts, more often those that others ask, are in trouble for a while. */
	#trouble(): void {
		const {troubles} = this.#options;
		if (troubles.length === 0) {
			return;
		}

		const trouble = troubles[this.#random.integer(0, troubles.length - 1)]!;
		const time = this.#random.integer(500, 4500);
		const first = this.#random.integer(0, 2) === 0 ? this.#random.integer(0, hosts - 1) : this.#random.integer(0, 1);
		const both = this.#random.integer(0, 1) === 0 ? [first] : [first, (first + 1) % hosts];
		for (const member of both.map(index => this.members[index]!)) {
			if (member.isAlive && !member.isFrozen && !member.way.isTurnedAway) {
				this.#disturb(member, trouble, time);
			}
		}
	}

	#disturb(member: Member, trouble: Trouble, time: number): void {
		const until = performance.now() + time;
		member.disturbed = until;
		switch (trouble) {
			case 'killed': {
				member.kill();
				this.#silentSince.set(member.name, performance.now() - silenceTime);
				setTimeout(() => {
					member.start();
					this.#relink(member);
				}, time);
				return;
			}

			case 'slow': {
				member.slowUntil = until;
				return;
			}

			case 'turned-away': {
				member.way.isTurnedAway = true;
				setTimeout(() => {
					member.way.isTurnedAway = false;
				}, time);
				return;
			}

			case 'frozen':
			case 'suspended': {
				member.freeze(time, trouble === 'frozen');
				this.#silentSince.set(member.name, performance.now());
				setTimeout(() => {
					this.#relink(member);
				}, time);
				return;
			}

			default: {
				assertNever(trouble);
			}
		}
	}

	/** A host that others had given up is linked anew. */
	#relink(member: Member): void {
		const since = this.#silentSince.get(member.name);
		this.#silentSince.delete(member.name);
		if (since === undefined || performance.now() - since < silenceTime) {
			return;
		}

		this.#linkedAt.set(member.name, performance.now() + relinkTime);
		setTimeout(() => {
			for (const other of this.members) {
				other.joined(member.name);
				member.joined(other.name);
			}
		}, relinkTime);
	}

	#isUp(member: Member): boolean {
		const since = this.#silentSince.get(member.name);
		const isGivenUp = since !== undefined && performance.now() - since >= silenceTime;
		return member.isAlive && !isGivenUp && performance.now() >= (this.#linkedAt.get(member.name) ?? 0);
	}

	/** Relays are linked with all hosts, others with the relays. */
	#visible(name: string): readonly Host[] {
		const up = this.members.filter(member => this.#isUp(member)).map(member => member.host);
		const relays = relaysOf('a', up);
		const isRelay = relays.some(host => host.name === name);
		return (isRelay ? up : relays).filter(host => host.name !== name);
	}

	#send(from: string, to: string, message: Message): void {
		if (!this.#visible(from).some(host => host.name === to)) {
			return;
		}

		const sender = this.#member(from);
		const receiver = this.#member(to);
		const key = `${from} ${to}`;
		const late = performance.now() < receiver.slowUntil ? this.#random.integer(0, longestDelay) : 0;
		const arrival = Math.max(performance.now() + this.#random.integer(1, longestLatency) + late, this.#lastArrival.get(key) ?? 0);
		this.#lastArrival.set(key, arrival);
		void (async () => {
			await sender.awake();
			await new Promise(resolve => {
				setTimeout(resolve, arrival - performance.now());
			});
			await receiver.awake();
			if (this.#isUp(sender) && this.#isUp(receiver)) {
				receiver.receive(from, message);
			}
		})();
	}

	#member(name: string): Member {
		return this.members.find(member => member.name === name)!;
	}

	#look(): void {
		const now = performance.now();
		for (const member of this.members) {
			if (member.isAlive && !member.isFrozen && now - member.disturbed > settleTime) {
				this.#check(member, now);
			}
		}
	}

	#check(member: Member, now: number): void {
		const known = new Map(member.upstreams.map(upstream => [upstream.id, upstream]));
		for (const [id, at] of this.#store.left) {
			if (known.get(id)?.isDraining === false) {
				this.#note({
					at: now, host: member.name, upstream: id, belief: 'ready', age: now - at,
				});
			}
		}

		for (const [id, at] of this.#store.ready) {
			if (known.get(id)?.isDraining !== false) {
				this.#note({
					at: now, host: member.name, upstream: id, belief: 'missing', age: now - at,
				});
			}
		}
	}

	#note(breach: Breach): void {
		this.worst = Math.max(this.worst, breach.age);
		if (breach.age > newsBound) {
			this.breaches.push(breach);
		}
	}
}

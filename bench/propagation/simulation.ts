/**
 * Simulates in virtual time how hosts of a failure domain follow upstreams that come and go, while some hosts are frozen, killed,
 * slow, or rejected by the store, and while the store returns from a backup. Undisturbed hosts must have the right view of every upstream
 * within the bound, and no host may forget that an upstream has left.
 */
import {assertNever, type Random} from '../../src/core/index.js';
import {type Host, type Message} from '../../src/gateway/peers/messages.js';
import {selectRelays} from '../../src/gateway/peers/topology.js';
import {createRandom} from '../model/workload.js';
import {Member, stalenessBoundMs} from '../propagation/member.js';
import {SimulatedStore} from '../propagation/store.js';

const stepMs = 25;
const settleTimeMs = 4000;
const silenceTimeoutMs = 2000;
const relinkDelayMs = 300;
const warmUpMs = 5000;
const maxLatencyMs = 20;
const maxSlowDelayMs = 500;
const replacementIntervalMs = 400;
const faultIntervalMs = 2500;
const restoreIntervalMs = 8000;
const maxOutageMs = 2000;
const maxBackupAgeMs = 6000;

const hostCount = 10;
const upstreamCount = 12;

/** A wrong view of an upstream at an undisturbed host. */
export type StaleView = {
	readonly at: number;
	readonly host: string;
	readonly upstream: string;
	/** What the host took the upstream for. */
	readonly seenAs: 'missing' | 'ready';
	/** Milliseconds since the store acknowledged the change. */
	readonly age: number;
};

/** Faults of a host: `suspended` is frozen with a monotonic clock that stops meanwhile. */
export type Fault = 'frozen' | 'killed' | 'slow' | 'suspended' | 'turned-away';

/** An upstream that a host knew to have left and takes for ready again. */
export type Reversion = {
	readonly at: number;
	readonly host: string;
	readonly upstream: string;
};

export type SimulationOptions = {
	readonly seed: number;
	/** Faults that may occur. */
	readonly faults: readonly Fault[];
	/** Whether the store returns from a backup now and then. */
	readonly isStoreRestored?: boolean;
	/** Simulated time in milliseconds. */
	readonly duration: number;
	/** Advances virtual time by some milliseconds. */
	readonly advance: (time: number) => Promise<void>;
};

export class Simulation {
	readonly members: readonly Member[];
	/** Wrong views that lasted longer than the bound. */
	readonly violations: StaleView[] = [];
	/** Longest time in milliseconds for which an undisturbed host had a wrong view. */
	longestStaleTime = 0;
	readonly reversions: Reversion[] = [];
	/** Longest time in milliseconds from a return of the store until every undisturbed host knew its era. */
	longestEraDelay = 0;
	readonly #options: SimulationOptions;
	readonly #store = new SimulatedStore();
	readonly #random: Random;
	/** Since when a host has been unresponsive, and when it was linked again. */
	readonly #unresponsiveSince = new Map<string, number>();
	readonly #linkedAt = new Map<string, number>();
	/** When the last message between two hosts arrives, since links keep the order of messages. */
	readonly #lastArrivals = new Map<string, number>();
	/** How each run of a host has last seen upstreams that have left since. */
	readonly #seenStates = new Map<string, Map<string, 'leaving' | 'ready'>>();
	/** End of the latest outage of the store. */
	#storeReturnedAt = Number.NEGATIVE_INFINITY;
	#upstreamCount = 0;

	/**
	 * @param options - Seed, faults and duration.
	 */
	constructor(options: SimulationOptions) {
		this.#options = options;
		this.#random = createRandom(options.seed);
		const network = {
			getVisibleHosts: (name: string) => this.#getVisibleHosts(name),
			send: (from: string, to: string, message: Message) => {
				this.#send(from, to, message);
			},
		};
		this.members = Array.from({length: hostCount}, (_, index) => new Member({
			name: `h${index}`, failureDomain: 'a', address: {host: '127.0.0.1', port: 1}, started: 1, capacity: index < 2 ? 2 : 1,
		}, network, this.#store, () => this.#random.integer(0, 999) / 1000));
	}

	/** Runs the simulation to its end. */
	async run(): Promise<void> {
		for (let index = 0; index < upstreamCount; index++) {
			this.#addUpstream();
		}

		for (const member of this.members) {
			member.start();
		}

		await this.#options.advance(warmUpMs);
		const end = performance.now() + this.#options.duration;
		let replaceAt = performance.now();
		let faultAt = performance.now();
		let restoreAt = this.#options.isStoreRestored === true ? performance.now() + this.#random.integer(0, restoreIntervalMs) : Number.POSITIVE_INFINITY;
		while (performance.now() < end) {
			const now = performance.now();
			if (now >= replaceAt) {
				this.#replaceUpstream();
				replaceAt = now + this.#random.integer(0, 2 * replacementIntervalMs);
			}

			if (now >= faultAt) {
				this.#injectFault();
				faultAt = now + this.#random.integer(faultIntervalMs / 2, 2 * faultIntervalMs);
			}

			if (now >= restoreAt) {
				this.#restoreStore();
				restoreAt = now + this.#random.integer(restoreIntervalMs / 4, 2 * restoreIntervalMs);
			}

			await this.#options.advance(stepMs);
			this.#checkMembers();
		}

		for (const member of this.members) {
			member.kill();
		}

		this.#store.stop();
	}

	#addUpstream(): void {
		this.#upstreamCount++;
		this.#store.register(`u${this.#upstreamCount}`);
	}

	/** Adds an upstream in place of the oldest one, which drains first or is removed at once. */
	#replaceUpstream(): void {
		const [id] = this.#store.ready.keys();
		if (id === undefined || this.#store.absence !== undefined) {
			return;
		}

		this.#addUpstream();
		if (this.#random.integer(0, 3) === 0) {
			this.#store.remove(id);
			return;
		}

		this.#store.drain(id);
		setTimeout(() => {
			this.#removeUpstream(id);
		}, this.#random.integer(stalenessBoundMs, 3 * stalenessBoundMs));
	}

	/** Removes an upstream, once the store is back if it is away. */
	#removeUpstream(id: string): void {
		if (this.#store.absence === undefined) {
			this.#store.remove(id);
			return;
		}

		setTimeout(() => {
			this.#removeUpstream(id);
		}, stepMs);
	}

	/** Takes the store away for a moment, after which it returns from a backup. */
	#restoreStore(): void {
		const outage = this.#random.integer(50, maxOutageMs);
		this.#store.absence = this.#random.integer(0, 1) === 0 ? 'rejecting' : 'silent';
		this.#storeReturnedAt = performance.now() + outage;
		setTimeout(() => {
			this.#store.absence = undefined;
			this.#store.restore(this.#random.integer(0, maxBackupAgeMs), this.#random);
		}, outage);
	}

	/** Injects a fault into one or two hosts, more often into those that others read through. */
	#injectFault(): void {
		const {faults} = this.#options;
		if (faults.length === 0) {
			return;
		}

		const fault = faults[this.#random.integer(0, faults.length - 1)]!;
		const time = this.#random.integer(500, 4500);
		const first = this.#random.integer(0, 2) === 0 ? this.#random.integer(0, hostCount - 1) : this.#random.integer(0, 1);
		const indexes = this.#random.integer(0, 1) === 0 ? [first] : [first, (first + 1) % hostCount];
		for (const member of indexes.map(index => this.members[index]!)) {
			if (member.isAlive && !member.isFrozen && !member.storeClient.isRejected) {
				this.#applyFault(member, fault, time);
			}
		}
	}

	#applyFault(member: Member, fault: Fault, time: number): void {
		const until = performance.now() + time;
		member.disturbedUntil = until;
		switch (fault) {
			case 'killed': {
				member.kill();
				this.#unresponsiveSince.set(member.name, performance.now() - silenceTimeoutMs);
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
				member.storeClient.isRejected = true;
				setTimeout(() => {
					member.storeClient.isRejected = false;
				}, time);
				return;
			}

			case 'frozen':
			case 'suspended': {
				member.freeze(time, fault === 'frozen');
				this.#unresponsiveSince.set(member.name, performance.now());
				setTimeout(() => {
					this.#relink(member);
				}, time);
				return;
			}

			default: {
				assertNever(fault);
			}
		}
	}

	/** Links a host to the others again if they have taken it for failed. */
	#relink(member: Member): void {
		const since = this.#unresponsiveSince.get(member.name);
		this.#unresponsiveSince.delete(member.name);
		if (since === undefined || performance.now() - since < silenceTimeoutMs) {
			return;
		}

		this.#linkedAt.set(member.name, performance.now() + relinkDelayMs);
		setTimeout(() => {
			for (const other of this.members) {
				other.handleJoined(member.name);
				member.handleJoined(other.name);
				other.sendSummary(member.name);
				member.sendSummary(other.name);
			}
		}, relinkDelayMs);
	}

	#isReachable(member: Member): boolean {
		const since = this.#unresponsiveSince.get(member.name);
		const isTakenForFailed = since !== undefined && performance.now() - since >= silenceTimeoutMs;
		return member.isAlive && !isTakenForFailed && performance.now() >= (this.#linkedAt.get(member.name) ?? 0);
	}

	/** Relays have links to all hosts, other hosts only to the relays. */
	#getVisibleHosts(name: string): readonly Host[] {
		const reachable = this.members.filter(member => this.#isReachable(member)).map(member => member.host);
		const relays = selectRelays('a', reachable);
		const isRelay = relays.some(host => host.name === name);
		return (isRelay ? reachable : relays).filter(host => host.name !== name);
	}

	#send(from: string, to: string, message: Message): void {
		if (!this.#getVisibleHosts(from).some(host => host.name === to)) {
			return;
		}

		const sender = this.#findMember(from);
		const receiver = this.#findMember(to);
		const key = `${from} ${to}`;
		const extraDelay = performance.now() < receiver.slowUntil ? this.#random.integer(0, maxSlowDelayMs) : 0;
		const arrival = Math.max(performance.now() + this.#random.integer(1, maxLatencyMs) + extraDelay, this.#lastArrivals.get(key) ?? 0);
		this.#lastArrivals.set(key, arrival);
		void (async () => {
			await sender.waitUntilRunning();
			await new Promise(resolve => {
				setTimeout(resolve, arrival - performance.now());
			});
			await receiver.waitUntilRunning();
			if (this.#isReachable(sender) && this.#isReachable(receiver)) {
				receiver.handleMessage(from, message);
			}
		})();
	}

	#findMember(name: string): Member {
		return this.members.find(member => member.name === name)!;
	}

	#checkMembers(): void {
		const now = performance.now();
		const isStoreStable = now - this.#storeReturnedAt > settleTimeMs;
		for (const member of this.members) {
			this.#checkReversions(member, now, isStoreStable);
			const isUndisturbed = member.isAlive && !member.isFrozen && now - member.disturbedUntil > settleTimeMs;
			if (isUndisturbed && isStoreStable) {
				this.#checkMember(member, now);
			}

			if (isUndisturbed && now > this.#storeReturnedAt && member.era < this.#store.era) {
				this.longestEraDelay = Math.max(this.longestEraDelay, now - this.#storeReturnedAt);
			}
		}
	}

	/** Upstreams don't return in a simulation: once a host has seen one leaving, it never takes it for ready. */
	#checkReversions(member: Member, now: number, isStoreStable: boolean): void {
		if (!member.isAlive) {
			this.#seenStates.delete(member.name);
			return;
		}

		const seen = this.#seenStates.get(member.name) ?? new Map<string, 'leaving' | 'ready'>();
		this.#seenStates.set(member.name, seen);
		const known = new Map(member.upstreams.map(upstream => [upstream.id, upstream]));
		for (const id of this.#store.left.keys()) {
			const upstream = known.get(id);
			const isReady = upstream?.isDraining === false;
			if (isReady && seen.get(id) === 'leaving') {
				this.reversions.push({at: now, host: member.name, upstream: id});
			} else if (isReady) {
				seen.set(id, 'ready');
			} else if (upstream !== undefined || (seen.has(id) && isStoreStable)) {
				seen.set(id, 'leaving');
			}
		}
	}

	#checkMember(member: Member, now: number): void {
		const known = new Map(member.upstreams.map(upstream => [upstream.id, upstream]));
		for (const [id, at] of this.#store.left) {
			if (known.get(id)?.isDraining === false) {
				this.#recordStaleView({
					at: now, host: member.name, upstream: id, seenAs: 'ready', age: now - at,
				});
			}
		}

		for (const [id, at] of this.#store.ready) {
			if (known.get(id)?.isDraining !== false) {
				this.#recordStaleView({
					at: now, host: member.name, upstream: id, seenAs: 'missing', age: now - at,
				});
			}
		}
	}

	#recordStaleView(view: StaleView): void {
		this.longestStaleTime = Math.max(this.longestStaleTime, view.age);
		if (view.age > stalenessBoundMs) {
			this.violations.push(view);
		}
	}
}

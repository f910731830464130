/** This host's partial view of the fleet: the peers that it knows, linked or not, and when it may dial each of them. */
import {type Address} from '../../core/index.js';
import {type Host} from './messages.js';

/** Bounds of the exponential delay before a peer is dialled again. */
const minRedialDelayMs = 400;
const maxRedialDelayMs = 4000;

/**
 * During startup, peers are dialled again after a short fixed delay: hosts that lost power together come back within 0.3 s of each
 * other, and their callers at once. With the exponential delay, two of six hosts placed requests for 2 s without knowing of the others,
 * while 200 requests arrived within one second: half of them were served late.
 */
const startupWindowMs = 5000;
const startupRedialDelayMs = 100;

/** Bounds of the exponential delay before an address is dialled again at which a host of another fleet has answered. */
const minForeignDelayMs = 1000;
const maxForeignDelayMs = 60_000;

/** How long a peer that can't be reached is kept. */
const retentionMs = 60_000;

/** Time within which heartbeats name each host of a large failure domain several times. */
const recentMs = 300_000;

/** Consecutive failed dials after which a peer is no longer a candidate for a link. */
const maxDialFailures = 2;

export type KnownPeer = {
	readonly address: Address;
	/** Absent until a handshake or another peer has identified the host. */
	host?: Host;
	/** Monotonic time in milliseconds, as is the next one. */
	lastSeen: number;
	nextDialAt: number;
	failures: number;
	isDialling: boolean;
	/** Consecutive dials answered by a host of another fleet. */
	foreignAnswers: number;
};

/**
 * @param address - Address of a host.
 * @returns Key of the address in maps and sets.
 */
export function addressKey({host, port}: Address): string {
	return `${host}:${port}`;
}

export class KnownPeers {
	readonly #self: Host;
	readonly #startupEnd: number;
	readonly #byAddress = new Map<string, KnownPeer>();
	#hostCount = 0;
	#sampleStart = 0;

	/**
	 * @param self - This host, which is never added.
	 * @param now - Monotonic time in milliseconds, just after the start of this host.
	 */
	constructor(self: Host, now: number) {
		this.#self = self;
		this.#startupEnd = now + startupWindowMs;
	}

	get entries(): Iterable<readonly [string, KnownPeer]> {
		return this.#byAddress;
	}

	/** Peers that have been identified. */
	get hosts(): readonly Host[] {
		return [...this.#byAddress.values()].flatMap(each => each.host ?? []);
	}

	/**
	 * @param failureDomain - Failure domain.
	 * @param now - Monotonic time in milliseconds.
	 * @returns Number of its identified peers that this host or a peer was linked with a short time ago.
	 */
	countRecent(failureDomain: string, now: number): number {
		let count = 0;
		for (const {host, lastSeen} of this.#byAddress.values()) {
			count += host?.failureDomain === failureDomain && now - lastSeen < recentMs ? 1 : 0;
		}

		return count;
	}

	/**
	 * @param size - Number of peers at most.
	 * @returns Identified peers: all of them, or a sample that rotates with each call.
	 */
	nextSample(size: number): readonly Host[] {
		const {hosts} = this;
		if (hosts.length <= size) {
			return hosts;
		}

		const start = this.#sampleStart % hosts.length;
		this.#sampleStart = start + size;
		return [...hosts, ...hosts].slice(start, start + size);
	}

	/**
	 * @param now - Monotonic time in milliseconds.
	 * @returns Whether this host has started recently.
	 */
	isStartingUp(now: number): boolean {
		return now < this.#startupEnd;
	}

	/** Number of identified peers. */
	get hostCount(): number {
		return this.#hostCount;
	}

	/** Identified peers without too many consecutive failed dials. */
	get reachableHosts(): readonly Host[] {
		return [...this.#byAddress.values()].flatMap(each => each.failures < maxDialFailures ? each.host ?? [] : []);
	}

	/**
	 * Adds a peer; the identity of a known one is completed, never replaced.
	 *
	 * @param address - Address of the peer.
	 * @param host - Identity of the peer, if known.
	 * @param now - Monotonic time in milliseconds.
	 * @returns Whether the address is new.
	 */
	add(address: Address, host: Host | undefined, now: number): boolean {
		const key = addressKey(address);
		if (key === addressKey(this.#self.address)) {
			return false;
		}

		const existing = this.#byAddress.get(key);
		if (existing !== undefined && existing.foreignAnswers > 0) {
			return false;
		}

		if (existing?.host === undefined && host !== undefined) {
			this.#hostCount++;
		}

		if (existing !== undefined) {
			existing.host ??= host;
			return false;
		}

		this.#byAddress.set(key, {
			address, host, lastSeen: now, nextDialAt: 0, failures: 0, isDialling: false, foreignAnswers: 0,
		});
		return true;
	}

	/**
	 * Records that a host is alive, and its latest identity.
	 *
	 * @param host - Host that is linked with this one or with a peer.
	 * @param now - Monotonic time in milliseconds.
	 * @returns Whether the host is new.
	 */
	markAlive(host: Host, now: number): boolean {
		const known = this.#byAddress.get(addressKey(host.address));
		if (known !== undefined) {
			known.foreignAnswers = 0;
		}

		const isNew = this.add(host.address, host, now);
		const peer = this.#byAddress.get(addressKey(host.address));
		if (peer !== undefined) {
			peer.host = host;
			peer.failures = 0;
			peer.lastSeen = now;
		}

		return isNew;
	}

	/**
	 * Records that a host of another fleet has answered at an address: the host that was known there is gone.
	 *
	 * @param address - Address that was dialled.
	 */
	markForeign(address: Address): void {
		const peer = this.#byAddress.get(addressKey(address));
		if (peer === undefined) {
			return;
		}

		this.#hostCount -= peer.host === undefined ? 0 : 1;
		peer.host = undefined;
		peer.foreignAnswers++;
	}

	/**
	 * Schedules the next dial after a connection, or an attempt to connect, has ended.
	 *
	 * @param peer - Peer that was dialled.
	 * @param isConnected - Whether the connection was established.
	 * @param now - Monotonic time in milliseconds.
	 */
	recordDial(peer: KnownPeer, isConnected: boolean, now: number): void {
		peer.isDialling = false;
		peer.failures = isConnected ? 0 : peer.failures + 1;
		peer.nextDialAt = now + this.#computeRedialDelay(peer, now);
	}

	/**
	 * Removes a peer that has not been seen within the retention time.
	 *
	 * @param peer - Peer.
	 * @param now - Monotonic time in milliseconds.
	 * @returns Whether the peer was removed.
	 */
	removeExpired(peer: KnownPeer, now: number): boolean {
		if (now - peer.lastSeen <= retentionMs || !this.#byAddress.delete(addressKey(peer.address))) {
			return false;
		}

		this.#hostCount -= peer.host === undefined ? 0 : 1;
		return true;
	}

	#computeRedialDelay({foreignAnswers, failures}: KnownPeer, now: number): number {
		if (foreignAnswers > 0) {
			return Math.min(minForeignDelayMs * (2 ** (foreignAnswers - 1)), maxForeignDelayMs);
		}

		return this.isStartingUp(now) ? startupRedialDelayMs : Math.min(minRedialDelayMs * (2 ** failures), maxRedialDelayMs);
	}
}

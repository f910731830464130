/** Hosts that are known of, linked or not, and when each may be dialled. */
import {type Address} from '../../core/index.js';
import {type Host} from './messages.js';

/** Milliseconds to wait before a host is dialled again: at first, and at most after it failed several times. */
const shortestPause = 400;
const longestPause = 4000;

/**
 * Milliseconds after the start in which hosts are dialled again after a short pause: hosts that lost power together come back
 * within 0.3 s of each other, and their callers at once. With the usual pauses two of six hosts chose engines for 2 s without
 * knowing of the others, while 200 requests came within one: half of them were served late.
 */
const youth = 5000;
const youngPause = 100;

/** Milliseconds that a host which can't be reached is remembered. */
const memory = 60_000;

/** Failed dials in a row after which another host is tried in place of one. */
const mostFailures = 2;

export type Acquaintance = {
	readonly address: Address;
	/** Absent until the host has said who it is, or another one has. */
	host?: Host;
	/** Monotonic times in milliseconds. */
	seen: number;
	nextDial: number;
	failures: number;
	isDialling: boolean;
};

/**
 * @param address - Address.
 * @returns Its name in tables.
 */
export function keyOf({host, port}: Address): string {
	return `${host}:${port}`;
}

export class Acquaintances {
	readonly #self: Host;
	readonly #youngUntil: number;
	readonly #all = new Map<string, Acquaintance>();
	#knownCount = 0;

	/**
	 * @param self - This host, which is no acquaintance.
	 * @param now - Monotonic time in milliseconds, just after its start.
	 */
	constructor(self: Host, now: number) {
		this.#self = self;
		this.#youngUntil = now + youth;
	}

	get all(): Iterable<readonly [string, Acquaintance]> {
		return this.#all;
	}

	/** Other hosts whose name and place are known. */
	get known(): readonly Host[] {
		return [...this.#all.values()].flatMap(each => each.host ?? []);
	}

	/**
	 * @param now - Monotonic time in milliseconds.
	 * @returns Whether this host has started lately.
	 */
	isYoung(now: number): boolean {
		return now < this.#youngUntil;
	}

	/** Number of these. */
	get knownCount(): number {
		return this.#knownCount;
	}

	/** Those of them that have not just failed to answer. */
	get reachable(): readonly Host[] {
		return [...this.#all.values()].flatMap(each => each.failures < mostFailures ? each.host ?? [] : []);
	}

	/**
	 * @param address - Address of a host.
	 * @param host - Who it is, if that is known.
	 * @param now - Monotonic time in milliseconds.
	 * @returns Whether it was not known of.
	 */
	meet(address: Address, host: Host | undefined, now: number): boolean {
		const key = keyOf(address);
		if (key === keyOf(this.#self.address)) {
			return false;
		}

		const known = this.#all.get(key);
		if (known?.host === undefined && host !== undefined) {
			this.#knownCount++;
		}

		if (known !== undefined) {
			known.host ??= host;
			return false;
		}

		this.#all.set(key, {
			address, host, seen: now, nextDial: 0, failures: 0, isDialling: false,
		});
		return true;
	}

	/**
	 * @param host - Host that is alive: it is linked with this one, or with a peer.
	 * @param now - Monotonic time in milliseconds.
	 * @returns Whether it was not known of.
	 */
	revive(host: Host, now: number): boolean {
		const isNew = this.meet(host.address, host, now);
		const known = this.#all.get(keyOf(host.address));
		if (known !== undefined) {
			known.host = host;
			known.failures = 0;
			known.seen = now;
		}

		return isNew;
	}

	/**
	 * @param each - Host that was dialled.
	 * @param isConnected - Whether it answered.
	 * @param now - Monotonic time in milliseconds.
	 */
	dialled(each: Acquaintance, isConnected: boolean, now: number): void {
		each.isDialling = false;
		each.failures = isConnected ? 0 : each.failures + 1;
		each.nextDial = now + (this.isYoung(now) ? youngPause : Math.min(shortestPause * (2 ** each.failures), longestPause));
	}

	/**
	 * Forgets a host that has long been out of reach.
	 *
	 * @param each - Host.
	 * @param now - Monotonic time in milliseconds.
	 * @returns Whether it was forgotten.
	 */
	forget(each: Acquaintance, now: number): boolean {
		if (now - each.seen <= memory || !this.#all.delete(keyOf(each.address))) {
			return false;
		}

		this.#knownCount -= each.host === undefined ? 0 : 1;
		return true;
	}
}

/**
 * Gets offers of tunnels from hosts that this one isn't linked with. In a large fleet most hosts are linked with the relays of their failure
 * domain only, which may have lost their links to upstreams as well.
 */
import {type Host} from '../peers/messages.js';

/** Hosts that are dialled at once, and links that are kept for tunnels. */
const maxDialling = 4;
const maxKept = 16;

/** Time in milliseconds for which a host isn't dialled again. */
const visitMemoryMs = 1000;

export type IntroductionsOptions = {
	readonly now: () => number;
	/** Returns the hosts that this one isn't linked with, in the order in which to dial them. */
	readonly rank: (hosts: readonly Host[]) => readonly Host[];
	/** Returns the known hosts that this one isn't linked with. */
	readonly listHosts: () => readonly Host[];
	readonly dial: (host: Host) => void;
	readonly release: (host: string) => void;
};

export class Introductions {
	readonly #options: IntroductionsOptions;
	/** Times of the last dials, by host. */
	readonly #dialledAt = new Map<string, number>();
	readonly #dialling = new Set<string>();
	readonly #kept = new Set<string>();

	/**
	 * @param options - Hosts, and how to dial them.
	 */
	constructor(options: IntroductionsOptions) {
		this.#options = options;
	}

	/** Number of hosts that are linked for tunnels only. */
	get size(): number {
		return this.#kept.size;
	}

	/**
	 * Dials further hosts.
	 *
	 * @param asked - Hosts that need not be dialled.
	 * @returns Whether some are being dialled.
	 */
	request(asked: ReadonlySet<string>): boolean {
		const {listHosts, rank, dial, now} = this.#options;
		const free = Math.min(maxDialling - this.#dialling.size, maxKept - this.#kept.size);
		if (free > 0) {
			this.#forgetOld();
			const candidates = listHosts().filter(({name}) => !asked.has(name) && !this.#dialledAt.has(name) && !this.#kept.has(name));
			for (const host of rank(candidates).slice(0, free)) {
				this.#dialling.add(host.name);
				this.#dialledAt.set(host.name, now());
				dial(host);
			}
		}

		return this.#dialling.size > 0;
	}

	/**
	 * Records the offer of a host.
	 *
	 * @param host - Name of the host.
	 * @param isUseful - Whether it opens tunnels that this host needs; its link is closed otherwise.
	 */
	recordOffer(host: string, isUseful: boolean): void {
		const isIntroduced = this.#dialling.delete(host) || this.#kept.has(host);
		if (!isIntroduced) {
			return;
		}

		if (isUseful) {
			this.#kept.add(host);
		} else {
			this.#kept.delete(host);
			this.#options.release(host);
		}
	}

	/**
	 * @param host - Name of a host whose link for tunnels was closed or couldn't be opened.
	 */
	recordClosed(host: string): void {
		this.#dialling.delete(host);
		this.#kept.delete(host);
	}

	/** Closes all links that are kept for tunnels. */
	releaseAll(): void {
		for (const host of this.#kept) {
			this.#options.release(host);
		}

		this.#kept.clear();
	}

	#forgetOld(): void {
		const now = this.#options.now();
		for (const [host, at] of this.#dialledAt) {
			if (now - at >= visitMemoryMs) {
				this.#dialledAt.delete(host);
			}
		}
	}
}

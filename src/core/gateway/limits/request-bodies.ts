/** Decides which requests may be read into memory: all bodies of a host share one budget, of which short ones always find a part. */

const bytesPerMegabyte = 1_000_000;

/** Memory that is not for bodies: the limit of the heap in `deploy/system.toml` and native memory of the process, in megabytes. */
const processMegabytes = 200;

/** Share of the remaining memory that bodies may take; responses and sockets use the rest. */
const spareShare = 1 / 3;

/** Budget on a host that has little or no spare memory, as a share of its memory. */
const leastShare = 1 / 16;

/** Bodies up to this length may use the whole budget, longer ones a share of it. */
const shortBytes = 65_536;
const longShare = 7 / 8;

/**
 * @param memory - Memory that this process may use, in megabytes.
 * @returns Bytes that the bodies of all requests may take together.
 */
export function computeBodyBudget(memory: number): number {
	return Math.max((memory - processMegabytes) * spareShare, memory * leastShare) * bytesPerMegabyte;
}

/** Bytes of the bodies of all requests of a host. */
export class BodyBudget {
	readonly #budget: number;
	#total = 0;

	/**
	 * @param budget - Bytes that all bodies may take together.
	 */
	constructor(budget: number) {
		this.#budget = budget;
	}

	/** Bytes that are taken. */
	get total(): number {
		return this.#total;
	}

	/**
	 * @param bytes - Length of a body.
	 * @returns Whether there is space for it. A single body always has space.
	 */
	hasSpace(bytes: number): boolean {
		return this.#total === 0 || this.#total + bytes <= this.#budget * (bytes <= shortBytes ? 1 : longShare);
	}

	/**
	 * @param bytes - Bytes that are taken from now on.
	 */
	take(bytes: number): void {
		this.#total += bytes;
	}

	/**
	 * @param bytes - Bytes that are free again.
	 */
	release(bytes: number): void {
		this.#total -= bytes;
	}
}

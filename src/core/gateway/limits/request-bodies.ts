/** Decides which requests may be read into memory: all bodies of a host share one budget, of which short ones always find a part. */

const bytesPerMegabyte = 1_000_000;

/** Memory that is not for bodies: the limit of the heap in `deploy/system.toml` and native memory of the process, in megabytes. */
const processMegabytes = 200;

/** Share of the remaining memory that bodies may take; responses and sockets use the rest. */
const spareShare = 1 / 3;

/** Budget on a host that has little or no spare memory, as a share of its memory. */
const leastShare = 1 / 16;

/** Longer bodies take at most this share of the budget, so that shorter ones always find a part. */
const shortBytes = 65_536;
const longShare = 7 / 8;

/**
 * @param memory - Memory that this process may use, in megabytes.
 * @returns Bytes that the bodies of all requests may take together.
 */
export function computeBodyBudget(memory: number): number {
	return Math.max((memory - processMegabytes) * spareShare, memory * leastShare) * bytesPerMegabyte;
}

function isShort(bytes: number): boolean {
	return bytes <= shortBytes;
}

/** Bytes of the bodies of all requests of a host. */
export class BodyBudget {
	readonly #budget: number;
	#short = 0;
	#long = 0;

	/**
	 * @param budget - Bytes that all bodies may take together.
	 */
	constructor(budget: number) {
		this.#budget = budget;
	}

	/** Bytes that are taken. */
	get total(): number {
		return this.#short + this.#long;
	}

	/**
	 * @param bytes - Length of a body.
	 * @returns Whether there is space for it. A single long body always has space.
	 */
	hasSpace(bytes: number): boolean {
		if (isShort(bytes)) {
			return bytes === 0 || this.#short + bytes <= Math.max(this.#budget - this.#long, this.#budget * (1 - longShare));
		}

		return this.#long === 0 || this.#long + bytes <= this.#budget * longShare;
	}

	/**
	 * @param bytes - Length of a body that is held from now on.
	 */
	take(bytes: number): void {
		this.#add(bytes, bytes);
	}

	/**
	 * @param bytes - Length of a body that is no longer held.
	 */
	release(bytes: number): void {
		this.#add(bytes, -bytes);
	}

	#add(length: number, change: number): void {
		if (isShort(length)) {
			this.#short += change;
		} else {
			this.#long += change;
		}
	}
}

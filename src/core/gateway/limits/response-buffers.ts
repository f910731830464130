/** Decides which responses may go on being read from their upstreams while callers read slowly, within one budget of memory. */

const bytesPerMegabyte = 1_000_000;

/** Memory that is not for responses: the limit of the heap in `deploy/system.toml` and native memory of the process, in megabytes. */
const processMegabytes = 200;

/** Share of the remaining memory that unsent responses may take; sockets and requests use the rest. */
const spareShare = 1 / 2;

/** Budget on a host that has little or no spare memory, as a share of its memory. */
const leastShare = 1 / 16;

/** Shares of the budget at which the first responses stop being read, and above which only responses that flow are read. */
const firstStopShare = 1 / 2;
const lastStopShare = 4 / 5;

/** A response flows if it holds at most this, which is one read of a socket, and some of it was sent within the time below. */
const flowingBytes = 65_536;
const flowingTimeMs = 250;

type HeldResponse = {
	bytes: number;
	/** When bytes were last sent, or were added to an empty response, in milliseconds. */
	movedAt: number;
	/** Whether some of the bytes that it has held since it was last empty were sent. */
	hasMoved: boolean;
};

/**
 * @param memory - Memory that this process may use, in megabytes.
 * @returns Bytes that unsent parts of responses may take together.
 */
export function computeResponseBudget(memory: number): number {
	return Math.max((memory - processMegabytes) * spareShare, memory * leastShare) * bytesPerMegabyte;
}

/** Unsent bytes of all responses of a host. Keys identify responses; times are in milliseconds. */
export class ResponseBuffers<Key> {
	readonly #budget: number;
	readonly #responses = new Map<Key, HeldResponse>();
	#total = 0;

	/**
	 * @param budget - Bytes that all responses may hold together.
	 */
	constructor(budget: number) {
		this.#budget = budget;
	}

	/** Unsent bytes of all responses. */
	get total(): number {
		return this.#total;
	}

	/**
	 * @param key - Response.
	 * @returns Its unsent bytes.
	 */
	size(key: Key): number {
		return this.#responses.get(key)?.bytes ?? 0;
	}

	/**
	 * @param key - Response.
	 * @param now - Time.
	 * @returns Milliseconds for which none of its unsent bytes were sent; 0 if it has none.
	 */
	stalledFor(key: Key, now: number): number {
		const response = this.#responses.get(key);
		return response === undefined ? 0 : now - response.movedAt;
	}

	/**
	 * @param key - Response that got bytes from its upstream.
	 * @param bytes - Number of bytes.
	 * @param now - Time.
	 */
	add(key: Key, bytes: number, now: number): void {
		const response = this.#responses.get(key);
		if (response === undefined) {
			this.#responses.set(key, {bytes, movedAt: now, hasMoved: false});
		} else {
			response.bytes += bytes;
		}

		this.#total += bytes;
	}

	/**
	 * @param key - Response of which bytes were sent to its caller.
	 * @param bytes - Number of bytes.
	 * @param now - Time.
	 */
	remove(key: Key, bytes: number, now: number): void {
		const response = this.#responses.get(key);
		if (response === undefined) {
			return;
		}

		const removed = Math.min(bytes, response.bytes);
		this.#total -= removed;
		response.bytes -= removed;
		response.movedAt = now;
		response.hasMoved = true;
		if (response.bytes === 0) {
			this.#responses.delete(key);
		}
	}

	/**
	 * @param key - Response that has ended or lost its caller.
	 */
	delete(key: Key): void {
		this.#total -= this.size(key);
		this.#responses.delete(key);
	}

	/**
	 * The fuller the budget, the larger the share of all bytes whose responses stop: those that rank first by size and time without progress.
	 *
	 * @param key - Response.
	 * @param now - Time.
	 * @returns Whether it may go on being read.
	 */
	mayRead(key: Key, now: number): boolean {
		const first = this.#budget * firstStopShare;
		const response = this.#responses.get(key);
		if (this.#total <= first || response === undefined || this.#isFlowing(response, now)) {
			return true;
		}

		const stoppedShare = (this.#total - first) / ((this.#budget * lastStopShare) - first);
		return stoppedShare < 1 && this.#countBytesAhead(response, now) >= stoppedShare * this.#total;
	}

	/**
	 * @param now - Time.
	 * @returns The responses that must end so that the others fit in the budget, the largest and slowest first.
	 */
	findExcess(now: number): readonly Key[] {
		let excess = this.#total - this.#budget;
		if (excess <= 0) {
			return [];
		}

		const found: Key[] = [];
		for (const [key, response] of [...this.#responses].toSorted(([, a], [, b]) => compareRank(a, b, now))) {
			if (excess <= 0) {
				break;
			}

			found.push(key);
			excess -= response.bytes;
		}

		return found;
	}

	/** Returns whether a response's caller reads it fast enough; what counts as such shrinks with the last part of the budget. */
	#isFlowing({bytes, movedAt, hasMoved}: HeldResponse, now: number): boolean {
		const left = (this.#budget - this.#total) / (this.#budget * (1 - lastStopShare));
		return hasMoved && bytes <= flowingBytes * Math.min(1, left) && now - movedAt < flowingTimeMs;
	}

	/** Returns the bytes of the responses that give way before a given one. */
	#countBytesAhead(response: HeldResponse, now: number): number {
		let bytes = 0;
		for (const other of this.#responses.values()) {
			if (compareRank(other, response, now) < 0) {
				bytes += other.bytes;
			}
		}

		return bytes;
	}
}

/** Orders responses by bytes times milliseconds without progress, then by bytes, highest first. */
function compareRank(a: HeldResponse, b: HeldResponse, now: number): number {
	const difference = (b.bytes * (now - b.movedAt)) - (a.bytes * (now - a.movedAt));
	return difference === 0 ? b.bytes - a.bytes : difference;
}

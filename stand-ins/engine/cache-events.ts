/** Log of an engine's cache events, published with a delay, with gaps, and limited in size. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type CacheEvents} from '../../src/upstream/protocol.js';
import {type CacheChangeType} from './memory.js';

type Change = CacheEvents['changes'][number];
type Entry = {readonly change: Change; readonly visibleAt: number};

const maxEntries = 10_000;
const maxChangesPerRead = 500;
const lossResolution = 1_000_000;

export class CacheEventLog {
	readonly #incarnation: string;
	/** Publication delay in real milliseconds. */
	readonly #delay: number;
	readonly #random;
	#loss: number;
	#entries: Entry[] = [];
	#sequence = 0;

	constructor(incarnation: string, delay: number, loss: number, seed: number) {
		this.#incarnation = incarnation;
		this.#delay = delay;
		this.#loss = loss;
		this.#random = xoroshiro128plus(seed);
	}

	/** Sets the fraction of further changes that is lost. */
	setLoss(share: number): void {
		this.#loss = share;
	}

	/**
	 * Adds a change, or drops it at random so that readers see a gap in the sequence.
	 *
	 * @param type - Kind of change.
	 * @param blocks - Block hashes.
	 * @param now - Monotonic time in milliseconds.
	 */
	add(type: CacheChangeType, blocks: readonly string[], now: number): void {
		const sequence = this.#sequence++;
		if (uniformInt(this.#random, 0, lossResolution - 1) < this.#loss * lossResolution) {
			return;
		}

		this.#entries.push({change: {sequence, type, blocks: [...blocks]}, visibleAt: now + this.#delay});
		if (this.#entries.length > maxEntries) {
			this.#entries = this.#entries.slice(-maxEntries / 2);
		}
	}

	/**
	 * @param since - First sequence number to return.
	 * @param now - Monotonic time in milliseconds.
	 * @returns A bounded number of changes that are visible by now.
	 */
	read(since: number, now: number): CacheEvents {
		const visible = this.#entries.filter(each => each.visibleAt <= now && each.change.sequence >= since);
		const changes = visible.slice(0, maxChangesPerRead).map(each => each.change);
		const last = changes.at(-1)?.sequence;
		const next = last === undefined ? since : last + 1;
		return {
			incarnation: this.#incarnation, next, gap: changes.length < next - since, changes,
		};
	}
}

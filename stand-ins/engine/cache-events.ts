/** The engine's published cache events: late, with gaps, and kept for a bounded time. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type CacheEvents} from '../../src/upstream/protocol.js';
import {type CacheChangeType} from './memory.js';

type Change = CacheEvents['changes'][number];
type Entry = {readonly change: Change; readonly visibleAt: number};

const mostKept = 10_000;
const mostAnswered = 500;
const parts = 1_000_000;

export class CacheEventLog {
	readonly #incarnation: string;
	/** In real milliseconds. */
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

	/**
	 * @param share - Share of changes that is lost from now on.
	 */
	lose(share: number): void {
		this.#loss = share;
	}

	/**
	 * @param type - What happened to the blocks.
	 * @param blocks - Block hashes.
	 * @param now - Monotonic time in milliseconds.
	 */
	add(type: CacheChangeType, blocks: readonly string[], now: number): void {
		const sequence = this.#sequence++;
		if (uniformInt(this.#random, 0, parts - 1) < this.#loss * parts) {
			return;
		}

		this.#entries.push({change: {sequence, type, blocks: [...blocks]}, visibleAt: now + this.#delay});
		if (this.#entries.length > mostKept) {
			this.#entries = this.#entries.slice(-mostKept / 2);
		}
	}

	/**
	 * @param since - First sequence number wanted.
	 * @param now - Monotonic time in milliseconds.
	 * @returns Changes that are visible by now, a bounded number.
	 */
	read(since: number, now: number): CacheEvents {
		const visible = this.#entries.filter(each => each.visibleAt <= now && each.change.sequence >= since);
		const changes = visible.slice(0, mostAnswered).map(each => each.change);
		const last = changes.at(-1)?.sequence;
		const next = last === undefined ? since : last + 1;
		return {
			incarnation: this.#incarnation, next, gap: changes.length < next - since, changes,
		};
	}
}

/** One engine's KV memory: tokens reserved by running requests and holds, and cached prefix blocks in what is left. */
import {blockTokens} from '../../src/upstream/protocol.js';

export type CacheChangeType = 'stored' | 'evicted' | 'cleared';

/** Told of each change of the prefix cache. */
export type CacheListener = (type: CacheChangeType, blocks: readonly string[]) => void;

export class Memory {
	readonly #capacity: number;
	readonly #listener: CacheListener;
	readonly #reserved = new Map<string, number>();
	/** Oldest use first. */
	readonly #blocks = new Set<string>();
	#used = 0;

	constructor(capacity: number, listener: CacheListener) {
		this.#capacity = capacity;
		this.#listener = listener;
	}

	get capacity(): number {
		return this.#capacity;
	}

	/** Tokens reserved, the prefix cache left out. */
	get used(): number {
		return this.#used;
	}

	get cachedBlocks(): number {
		return this.#blocks.size;
	}

	/**
	 * Reserves tokens for an owner that has none yet; cached blocks give way.
	 *
	 * @param owner - Attempt or hold.
	 * @param tokens - Tokens wanted.
	 * @returns Whether they were free.
	 */
	reserve(owner: string, tokens: number): boolean {
		if (this.#used + tokens > this.#capacity || this.#reserved.has(owner)) {
			return false;
		}

		this.#reserved.set(owner, tokens);
		this.#used += tokens;
		this.#shrink();
		return true;
	}

	/**
	 * Gives back what an owner reserved; harmless if it has nothing.
	 *
	 * @param owner - Attempt or hold.
	 */
	release(owner: string): void {
		this.#used -= this.#reserved.get(owner) ?? 0;
		this.#reserved.delete(owner);
	}

	/**
	 * Counts the cached blocks that begin a prompt, and marks them as used.
	 *
	 * @param blocks - Chained hashes, first block first.
	 * @returns Leading blocks in the cache.
	 */
	match(blocks: readonly string[]): number {
		const miss = blocks.findIndex(block => !this.#blocks.has(block));
		const count = miss === -1 ? blocks.length : miss;
		this.#touch(blocks.slice(0, count));
		return count;
	}

	/**
	 * Caches a prompt's blocks as far as they fit; the least recently used give way.
	 *
	 * @param blocks - Chained hashes, first block first.
	 */
	store(blocks: readonly string[]): void {
		const room = Math.floor((this.#capacity - this.#used) / blockTokens);
		const kept = blocks.slice(0, Math.max(room, 0));
		const fresh = kept.filter(block => !this.#blocks.has(block));
		this.#touch(kept);
		if (fresh.length > 0) {
			this.#listener('stored', fresh);
		}

		this.#shrink();
	}

	/** Drops the whole prefix cache. */
	clear(): void {
		this.#blocks.clear();
		this.#listener('cleared', []);
	}

	/** The first block of a prompt is marked last, so that a prefix outlives what continues it. */
	#touch(blocks: readonly string[]): void {
		for (const block of blocks.toReversed()) {
			this.#blocks.delete(block);
			this.#blocks.add(block);
		}
	}

	#shrink(): void {
		const room = Math.floor((this.#capacity - this.#used) / blockTokens);
		const surplus = this.#blocks.size - room;
		if (surplus <= 0) {
			return;
		}

		const evicted = [...this.#blocks].slice(0, surplus);
		for (const block of evicted) {
			this.#blocks.delete(block);
		}

		this.#listener('evicted', evicted);
	}
}

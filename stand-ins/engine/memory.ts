/** KV memory of one engine: tokens reserved by running requests and holds, and a prefix cache in the remaining space. */
import {blockTokens} from '../../src/upstream/protocol.js';

export type CacheChangeType = 'stored' | 'evicted' | 'cleared';

/** Called on each change of the prefix cache. */
export type CacheListener = (type: CacheChangeType, blocks: readonly string[]) => void;

export class Memory {
	readonly #capacity: number;
	readonly #listener: CacheListener;
	readonly #reserved = new Map<string, number>();
	/** Hashes of cached blocks, least recently used first. */
	readonly #blocks = new Set<string>();
	#used = 0;

	constructor(capacity: number, listener: CacheListener) {
		this.#capacity = capacity;
		this.#listener = listener;
	}

	get capacity(): number {
		return this.#capacity;
	}

	/** Reserved tokens, without the prefix cache. */
	get used(): number {
		return this.#used;
	}

	get cachedBlocks(): number {
		return this.#blocks.size;
	}

	/**
	 * Reserves tokens for an owner, evicting cached blocks where needed.
	 *
	 * @param owner - Attempt, segment or hold.
	 * @param tokens - Tokens to reserve.
	 * @returns Whether they were reserved; false if too few are free or the owner already has a reservation.
	 */
	reserve(owner: string, tokens: number): boolean {
		if (this.#used + tokens > this.#capacity || this.#reserved.has(owner)) {
			return false;
		}

		this.#reserved.set(owner, tokens);
		this.#used += tokens;
		this.#evictSurplus();
		return true;
	}

	/** Releases the reservation of an owner; does nothing if it has none. */
	release(owner: string): void {
		this.#used -= this.#reserved.get(owner) ?? 0;
		this.#reserved.delete(owner);
	}

	/**
	 * Finds the longest cached prefix of a prompt and marks its blocks as used.
	 *
	 * @param blocks - Chained block hashes of the prompt, in order.
	 * @returns Number of cached blocks.
	 */
	matchPrefix(blocks: readonly string[]): number {
		const firstMiss = blocks.findIndex(block => !this.#blocks.has(block));
		const count = firstMiss === -1 ? blocks.length : firstMiss;
		this.#markUsed(blocks.slice(0, count));
		return count;
	}

	/**
	 * Caches the leading blocks of a prompt that fit, evicting the least recently used others.
	 *
	 * @param blocks - Chained block hashes of the prompt, in order.
	 */
	store(blocks: readonly string[]): void {
		const freeBlocks = Math.floor((this.#capacity - this.#used) / blockTokens);
		const fittingBlocks = blocks.slice(0, Math.max(freeBlocks, 0));
		const newBlocks = fittingBlocks.filter(block => !this.#blocks.has(block));
		this.#markUsed(fittingBlocks);
		if (newBlocks.length > 0) {
			this.#listener('stored', newBlocks);
		}

		this.#evictSurplus();
	}

	/** Clears the prefix cache. */
	clear(): void {
		this.#blocks.clear();
		this.#listener('cleared', []);
	}

	/** Marks the first block last, so that a prefix is evicted after the blocks that continue it. */
	#markUsed(blocks: readonly string[]): void {
		for (const block of blocks.toReversed()) {
			this.#blocks.delete(block);
			this.#blocks.add(block);
		}
	}

	/** Evicts the least recently used blocks that no longer fit beside the reservations. */
	#evictSurplus(): void {
		const freeBlocks = Math.floor((this.#capacity - this.#used) / blockTokens);
		const surplus = this.#blocks.size - freeBlocks;
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

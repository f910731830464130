/** KV memory held for owners at one engine. A hold stays until it is given back, also past its deadline. */
import {type HoldWanted, type Holds} from '../../src/upstream/protocol.js';
import {type Memory} from './memory.js';

type Held = {
	readonly wanted: HoldWanted;
	/** Tokens of it that a segment fills. */
	readonly filled: number;
};

function ownerOf(id: string): string {
	return `hold ${id}`;
}

export class HoldTable {
	readonly #memory: Memory;
	readonly #holds = new Map<string, Held>();

	constructor(memory: Memory) {
		this.#memory = memory;
	}

	/**
	 * Takes a hold; taking the same one again keeps the memory and renews the deadline.
	 *
	 * @param id - Hold.
	 * @param wanted - Owner, tokens and deadline.
	 * @returns Whether the memory is held.
	 */
	take(id: string, wanted: HoldWanted): boolean {
		const before = this.#holds.get(id);
		const isHeld = before === undefined
			? this.#memory.reserve(ownerOf(id), wanted.tokens)
			: before.wanted.tokens === wanted.tokens;
		if (isHeld) {
			this.#holds.set(id, {wanted, filled: before?.filled ?? 0});
		}

		return isHeld;
	}

	release(id: string): void {
		this.#holds.delete(id);
		this.#memory.release(ownerOf(id));
	}

	/** Every hold with its owner. */
	list(): Holds['holds'] {
		return [...this.#holds].map(([id, {wanted}]) => ({id, ...wanted}));
	}

	/**
	 * @param id - Hold.
	 * @param tokens - Tokens of a segment.
	 * @returns Whether the hold is there and the segment fits.
	 */
	fits(id: string, tokens: number): boolean {
		return (this.#holds.get(id)?.wanted.tokens ?? -1) >= tokens;
	}

	/** Notes that a segment now fills a hold. */
	fill(id: string, tokens: number): void {
		const held = this.#holds.get(id);
		if (held !== undefined) {
			this.#holds.set(id, {...held, filled: tokens});
		}
	}

	/** Tokens of a hold that no segment fills. */
	room(id: string): number {
		const held = this.#holds.get(id);
		return held === undefined ? 0 : held.wanted.tokens - held.filled;
	}

	/** The first of some holds that is here. */
	firstOf(ids: readonly string[]): string | undefined {
		return ids.find(id => this.#holds.has(id));
	}
}

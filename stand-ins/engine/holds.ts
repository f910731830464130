/** KV memory holds at one engine. A hold stays until it is released, even after its deadline. */
import {type HoldRequest, type Holds} from '../../src/upstream/protocol.js';
import {type Memory} from './memory.js';

type HoldEntry = {
	readonly request: HoldRequest;
	/** Tokens that a prefilled segment occupies. */
	readonly filledTokens: number;
};

function formatOwner(id: string): string {
	return `hold ${id}`;
}

export class HoldTable {
	readonly #memory: Memory;
	readonly #holds = new Map<string, HoldEntry>();

	constructor(memory: Memory) {
		this.#memory = memory;
	}

	/**
	 * Reserves memory for a hold. A repeated call with the same size keeps the memory and renews owner and deadline.
	 *
	 * @param id - Hold.
	 * @param request - Owner, tokens and deadline.
	 * @returns Whether the memory is held.
	 */
	reserve(id: string, request: HoldRequest): boolean {
		const existing = this.#holds.get(id);
		const isHeld = existing === undefined
			? this.#memory.reserve(formatOwner(id), request.tokens)
			: existing.request.tokens === request.tokens;
		if (isHeld) {
			this.#holds.set(id, {request, filledTokens: existing?.filledTokens ?? 0});
		}

		return isHeld;
	}

	release(id: string): void {
		this.#holds.delete(id);
		this.#memory.release(formatOwner(id));
	}

	/** Returns every hold with its owner, tokens and deadline. */
	list(): Holds['holds'] {
		return [...this.#holds].map(([id, {request}]) => ({id, ...request}));
	}

	/** Returns whether the hold exists and is large enough for a segment of this many tokens. */
	canFit(id: string, tokens: number): boolean {
		return (this.#holds.get(id)?.request.tokens ?? -1) >= tokens;
	}

	/** Records how many tokens a segment occupies in a hold; does nothing if the hold doesn't exist. */
	setFilled(id: string, tokens: number): void {
		const held = this.#holds.get(id);
		if (held !== undefined) {
			this.#holds.set(id, {...held, filledTokens: tokens});
		}
	}

	/** Returns the tokens of a hold that no segment occupies; 0 if the hold doesn't exist. */
	getFreeTokens(id: string): number {
		const held = this.#holds.get(id);
		return held === undefined ? 0 : held.request.tokens - held.filledTokens;
	}

	/** Returns the first of these ids whose hold exists at this engine. */
	findFirst(ids: readonly string[]): string | undefined {
		return ids.find(id => this.#holds.has(id));
	}
}

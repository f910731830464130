/** The answer of one request: passed to its callers as it comes, and kept where it may be asked for again. */
import {once} from 'node:events';
import {codes, type Outcome} from '../../core/index.js';
import {
	endAnswer,
	writePiece,
	type Piece,
	type Receiver,
} from './receivers.js';

/** Bytes of one answer that are kept for repeats. */
const keptLimit = 4_000_000;

/** What those are told who ask again for an answer that was given up. */
export const notKept: Outcome = {type: 'failed', code: codes.answerNotKept};

/** Bytes that may wait for one of several callers before it is given up. */
const waitingLimit = 1_000_000;

/** How an answer ended. */
export type End = {
	readonly outcome: Outcome;
	readonly ticket?: string;
};

export class Answer {
	readonly #isKept: boolean;
	readonly #receivers = new Set<Receiver>();
	readonly #pieces: Piece[] = [];
	#size = 0;
	#isTrimmed = false;
	#end: End | undefined;
	/** Settles when the only caller has room again. */
	#room: Promise<void> | undefined;

	/**
	 * @param isKept - Whether the answer may be asked for again.
	 */
	constructor(isKept: boolean) {
		this.#isKept = isKept;
	}

	get isKept(): boolean {
		return this.#isKept;
	}

	get hasEnded(): boolean {
		return this.#end !== undefined;
	}

	/** Bytes kept for repeats. */
	get size(): number {
		return this.#size;
	}

	get receivers(): number {
		return this.#receivers.size;
	}

	/**
	 * Adds a caller and gives it what has come so far.
	 *
	 * @param receiver - Caller.
	 */
	attach(receiver: Receiver): void {
		if (this.#isTrimmed) {
			const outcome = this.#end?.outcome;
			endAnswer(receiver, outcome === undefined || outcome.type === 'done' ? notKept : outcome);
			return;
		}

		for (const piece of this.#pieces) {
			writePiece(receiver, piece);
		}

		if (this.#end === undefined) {
			this.#receivers.add(receiver);
		} else {
			endAnswer(receiver, this.#end.outcome, this.#end.ticket);
		}
	}

	/**
	 * @param receiver - Caller that left or moved to another answer.
	 */
	detach(receiver: Receiver): void {
		this.#receivers.delete(receiver);
	}

	/**
	 * @returns The callers attached, no longer attached here.
	 */
	release(): readonly Receiver[] {
		const released = [...this.#receivers];
		this.#receivers.clear();
		return released;
	}

	/**
	 * Passes a part on.
	 *
	 * @param piece - Part of the answer.
	 * @returns A promise to wait for where the only caller's buffer is full.
	 */
	push(piece: Piece): Promise<void> | undefined {
		if (this.#end !== undefined) {
			return undefined;
		}

		this.#keep(piece);
		const full = [...this.#receivers].filter(receiver => !writePiece(receiver, piece));
		if (full.length === 0) {
			return undefined;
		}

		if (this.#isKept) {
			this.#dropSlow(full);
			return undefined;
		}

		this.#room ??= this.#awaitRoom(full[0]!);
		return this.#room;
	}

	/** Gives up the content; those who ask for it again are told so. */
	trim(): void {
		this.#isTrimmed = true;
		this.#pieces.length = 0;
		this.#size = 0;
	}

	/**
	 * @param end - End of the request.
	 */
	end(end: End): void {
		if (this.#end !== undefined) {
			return;
		}

		this.#end = end;
		const {outcome, ticket} = end;
		for (const receiver of this.release()) {
			endAnswer(receiver, outcome, ticket);
		}
	}

	async #awaitRoom(receiver: Receiver): Promise<void> {
		await drained(receiver);
		this.#room = undefined;
	}

	#keep(piece: Piece): void {
		if (!this.#isKept || this.#isTrimmed) {
			return;
		}

		this.#size += piece.type === 'bytes' ? piece.chunk.byteLength : (piece.type === 'frame' ? piece.data.length : 0);
		if (this.#size > keptLimit) {
			this.trim();
		} else {
			this.#pieces.push(piece);
		}
	}

	#dropSlow(full: readonly Receiver[]): void {
		for (const receiver of full) {
			if (receiver.response.writableLength > waitingLimit) {
				this.detach(receiver);
				receiver.response.destroy();
			}
		}
	}
}

async function drained({response}: Receiver): Promise<void> {
	if (response.destroyed) {
		return;
	}

	const controller = new AbortController();
	try {
		await Promise.race([
			once(response, 'drain', {signal: controller.signal}),
			once(response, 'close', {signal: controller.signal}),
		]);
	} finally {
		controller.abort();
	}
}

/** The answer of one request: streamed to its callers, and kept if a caller may ask for it again. */
import {once} from 'node:events';
import {codes, type Outcome} from '../../core/index.js';
import {breakOff} from '../../protocol/break-off.js';
import {
	endAnswer,
	writePart,
	type AnswerPart,
	type Receiver,
} from './receivers.js';

/** Limit for one answer; a longer one is not kept for repeated requests. */
const maxKeptBytes = 4_000_000;

/** Outcome for a repeated request whose answer was discarded. */
export const notKeptOutcome: Outcome = {type: 'failed', code: codes.answerNotKept};

/** Unsent bytes beyond which a slow caller of a kept answer is disconnected. */
const maxBufferedBytes = 1_000_000;

export type AnswerEnd = {
	readonly outcome: Outcome;
	readonly ticket?: string;
};

export class Answer {
	readonly #isKept: boolean;
	readonly #receivers = new Set<Receiver>();
	readonly #parts: AnswerPart[] = [];
	#size = 0;
	#isDiscarded = false;
	#end: AnswerEnd | undefined;
	/** Settles when the send buffer of the only caller has drained. */
	#backpressure: Promise<void> | undefined;

	/**
	 * @param isKept - Whether the answer is kept for repeated requests, which several callers may share.
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

	/** Number of bytes kept for repeated requests. */
	get size(): number {
		return this.#size;
	}

	get receiverCount(): number {
		return this.#receivers.size;
	}

	/** Adds a caller and sends it the answer so far. */
	attach(receiver: Receiver): void {
		if (this.#isDiscarded) {
			const outcome = this.#end?.outcome;
			endAnswer(receiver, outcome === undefined || outcome.type === 'done' ? notKeptOutcome : outcome);
			return;
		}

		for (const part of this.#parts) {
			writePart(receiver, part);
		}

		if (this.#end === undefined) {
			this.#receivers.add(receiver);
		} else {
			endAnswer(receiver, this.#end.outcome, this.#end.ticket);
		}
	}

	detach(receiver: Receiver): void {
		this.#receivers.delete(receiver);
	}

	/**
	 * Removes all callers.
	 *
	 * @returns The removed callers.
	 */
	detachAll(): readonly Receiver[] {
		const detached = [...this.#receivers];
		this.#receivers.clear();
		return detached;
	}

	/**
	 * Sends a part of the answer to all callers.
	 *
	 * @returns A promise to await before the next part, if the only caller's send buffer is full.
	 */
	push(part: AnswerPart): Promise<void> | undefined {
		if (this.#end !== undefined) {
			return undefined;
		}

		this.#keep(part);
		const blocked = [...this.#receivers].filter(receiver => !writePart(receiver, part));
		if (blocked.length === 0) {
			return undefined;
		}

		if (this.#isKept) {
			this.#dropSlowReceivers(blocked);
			return undefined;
		}

		this.#backpressure ??= this.#waitForDrain(blocked[0]!);
		return this.#backpressure;
	}

	/** Frees the kept content. A later repeated request fails with `answerNotKept`. */
	discardContent(): void {
		this.#isDiscarded = true;
		this.#parts.length = 0;
		this.#size = 0;
	}

	/** Ends the answer for all callers; later calls have no effect. */
	end(end: AnswerEnd): void {
		if (this.#end !== undefined) {
			return;
		}

		this.#end = end;
		const {outcome, ticket} = end;
		for (const receiver of this.detachAll()) {
			endAnswer(receiver, outcome, ticket);
		}
	}

	async #waitForDrain(receiver: Receiver): Promise<void> {
		await waitForDrain(receiver);
		this.#backpressure = undefined;
	}

	#keep(part: AnswerPart): void {
		if (!this.#isKept || this.#isDiscarded) {
			return;
		}

		this.#size += part.type === 'bytes' ? part.chunk.byteLength : (part.type === 'frame' ? part.data.length : 0);
		if (this.#size > maxKeptBytes) {
			this.discardContent();
		} else {
			this.#parts.push(part);
		}
	}

	#dropSlowReceivers(blocked: readonly Receiver[]): void {
		for (const receiver of blocked) {
			if (receiver.response.writableLength > maxBufferedBytes) {
				this.detach(receiver);
				breakOff(receiver.response);
			}
		}
	}
}

async function waitForDrain({response}: Receiver): Promise<void> {
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

/** Cuts off responses that remain unread. */
import {type ServerResponse} from 'node:http';

/** Writes a response piece by piece, each after the previous one has left the process, and cuts it off if a piece doesn't leave in time. */
export class UnreadWatch {
	readonly #outgoing: ServerResponse;
	readonly #timeoutMs: number;
	readonly #onUnread: () => void;
	readonly #pieces: string[] = [];
	#isWriting = false;
	#isEnding = false;

	/**
	 * @param outgoing - Response whose head has been written.
	 * @param timeoutMs - Milliseconds within which a piece must leave.
	 * @param onUnread - Called as the response is cut off.
	 */
	constructor(outgoing: ServerResponse, timeoutMs: number, onUnread: () => void) {
		this.#outgoing = outgoing;
		this.#timeoutMs = timeoutMs;
		this.#onUnread = onUnread;
	}

	/**
	 * @param piece - Next piece of the body.
	 */
	write(piece: string): void {
		this.#pieces.push(piece);
		this.#writeNext();
	}

	/** Ends the response after the pieces that wait. */
	end(): void {
		this.#isEnding = true;
		this.#writeNext();
	}

	#writeNext(): void {
		if (this.#isWriting || this.#outgoing.destroyed) {
			return;
		}

		const piece = this.#pieces.shift();
		if (piece === undefined) {
			if (this.#isEnding) {
				this.#outgoing.end();
			}

			return;
		}

		this.#isWriting = true;
		const timer = setTimeout(() => {
			if (!this.#outgoing.destroyed) {
				this.#onUnread();
				this.#outgoing.destroy();
			}
		}, this.#timeoutMs);
		this.#outgoing.write(piece, () => {
			clearTimeout(timer);
			this.#isWriting = false;
			this.#writeNext();
		});
	}
}

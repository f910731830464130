/** The part of one response that its caller hasn't received yet. */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {setImmediate as turn} from 'node:timers/promises';
import {breakOff} from '../../protocol/break-off.js';
import {type RequestTrace} from '../requests/trace.js';
import {type ResponseBuffers} from './response-buffers.js';

/** Most bytes that are handed to a socket at once; a caller's progress is noticed per piece. */
const maxPieceBytes = 65_536;

/** Memory that a buffer in a queue takes beside its bytes, most of it in the heap. */
const overheadBytes = 256;

/** So many small buffers in a row are joined: events of a few bytes would otherwise fill the heap before the budget. */
const joinedBuffers = 64;
const smallBufferBytes = 1024;

/** A complete answer is kept after the deadline of its request while its caller has read some of it within this time. */
const lateStallTimeoutMs = 5000;

/** Notified when a response stops being read, and when it is read again. */
export type ReadingObserver = {
	readonly stopped: () => void;
	readonly resumed: () => void;
};

type QueuedBuffer = {
	readonly bytes: Buffer;
	/** Bytes to count as free once it is sent. */
	readonly held: number;
};

/** Bytes that were read and can't be sent yet. */
export type UnbegunBytes = {
	/** Response of an upstream that they were read from; several may be read at once. */
	readonly source: object;
	readonly bytes: number;
};

export type WriteOptions = {
	/** Bytes of the same response that can't be sent yet. */
	readonly unbegun?: UnbegunBytes;
	readonly observer?: ReadingObserver;
	/** Ends the wait: nothing more is read from the upstream. */
	readonly signal?: AbortSignal;
};

export class ResponseBuffer {
	readonly #trace: RequestTrace;
	readonly #outgoing: ServerResponse;
	readonly #shared: ResponseBuffers;
	readonly #queue: QueuedBuffer[] = [];
	readonly #endHandlers = new Set<() => void>();
	#isWriting = false;
	#isFinishing = false;
	#hasEnded = false;
	#hasStopped = false;
	readonly #unbegun = new Map<object, number>();
	/** Small buffers in a row at the end of the queue. */
	#smallCount = 0;

	/**
	 * @param outgoing - Response to the caller.
	 * @param shared - Bytes of all responses.
	 * @param trace - Log of the request.
	 */
	constructor(outgoing: ServerResponse, shared: ResponseBuffers, trace: RequestTrace) {
		this.#outgoing = outgoing;
		this.#shared = shared;
		this.#trace = trace;
		if (shared.isEnabled) {
			outgoing.once('close', () => {
				this.#free();
			});
		}
	}

	/** Whether the response was ended because it held too much. */
	get hasEnded(): boolean {
		return this.#hasEnded;
	}

	/** Whether a body that is being collected should be passed on as it arrives, because memory is short. */
	get isShortOfSpace(): boolean {
		return this.#shared.isEnabled && !this.#shared.mayRead(this);
	}

	/**
	 * @param event - Name of a log line about this response.
	 * @param fields - Its fields.
	 */
	log(event: string, fields: Readonly<Record<string, unknown>>): void {
		this.#trace.write(event, fields);
	}

	/**
	 * @param endHandler - Called if the response is ended because it holds too much.
	 */
	addEndHandler(endHandler: () => void): void {
		this.#endHandlers.add(endHandler);
	}

	/**
	 * @param unbegun - Bytes that were read and can't be sent yet; replaces the previous number of the same source.
	 */
	countUnbegun(unbegun: UnbegunBytes): void {
		if (this.#shared.isEnabled && !this.#isGone) {
			this.#count(this.#updateUnbegun(unbegun));
		}
	}

	/**
	 * Sends bytes to the caller.
	 *
	 * @param chunks - Bytes to send.
	 * @param options - Bytes that remain unsent, and whom to notify if the response has to wait.
	 * @returns Resolves when more may be read from the upstream.
	 */
	async write(chunks: readonly Buffer[], {unbegun, observer, signal}: WriteOptions = {}): Promise<void> {
		if (!this.#shared.isEnabled) {
			await this.#writeThrough(chunks, observer, signal);
			return;
		}

		this.#enqueue(chunks, unbegun === undefined ? 0 : this.#updateUnbegun(unbegun));
		if (this.#shared.mayRead(this)) {
			return;
		}

		// A caller that reads has taken the bytes by the end of this turn.
		await turn();
		while (!this.#isGone && signal?.aborted !== true && !this.#shared.mayRead(this)) {
			const isFirst = !this.#hasStopped;
			this.#hasStopped = true;
			observer?.stopped();
			await this.#shared.waitForSpace(this, isFirst, signal);
			observer?.resumed();
		}
	}

	/**
	 * Sends the last bytes, and ends the response once all are sent.
	 *
	 * @param chunks - Last bytes.
	 */
	finish(chunks: readonly Buffer[] = []): void {
		if (!this.#shared.isEnabled) {
			this.#outgoing.end(chunks.length === 0 ? undefined : Buffer.concat(chunks));
			return;
		}

		this.#isFinishing = true;
		this.#enqueue(chunks, -this.#takeUnbegun());
		this.#writeNext();
	}

	/**
	 * Waits for the caller to receive a finished response. A caller that doesn't read is given up at the deadline.
	 *
	 * @param timeLeft - Returns the milliseconds until the deadline.
	 */
	async delivered(timeLeft: () => number): Promise<void> {
		while (this.#isFinishing && !this.#isGone) {
			await this.#waitForClose(Math.max(timeLeft(), lateStallTimeoutMs - this.#shared.stalledFor(this), 1));
			if (!this.#isGone && timeLeft() <= 0 && this.#shared.stalledFor(this) >= lateStallTimeoutMs) {
				this.#shared.end(this, 'stalled');
			}
		}
	}

	/** Gives the response up: cuts it off if it has begun. */
	end(): void {
		this.#hasEnded = true;
		this.#free();
		for (const endHandler of this.#endHandlers) {
			endHandler();
		}

		if (this.#outgoing.headersSent) {
			breakOff(this.#outgoing);
		}
	}

	get #isGone(): boolean {
		return this.#hasEnded || this.#outgoing.destroyed;
	}

	async #writeThrough(chunks: readonly Buffer[], observer: ReadingObserver | undefined, signal: AbortSignal | undefined): Promise<void> {
		const outgoing = this.#outgoing;
		const bytes = Buffer.concat(chunks);
		if (bytes.length > 0 && !outgoing.write(bytes) && !outgoing.destroyed) {
			observer?.stopped();
			await this.#waitForDrain(signal);
			observer?.resumed();
		}
	}

	async #waitForDrain(signal: AbortSignal | undefined): Promise<void> {
		await new Promise<void>(resolve => {
			const end = () => {
				this.#outgoing.off('drain', end).off('close', end);
				signal?.removeEventListener('abort', end);
				resolve();
			};

			this.#outgoing.on('drain', end).on('close', end);
			signal?.addEventListener('abort', end);
		});
	}

	/** Resolves when the response is closed, at the latest after a time in milliseconds. */
	async #waitForClose(time: number): Promise<void> {
		await new Promise<void>(resolve => {
			const end = () => {
				clearTimeout(timer);
				this.#outgoing.off('close', end);
				resolve();
			};

			const timer = setTimeout(end, time);
			this.#outgoing.once('close', end);
		});
	}

	#count(change: number): void {
		if (change > 0) {
			this.#shared.add(this, change);
		} else if (change < 0) {
			this.#shared.remove(this, -change);
		}
	}

	/** Returns by how many bytes the number of a source changes. */
	#updateUnbegun({source, bytes}: UnbegunBytes): number {
		const previous = this.#unbegun.get(source) ?? 0;
		this.#unbegun.set(source, bytes);
		return bytes - previous;
	}

	/** Forgets the unbegun bytes of all sources, and returns their number. */
	#takeUnbegun(): number {
		let bytes = 0;
		for (const each of this.#unbegun.values()) {
			bytes += each;
		}

		this.#unbegun.clear();
		return bytes;
	}

	/** Queues bytes; `unbegunChange` tells how many of these and others were counted as unbegun so far. */
	#enqueue(chunks: readonly Buffer[], unbegunChange: number): void {
		if (this.#isGone) {
			return;
		}

		let change = unbegunChange;
		for (const bytes of chunks) {
			if (bytes.length > 0) {
				const held = bytes.length + overheadBytes;
				this.#queue.push({bytes, held});
				this.#smallCount = bytes.length < smallBufferBytes ? this.#smallCount + 1 : 0;
				change += held - this.#joinSmallBuffers();
			}
		}

		this.#count(change);
		this.#writeNext();
	}

	/** Joins the small buffers at the end of the queue once there are enough, and returns the bytes that this frees. */
	#joinSmallBuffers(): number {
		if (this.#smallCount < joinedBuffers) {
			return 0;
		}

		const bytes = Buffer.concat(this.#queue.splice(-joinedBuffers).map(each => each.bytes));
		this.#queue.push({bytes, held: bytes.length + overheadBytes});
		this.#smallCount = 0;
		return (joinedBuffers - 1) * overheadBytes;
	}

	/** Hands the next piece to the socket once the previous one is sent. */
	#writeNext(): void {
		if (this.#isWriting || this.#isGone) {
			return;
		}

		const piece = this.#takePiece();
		if (piece === undefined) {
			if (this.#isFinishing && !this.#outgoing.writableEnded) {
				this.#outgoing.end();
			}

			return;
		}

		this.#isWriting = true;
		this.#outgoing.write(piece.bytes, () => {
			this.#isWriting = false;
			if (!this.#isGone) {
				this.#shared.remove(this, piece.held);
				this.#writeNext();
			}
		});
	}

	/** Takes up to one piece from the queue: several small buffers, or a part of a large one, which is held until all of it is sent. */
	#takePiece(): QueuedBuffer | undefined {
		const [first] = this.#queue;
		if (first !== undefined && first.bytes.length > maxPieceBytes) {
			this.#queue[0] = {bytes: first.bytes.subarray(maxPieceBytes), held: first.held};
			return {bytes: first.bytes.subarray(0, maxPieceBytes), held: 0};
		}

		let length = 0;
		let count = 0;
		while (count < this.#queue.length && length + this.#queue[count]!.bytes.length <= maxPieceBytes) {
			length += this.#queue[count]!.bytes.length;
			count++;
		}

		const taken = this.#queue.splice(0, count);
		this.#smallCount = Math.min(this.#smallCount, this.#queue.length);
		return taken.length < 2 ? taken[0] : {bytes: Buffer.concat(taken.map(({bytes}) => bytes), length), held: length + (count * overheadBytes)};
	}

	#free(): void {
		this.#queue.length = 0;
		this.#smallCount = 0;
		this.#unbegun.clear();
		this.#shared.delete(this);
	}
}

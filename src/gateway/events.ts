/** Cuts a stream of server-sent events after whole events, without changing a byte. */
import {Buffer} from 'node:buffer';

/** Bytes after which an event without an end is passed on as it is. */
const longestEvent = 1_000_000;

const idLine = /^id:\s?(.*)$/gmv;

/** Whole events. */
export type Events = {
	readonly bytes: Buffer;
	readonly count: number;
	/** Id of the last of them that has one. */
	readonly lastId?: string;
};

/** Where the last whole event ends, and how many there are. */
function wholeEvents(text: string): {readonly end: number; readonly count: number} {
	let end = 0;
	let count = 0;
	const blank = /\r?\n\r?\n/gv;
	for (let match = blank.exec(text); match !== null; match = blank.exec(text)) {
		end = match.index + match[0].length;
		count++;
	}

	return {end, count};
}

export class EventSplitter {
	#held: Buffer = Buffer.alloc(0);

	/** Bytes of an event that has not ended. */
	get rest(): Buffer {
		return this.#held;
	}

	/**
	 * @param chunk - Next bytes of the stream.
	 * @returns The events that are whole now.
	 */
	push(chunk: Buffer): Events {
		const bytes = this.#held.length === 0 ? chunk : Buffer.concat([this.#held, chunk]);
		// Latin-1 keeps one character a byte, so that places in the text are places in the bytes.
		const text = bytes.toString('latin1');
		const {end, count} = wholeEvents(text);
		if (end === 0 && bytes.length > longestEvent) {
			this.#held = Buffer.alloc(0);
			return {bytes, count: 0};
		}

		this.#held = bytes.subarray(end);
		const whole = bytes.subarray(0, end);
		const ids = [...whole.toString('utf8').matchAll(idLine)];
		return {bytes: whole, count, lastId: ids.at(-1)?.[1]?.trim()};
	}
}

/** Splits a stream of server-sent events at event boundaries without changing a byte. */
import {Buffer} from 'node:buffer';

/** A longer unfinished event is passed on as it is. */
const maxEventBytes = 1_000_000;

const idPattern = /^id:\s?(.*)$/gmv;

/** Complete events. */
export type WholeEvents = {
	readonly bytes: Buffer;
	readonly count: number;
	/** Id of the last event that has one. */
	readonly lastId?: string;
};

/** Returns where the last complete event ends, and how many complete events there are. */
function findWholeEvents(text: string): {readonly end: number; readonly count: number} {
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
	#pending: Buffer = Buffer.alloc(0);

	/** Bytes of an unfinished event. */
	get rest(): Buffer {
		return this.#pending;
	}

	/**
	 * @param chunk - Next bytes of the stream.
	 * @returns The events that are complete now.
	 */
	push(chunk: Buffer): WholeEvents {
		const bytes = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
		// Latin-1 maps each byte to one character, so offsets in the text are offsets in the bytes.
		const text = bytes.toString('latin1');
		const {end, count} = findWholeEvents(text);
		if (end === 0 && bytes.length > maxEventBytes) {
			this.#pending = Buffer.alloc(0);
			return {bytes, count: 0};
		}

		this.#pending = bytes.subarray(end);
		const whole = bytes.subarray(0, end);
		const ids = [...whole.toString('utf8').matchAll(idPattern)];
		return {bytes: whole, count, lastId: ids.at(-1)?.[1]?.trim()};
	}
}

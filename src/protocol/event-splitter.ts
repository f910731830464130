/** Splits a stream of server-sent events at event boundaries without changing a byte. */
import {Buffer} from 'node:buffer';

/** Usual limit of an event in bytes. */
const usualEventBytes = 1_000_000;

const eventStreamType = /^text\/event-stream\s*(?:;|$)/iv;

const blankLine = /(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r(?!\n))/gv;
const idLine = /(?:^|[\r\n])id: ?([^\r\n]*)/gv;

/** Blank lines and comments, which belong to no event. */
const noEvent = /^(?:(?::[^\r\n]*)?(?:\r\n|\n|\r))*$/v;

/** Line ends at the end of an unfinished event: with the next byte they may be a blank line. */
const trailingLineEnds = /[\r\n]*$/v;

/** Ids that a header can carry. */
const sendableId = /^[\u0021-\u007E](?:[\u0020-\u007E]*[\u0021-\u007E])?$/v;

/**
 * @param type - Content type of a response, if it has one.
 * @returns Whether the response is a stream of server-sent events.
 */
export function isEventStreamType(type: string | undefined): boolean {
	return type !== undefined && eventStreamType.test(type);
}

/** Complete events. */
export type WholeEvents = {
	readonly bytes: Buffer;
	readonly count: number;
	/** Id of the last event that has one. */
	readonly lastId?: string;
};

function findId(text: string): string | undefined {
	const id = [...text.matchAll(idLine)].at(-1)?.[1];
	return id !== undefined && sendableId.test(id) ? id : undefined;
}

/** Returns complete events in turn, and the text after the last one. */
function splitEvents(text: string): {readonly events: readonly string[]; readonly end: number} {
	const events: string[] = [];
	let end = 0;
	for (const {0: blank, index} of text.matchAll(blankLine)) {
		events.push(text.slice(end, index + blank.length));
		end = index + blank.length;
	}

	return {events, end};
}

export class EventSplitter {
	readonly #maxEventBytes: number;
	#pending: Buffer = Buffer.alloc(0);
	/** Part of an unfinished event that has been passed on; undefined if there is none. */
	#passedPart: {readonly id?: string} | undefined;
	#hasEvents = false;
	#isLastIdentified = false;
	#bytesWithoutEvent = 0;

	/**
	 * @param maxEventBytes - A longer unfinished event is passed on in parts.
	 */
	constructor(maxEventBytes = usualEventBytes) {
		this.#maxEventBytes = maxEventBytes;
	}

	/** Bytes since the end of the last event, blank lines and comments included. */
	get bytesWithoutEvent(): number {
		return this.#bytesWithoutEvent;
	}

	/** Bytes after the last event that haven't been passed on. */
	get rest(): Buffer {
		return this.#pending;
	}

	/** Whether the bytes so far end inside an event. */
	get isInsideEvent(): boolean {
		return this.#passedPart !== undefined || !noEvent.test(this.#pending.toString('latin1'));
	}

	/** Whether a part of an unfinished event has been passed on. */
	get hasPassedPart(): boolean {
		return this.#passedPart !== undefined;
	}

	/** Whether there was an event. */
	get hasEvents(): boolean {
		return this.#hasEvents;
	}

	/** Whether the last complete event has an id after which the stream can be continued. */
	get isLastIdentified(): boolean {
		return this.#isLastIdentified;
	}

	/**
	 * @param chunk - Next bytes of the stream.
	 * @returns The events that are complete now.
	 */
	push(chunk: Buffer): WholeEvents {
		const bytes = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
		// Latin-1 maps each byte to one character, so offsets in the text are offsets in the bytes.
		const text = bytes.toString('latin1');
		const {events, end} = splitEvents(text);
		this.#bytesWithoutEvent += chunk.length;
		if (end === 0 && bytes.length > this.#maxEventBytes) {
			return this.#passPart(bytes, text);
		}

		this.#pending = bytes.subarray(end);
		let lastId: string | undefined;
		let rest = bytes.length;
		for (const event of events) {
			rest -= event.length;
			lastId = this.#noteEvent(event, rest) ?? lastId;
		}

		return {bytes: bytes.subarray(0, end), count: events.length, lastId};
	}

	/** Notes a complete event and the number of bytes after it; returns its id, if it has one. */
	#noteEvent(event: string, rest: number): string | undefined {
		const passedPart = this.#passedPart;
		this.#passedPart = undefined;
		if (passedPart === undefined && noEvent.test(event)) {
			return undefined;
		}

		this.#bytesWithoutEvent = rest;
		const id = findId(event) ?? passedPart?.id;
		this.#hasEvents = true;
		this.#isLastIdentified = id !== undefined;
		return id;
	}

	#passPart(bytes: Buffer, text: string): WholeEvents {
		const end = text.search(trailingLineEnds);
		this.#passedPart = {id: findId(text) ?? this.#passedPart?.id};
		this.#pending = bytes.subarray(end);
		return {bytes: bytes.subarray(0, end), count: 0};
	}
}

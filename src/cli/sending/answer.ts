/** Reads answers of entry hosts: streams of events, whole completions and refusals. */
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {z} from 'zod';
import {codes} from '../../core/index.js';
import {streamEnd} from '../../upstream/protocol.js';

/** A refusal or failure as hosts write it. */
const complaintSchema = z.object({
	error: z.object({
		message: z.string(),
		type: z.string(),
		code: z.number().int(),
		ticket: z.string().optional(),
	}),
});

export type Complaint = z.infer<typeof complaintSchema>['error'];

const frameSchema = z.looseObject({
	choices: z.array(z.looseObject({
		delta: z.looseObject({content: z.string().nullish()}).optional(),
		message: z.looseObject({content: z.string().nullish()}).optional(),
	})),
});

/** How a stream ended. */
export type StreamEnd
	= | {readonly type: 'done'}
		| {readonly type: 'complained'; readonly complaint: Complaint}
	/** Without its terminal event. */
		| {readonly type: 'cut'};

/** Takes what a stream brings. */
export type Reader = {
	readonly content: (text: string) => void;
	/** Where the stream can be resumed. */
	readonly position: (id: string) => void;
};

/**
 * @param text - Body of an answer.
 * @returns The complaint that it holds.
 */
export function readComplaint(text: string): Complaint {
	const parsed = complaintSchema.safeParse(parseJson(text));
	return parsed.success
		? parsed.data.error
		: {message: 'The host gave no reason.', type: 'failed', code: codes.upstreamFailed};
}

/**
 * @param text - Body of a whole completion, or data of one frame.
 * @returns What the model wrote.
 */
export function readContent(text: string): string {
	const parsed = frameSchema.safeParse(parseJson(text));
	const choice = parsed.data?.choices[0];
	return choice?.delta?.content ?? choice?.message?.content ?? '';
}

/**
 * @param body - Body of an event stream.
 * @param reader - Takes its content.
 * @returns How it ended.
 */
export async function followStream(body: AsyncIterable<Uint8Array>, reader: Reader): Promise<StreamEnd> {
	let end: StreamEnd = {type: 'cut'};
	const decoder = new TextDecoder();
	const parser = createParser({
		onEvent(message) {
			end = takeEvent(message, reader) ?? end;
		},
	});
	try {
		for await (const chunk of body) {
			parser.feed(decoder.decode(chunk, {stream: true}));
		}
	} catch {
		// A broken connection shows in the missing terminal event.
	}

	return end;
}

function takeEvent({id, event, data}: EventSourceMessage, reader: Reader): StreamEnd | undefined {
	if (event === 'error') {
		return {type: 'complained', complaint: readComplaint(data)};
	}

	if (data === streamEnd) {
		return {type: 'done'};
	}

	reader.content(readContent(data));
	if (id !== undefined) {
		reader.position(id);
	}

	return undefined;
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

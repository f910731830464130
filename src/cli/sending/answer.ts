/** Parses answers of hosts: event streams, whole completions and errors. */
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {z} from 'zod';
import {codes} from '../../core/index.js';
import {streamEnd} from '../../upstream/protocol.js';

/** Error body of a host. */
const apiErrorSchema = z.object({
	error: z.object({
		message: z.string(),
		type: z.string(),
		code: z.number().int(),
		ticket: z.string().optional(),
	}),
});

export type ApiError = z.infer<typeof apiErrorSchema>['error'];

const frameSchema = z.looseObject({
	choices: z.array(z.looseObject({
		delta: z.looseObject({content: z.string().nullish()}).optional(),
		message: z.looseObject({content: z.string().nullish()}).optional(),
	})),
});

/** How a stream ended. */
export type StreamEnd
	= | {readonly type: 'done'}
		| {readonly type: 'failed'; readonly error: ApiError}
	/** The connection ended before the terminal event. */
		| {readonly type: 'cut'};

/** Handlers for the content of a stream. */
export type StreamHandlers = {
	readonly content: (text: string) => void;
	/** Receives the event id after which the stream can be resumed. */
	readonly position: (id: string) => void;
};

/**
 * @param text - Body of an answer.
 * @returns The error in it, or a general one if it has none.
 */
export function parseApiError(text: string): ApiError {
	const parsed = apiErrorSchema.safeParse(parseJson(text));
	return parsed.success
		? parsed.data.error
		: {message: 'The answer has no error message.', type: 'failed', code: codes.upstreamFailed};
}

/**
 * @param text - Body of a whole completion, or data of one frame.
 * @returns The generated text in it.
 */
export function parseContent(text: string): string {
	const parsed = frameSchema.safeParse(parseJson(text));
	const choice = parsed.data?.choices[0];
	return choice?.delta?.content ?? choice?.message?.content ?? '';
}

/**
 * @param body - Body of an event stream.
 * @param handlers - Called for each event.
 * @returns How the stream ended.
 */
export async function readStream(body: AsyncIterable<Uint8Array>, handlers: StreamHandlers): Promise<StreamEnd> {
	let end: StreamEnd = {type: 'cut'};
	const decoder = new TextDecoder();
	const parser = createParser({
		onEvent(message) {
			end = handleEvent(message, handlers) ?? end;
		},
	});
	try {
		for await (const chunk of body) {
			parser.feed(decoder.decode(chunk, {stream: true}));
		}
	} catch {
		// A lost connection shows as a missing terminal event.
	}

	return end;
}

function handleEvent({id, event, data}: EventSourceMessage, handlers: StreamHandlers): StreamEnd | undefined {
	if (event === 'error') {
		return {type: 'failed', error: parseApiError(data)};
	}

	if (data === streamEnd) {
		return {type: 'done'};
	}

	handlers.content(parseContent(data));
	if (id !== undefined) {
		handlers.position(id);
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

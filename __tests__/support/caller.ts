/** A caller of a fleet: sends requests, requests tickets, reads and resumes streams. */
import {createParser} from 'eventsource-parser';
import got, {type Response} from 'got';
import {z} from 'zod';
import {type Address} from '../../src/core/index.js';
import {type Fleet} from '../../bench/fleet/fleet.js';
import {getApiKey} from '../../bench/fleet/shape.js';
import {calculateAnswerLength, generateAnswer, digestPrompt} from '../../stand-ins/engine/answer.js';
import {renderPrompt} from '../../src/protocol/blocks.js';

/** The response to a request, as its caller received it. */
export type CallResult = {
	readonly status: number;
	readonly outcome: string;
	readonly code: number;
	readonly body: string;
	readonly ticket?: string;
};

/** The result when the connection fails before a response. */
const connectionFailure: CallResult = {
	status: 0,
	outcome: 'outcome unknown',
	code: -1,
	body: '',
};

function readResult({statusCode, headers, trailers, body}: Response<string>): CallResult {
	const {ticket} = headers['x-ticket'] === undefined ? {} : {ticket: String(headers['x-ticket'])};
	return {
		status: statusCode,
		outcome: String(headers['x-outcome'] ?? trailers['x-outcome'] ?? 'outcome unknown'),
		code: Number(headers['x-result-code'] ?? trailers['x-result-code'] ?? -1),
		body,
		ticket,
		...readStreamOutcome(body),
	};
}

const errorSchema = z.object({error: z.object({type: z.string(), code: z.number()})});

/** Reads the outcome of a stream from its terminal event; its headers are sent before the outcome is known. */
function readStreamOutcome(body: string): Partial<CallResult> {
	const error = /^event: error\ndata: (.*)$/mv.exec(body)?.[1];
	if (error !== undefined) {
		const {type, code} = errorSchema.parse(JSON.parse(error)).error;
		return {outcome: type, code};
	}

	return body.includes('\ndata: [DONE]\n') ? {outcome: 'done', code: 0} : {};
}

export type SendOptions = {
	readonly host: string;
	readonly path: string;
	readonly body: string;
	readonly ticket?: string;
	readonly key?: string;
	/** Milliseconds that the host has for the request. */
	readonly timeout?: number;
	/** Milliseconds after which the caller aborts the request. */
	readonly callerTimeout?: number;
};

function buildUrl({host, port}: Address, path: string): string {
	return `http://${host}:${port}${path}`;
}

/**
 * Sends a non-idempotent request.
 *
 * @returns The response; a connection failure is returned as an unknown outcome.
 */
export async function sendOnce(fleet: Fleet, options: SendOptions): Promise<CallResult> {
	const {caller} = fleet.hosts.get(options.host);
	try {
		return readResult(await got.post(buildUrl(caller, options.path), {
			body: options.body,
			headers: {
				authorization: `Bearer ${getApiKey('one')}`,
				'content-type': 'application/json',
				'x-idempotent': 'false',
				'x-timeout-ms': String(options.timeout ?? 5000),
				...(options.ticket !== undefined && {'x-ticket': options.ticket}),
				...(options.key !== undefined && {'idempotency-key': options.key}),
			},
			throwHttpErrors: false,
			retry: {limit: 0},
			timeout: {request: options.callerTimeout ?? 15_000},
		}));
	} catch {
		return connectionFailure;
	}
}

/** Requests a ticket that the host issues. */
export async function requestTicket(fleet: Fleet, host: string): Promise<string> {
	const {caller} = fleet.hosts.get(host);
	const {ticket} = await got.post(buildUrl(caller, '/v1/tickets'), {
		headers: {authorization: `Bearer ${getApiKey('one')}`},
		retry: {limit: 0},
	}).json<{ticket: string}>();
	return ticket;
}

/** The part of a stream that its caller received. */
export type StreamResult = {
	readonly text: string;
	/** Event id from which the stream can be resumed. */
	readonly position: string | undefined;
	/** Whether the terminal event was received. */
	readonly isWhole: boolean;
	readonly status: number;
	readonly error: string;
};

export type StreamOptions = {
	readonly host: string;
	readonly prompt: string;
	readonly tokens: number;
	readonly position?: string;
	readonly ticket?: string;
	/** Prompt length to declare, where the text stands for a longer prompt. */
	readonly promptTokens?: number;
	/** Called with the number of frames received so far. */
	readonly onFrame?: (count: number) => void;
};

const chunkSchema = z.object({
	choices: z.array(z.object({delta: z.object({content: z.string().optional()})})),
});

function readContent(data: string): string {
	const {choices} = chunkSchema.parse(JSON.parse(data));
	return choices[0]?.delta.content ?? '';
}

/**
 * Streams an answer, from its start or from a position, until it ends or fails.
 *
 * @returns What the caller received.
 */
export async function streamChat(fleet: Fleet, options: StreamOptions): Promise<StreamResult> {
	const {caller} = fleet.hosts.get(options.host);
	let text = '';
	let position: string | undefined;
	let isWhole = false;
	let frames = 0;
	let status = 0;
	let error = '';
	const parser = createParser({
		onEvent(event) {
			if (event.data === '[DONE]') {
				isWhole = true;
			} else if (event.event === 'error') {
				error = event.data;
			} else {
				const content = readContent(event.data);
				position = event.id ?? position;
				text += content;
				frames += content === '' ? 0 : 1;
				options.onFrame?.(frames);
			}
		},
	});
	const request = got.stream.post(buildUrl(caller, '/v1/chat/completions'), {
		json: buildChatBody(options.prompt, options.tokens),
		headers: {
			authorization: `Bearer ${getApiKey('one')}`,
			...(options.position !== undefined && {'last-event-id': options.position}),
			...(options.promptTokens !== undefined && {'x-prompt-tokens': String(options.promptTokens)}),
			...(options.ticket !== undefined && {'x-ticket': options.ticket, 'x-idempotent': 'false'}),
		},
		throwHttpErrors: false,
		retry: {limit: 0},
	});
	request.once('response', (response: Response) => {
		status = response.statusCode;
	});
	try {
		for await (const chunk of request) {
			if (status === 200) {
				parser.feed(String(chunk));
			} else {
				error += String(chunk);
			}
		}
	} catch (error_) {
		error = String(error_);
	}

	return {
		text,
		position,
		isWhole,
		status,
		error,
	};
}

/**
 * Builds the body of a streamed chat request.
 *
 * @param tokens - Maximum length of the answer.
 */
export function buildChatBody(prompt: string, tokens: number) {
	return {
		model: 'check',
		stream: true,
		max_tokens: tokens,
		messages: [{role: 'user', content: prompt}],
	};
}

/**
 * Returns the complete answer of a stand-in engine to a prompt.
 *
 * @param tokens - Length of the answer; the engines must be set to answer with exactly this many tokens.
 */
export function getExpectedAnswer(prompt: string, tokens: number): string {
	const digest = digestPrompt(renderPrompt([{role: 'user', content: prompt}]));
	return generateAnswer(digest, calculateAnswerLength(digest, {least: tokens, most: tokens}, tokens));
}

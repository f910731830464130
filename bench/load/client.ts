/** Sends one request and reads its answer to the end. */
import {Agent} from 'node:http';
import {performance} from 'node:perf_hooks';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import got, {type Response} from 'got';
import {z} from 'zod';
import {streamEnd} from '../../src/upstream/protocol.js';
import {type PlannedRequest} from './trace.js';
import {type Scenario} from './scenario.js';

/** How one request ended; times are monotonic milliseconds. */
export type Ending = {
	/** Result code, or {@link cutCode} if the answer ended without one. */
	readonly code: number;
	/** Why an answer ended without a code. */
	readonly detail: string;
	readonly content: string;
	readonly firstTokenAt: number | undefined;
	readonly endedAt: number;
};

/** Code of an answer that ended without a result code. */
export const cutCode = -1;

const ticketRequiredCode = 1006;
const agent = new Agent({keepAlive: true, maxFreeSockets: 256});

const eventSchema = z.object({
	choices: z.array(z.object({delta: z.object({content: z.string().optional()})})).default([]),
	outcome: z.object({code: z.number()}).optional(),
	error: z.object({code: z.number()}).optional(),
});

const errorSchema = z.object({error: z.object({code: z.number(), ticket: z.string().optional()})});

/** Collects the events of one stream. */
class StreamCollector {
	content = '';
	code: number | undefined;
	firstTokenAt: number | undefined;
	readonly #parser = createParser({
		onEvent: event => {
			this.#handleEvent(event);
		},
	});

	feed(text: string): void {
		this.#parser.feed(text);
	}

	#handleEvent(event: EventSourceMessage): void {
		if (event.data === streamEnd) {
			return;
		}

		const {choices, outcome, error} = eventSchema.parse(JSON.parse(event.data));
		const content = choices[0]?.delta.content;
		if (content !== undefined) {
			this.firstTokenAt ??= performance.now();
			this.content += content;
		}

		this.code = outcome?.code ?? error?.code ?? this.code;
	}
}

function parseError(body: string): {readonly code: number; readonly ticket: string | undefined} {
	try {
		const {error} = errorSchema.parse(JSON.parse(body));
		return {code: error.code, ticket: error.ticket};
	} catch {
		return {code: cutCode, ticket: undefined};
	}
}

type Attempt = Ending & {readonly ticket: string | undefined};

async function sendAttempt(planned: PlannedRequest, scenario: Scenario, body: string, ticket: string | undefined): Promise<Attempt> {
	const collector = new StreamCollector();
	let errorText = '';
	let isStream = false;
	let detail = '';
	try {
		const stream = got.stream.post(`http://${planned.entry.host}:${planned.entry.port}/v1/chat/completions`, {
			body,
			headers: buildHeaders(planned, scenario, ticket),
			agent: {http: agent},
			retry: {limit: 0},
			throwHttpErrors: false,
			timeout: {request: scenario.timeout * 2},
		});
		stream.once('response', (response: Response) => {
			isStream = response.headers['content-type']?.startsWith('text/event-stream') ?? false;
		});
		stream.setEncoding('utf8');
		for await (const chunk of stream) {
			if (isStream) {
				collector.feed(String(chunk));
			} else {
				errorText += String(chunk);
			}
		}
	} catch (error) {
		// A broken connection leaves the answer without a result code.
		detail = error instanceof Error ? error.message : String(error);
	}

	const {code, ticket: issued} = isStream ? {code: collector.code ?? cutCode, ticket: undefined} : parseError(errorText);
	return {
		code, detail, content: collector.content, firstTokenAt: collector.firstTokenAt, endedAt: performance.now(), ticket: issued,
	};
}

function buildHeaders(planned: PlannedRequest, scenario: Scenario, ticket: string | undefined): Readonly<Record<string, string>> {
	return {
		'content-type': 'application/json',
		authorization: `Bearer ${planned.organisation.key}`,
		'x-timeout-ms': String(scenario.timeout),
		'x-prompt-tokens': String(planned.promptTokens),
		'x-idempotent': String(planned.key === undefined),
		...(planned.key !== undefined && {'idempotency-key': planned.key}),
		...(ticket !== undefined && {'x-ticket': ticket}),
	};
}

/**
 * Sends a request, and sends it again with the ticket if it was answered with one, as callers do.
 *
 * @param planned - Request.
 * @param scenario - Its scenario.
 * @param content - The user's message.
 * @returns How the request ended.
 */
export async function sendRequest(planned: PlannedRequest, scenario: Scenario, content: string): Promise<Ending> {
	const body = JSON.stringify({
		model: scenario.service, messages: [{role: 'user', content}], stream: true, max_tokens: planned.output,
	});
	const first = await sendAttempt(planned, scenario, body, undefined);
	return first.code === ticketRequiredCode && first.ticket !== undefined
		? sendAttempt(planned, scenario, body, first.ticket)
		: first;
}

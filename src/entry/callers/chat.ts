/** Turns a chat request into a request of the core. */
import {createHash} from 'node:crypto';
import {type IncomingMessage} from 'node:http';
import {z} from 'zod';
import {
	messageOf,
	raise,
	type Configuration,
	type Organisation,
	type Proof,
	type Request,
	type Service,
} from '../../core/index.js';
import {countTokens, hashBlocks, renderPrompt} from '../../protocol/blocks.js';
import {decode} from './body.js';
import {
	callerHeaders,
	header,
	readHops,
	readPriority,
	readPromptTokens,
	readProof,
	readTimeout,
} from './headers.js';
import {type Payload} from './exchange.js';
import {type Form} from './receivers.js';

const part = z.looseObject({type: z.string(), text: z.string().optional()});

const chatSchema = z.looseObject({
	model: z.string().min(1),
	messages: z.array(z.looseObject({
		role: z.string(),
		content: z.union([z.string(), z.array(part)]),
	})).min(1),
	stream: z.boolean().default(false),
	max_tokens: z.number().int().positive().nullish(),
	max_completion_tokens: z.number().int().positive().nullish(),
});

export type Chat = z.infer<typeof chatSchema>;

/** A request ready for the core, and what goes with it. */
export type Intake = {
	readonly request: Request;
	readonly payload: Payload;
	readonly form: Form;
};

/** What every request is read with. */
export type Reading = {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly headers: IncomingMessage['headers'];
	readonly body: Uint8Array;
	readonly configuration: Configuration;
	readonly organisation: Organisation;
	readonly service: Service;
	/** Monotonic time in milliseconds. */
	readonly now: number;
	/** Milliseconds since 1970. */
	readonly wall: number;
	readonly statedPromptTokens: boolean;
};

/**
 * @param body - HTTP body.
 * @returns The chat it holds.
 * @throws Failure `badBody` that names each mistake.
 */
export function parseChat(body: Uint8Array): Chat {
	const result = chatSchema.safeParse(parseJson(body));
	if (result.success) {
		return result.data;
	}

	const mistakes = result.error.issues.map(issue => `${issue.path.join('.') || '(root)'}: ${issue.message}`);
	return raise('badBody', mistakes.join('; '));
}

function parseJson(body: Uint8Array): unknown {
	try {
		return JSON.parse(decode(body));
	} catch (error) {
		return raise('badBody', messageOf(error));
	}
}

/**
 * @param reading - Request as it came.
 * @returns Fields that all kinds of requests share.
 */
export function readCommon(reading: Reading): Omit<Request, 'promptTokens' | 'outputLimit' | 'blocks'> {
	const {headers, service, organisation} = reading;
	const proof = readProof(reading);
	const spilledFrom = header(headers, callerHeaders.spilledFrom);
	const hops = readHops(headers);
	return {
		id: reading.id,
		organisation: organisation.id,
		service: service.id,
		priority: readPriority(headers, organisation),
		arrival: reading.now,
		deadline: reading.now + readTimeout(headers, service),
		proof,
		fingerprint: fingerprint(reading),
		...(spilledFrom !== undefined && {spilledFrom}),
		...(hops !== undefined && {hops}),
	};
}

function fingerprint({organisation, service, method, path, body}: Reading): string {
	const head = JSON.stringify([organisation.id, service.id, method, path]);
	return createHash('sha256').update(head).update(body).digest('base64url');
}

/**
 * @param reading - Request as it came.
 * @param chat - Its parsed body.
 * @returns The request for the core.
 * @throws Failure of a header.
 */
export function readChat(reading: Reading, chat: Chat): Intake {
	const prompt = renderPrompt(chat.messages);
	const stated = reading.statedPromptTokens ? readPromptTokens(reading.headers) : undefined;
	const promptTokens = stated ?? countTokens(prompt);
	const common = readCommon(reading);
	return {
		request: {
			...common,
			promptTokens,
			outputLimit: chat.max_completion_tokens ?? chat.max_tokens ?? undefined,
			blocks: hashBlocks(prompt, promptTokens),
		},
		payload: {
			method: 'POST',
			path: reading.path,
			callerPath: reading.path,
			headers: reading.headers,
			body: reading.body,
			engineBody: chat.stream ? decode(reading.body) : JSON.stringify({...chat, stream: true}),
			key: accountKey(common.proof, reading.headers),
			statedPromptTokens: stated,
		},
		form: chat.stream ? 'stream' : 'whole',
	};
}

/**
 * @param proof - Right to run the request.
 * @param headers - Its headers.
 * @returns The key under which upstreams can keep account of it.
 */
export function accountKey(proof: Proof, headers: IncomingMessage['headers']): string | undefined {
	switch (proof.type) {
		case 'key': {
			return proof.key;
		}

		case 'ticket': {
			const {keeper, sequence} = proof.ticket;
			return header(headers, callerHeaders.key) ?? `${keeper.host}/${keeper.started}/${sequence}`;
		}

		case 'idempotent':
		case 'none': {
			return undefined;
		}

		default: {
			return raise('internal');
		}
	}
}

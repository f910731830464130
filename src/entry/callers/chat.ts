/** Converts a chat completion request into a core request. */
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
import {decodeText} from './body.js';
import {
	callerHeaders,
	getHeader,
	readHopCount,
	readPriority,
	readPromptTokens,
	readProof,
	readTimeout,
} from './headers.js';
import {type Payload} from './exchange.js';
import {type AnswerForm} from './receivers.js';

const contentPartSchema = z.looseObject({type: z.string(), text: z.string().optional()});

const chatSchema = z.looseObject({
	model: z.string().min(1),
	messages: z.array(z.looseObject({
		role: z.string(),
		content: z.union([z.string(), z.array(contentPartSchema)]),
	})).min(1),
	stream: z.boolean().default(false),
	max_tokens: z.number().int().positive().nullish(),
	max_completion_tokens: z.number().int().positive().nullish(),
});

export type ChatBody = z.infer<typeof chatSchema>;

/** A core request with the payload for upstreams and the form of the answer. */
export type ParsedRequest = {
	readonly request: Request;
	readonly payload: Payload;
	readonly form: AnswerForm;
};

/** An HTTP request with everything needed to parse it. */
export type RequestContext = {
	readonly id: string;
	readonly method: string;
	/** Path with query. */
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
	/** Whether the prompt token count that a caller states is used. */
	readonly statedPromptTokens: boolean;
};

/**
 * @param body - JSON in UTF-8.
 * @throws Failure `badBody` with all validation errors.
 */
export function parseChatBody(body: Uint8Array): ChatBody {
	const result = chatSchema.safeParse(parseJson(body));
	if (result.success) {
		return result.data;
	}

	const issues = result.error.issues.map(issue => `${issue.path.join('.') || '(root)'}: ${issue.message}`);
	return raise('badBody', issues.join('; '));
}

function parseJson(body: Uint8Array): unknown {
	try {
		return JSON.parse(decodeText(body));
	} catch (error) {
		return raise('badBody', messageOf(error));
	}
}

/**
 * @returns Fields that chat and plain requests share.
 * @throws Failure `badHeader`, `badTicket` or `expiredTicket`.
 */
export function parseCommonFields(context: RequestContext): Omit<Request, 'promptTokens' | 'outputLimit' | 'blocks'> {
	const {headers, service, organisation} = context;
	const proof = readProof(context);
	const spilledFrom = getHeader(headers, callerHeaders.spilledFrom);
	const hops = readHopCount(headers);
	return {
		id: context.id,
		organisation: organisation.id,
		service: service.id,
		priority: readPriority(headers, organisation),
		arrival: context.now,
		deadline: context.now + readTimeout(headers, service),
		proof,
		fingerprint: computeFingerprint(context),
		...(spilledFrom !== undefined && {spilledFrom}),
		...(hops !== undefined && {hops}),
	};
}

function computeFingerprint({organisation, service, method, path, body}: RequestContext): string {
	const head = JSON.stringify([organisation.id, service.id, method, path]);
	return createHash('sha256').update(head).update(body).digest('base64url');
}

/**
 * @param chat - Parsed body.
 * @throws Failure `badHeader`, `badTicket` or `expiredTicket`.
 */
export function parseChatRequest(context: RequestContext, chat: ChatBody): ParsedRequest {
	const prompt = renderPrompt(chat.messages);
	const stated = context.statedPromptTokens ? readPromptTokens(context.headers) : undefined;
	const promptTokens = stated ?? countTokens(prompt);
	const common = parseCommonFields(context);
	return {
		request: {
			...common,
			promptTokens,
			outputLimit: chat.max_completion_tokens ?? chat.max_tokens ?? undefined,
			blocks: hashBlocks(prompt, promptTokens),
		},
		payload: {
			method: 'POST',
			path: context.path,
			callerPath: context.path,
			headers: context.headers,
			body: context.body,
			engineBody: chat.stream ? decodeText(context.body) : JSON.stringify({...chat, stream: true}),
			key: getIdempotencyKey(common.proof, context.headers),
			statedPromptTokens: stated,
		},
		form: chat.stream ? 'stream' : 'whole',
	};
}

/**
 * @returns Idempotency key for upstreams: the caller's key, or one derived from the ticket; undefined without key and ticket.
 */
export function getIdempotencyKey(proof: Proof, headers: IncomingMessage['headers']): string | undefined {
	switch (proof.type) {
		case 'key': {
			return proof.key;
		}

		case 'ticket': {
			const {keeper, sequence} = proof.ticket;
			return getHeader(headers, callerHeaders.key) ?? `${keeper.host}/${keeper.started}/${sequence}`;
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

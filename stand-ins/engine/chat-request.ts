/** Parses chat completion requests into run requests for the engine. */
import {type Request as Incoming} from 'restify';
import {v4 as uuid} from 'uuid';
import {z} from 'zod';
import {
	countTokens, hashBlocks, renderPrompt, shortDigest,
} from '../../src/protocol/blocks.js';
import {engineHeaders} from '../../src/upstream/protocol.js';
import {getHeader} from '../common/server.js';
import {calculateAnswerLength, digestPrompt} from './answer.js';
import {type RunRequest} from './engine.js';
import {type EngineHost} from './host.js';

const chatSchema = z.object({
	model: z.string().optional(),
	messages: z.array(z.object({
		role: z.string(),
		content: z.union([z.string(), z.array(z.object({type: z.string(), text: z.string().optional()}))]),
	})).min(1),
	stream: z.boolean().default(false),
	max_tokens: z.number().int().positive().optional(),
});

export const taskSchema = z.object({
	id: z.string(),
	digest: z.string(),
	promptTokens: z.number(),
	output: z.number(),
});

/** A parsed chat completion request. */
export type ChatRequest = {
	readonly run: RunRequest;
	/** Whether the answer is sent as an event stream. */
	readonly isStream: boolean;
};

function getNumberHeader(incoming: Incoming, name: string): number | undefined {
	const value = getHeader(incoming, name);
	return value === undefined ? undefined : z.coerce.number().nonnegative().parse(value);
}

function validateModel(host: EngineHost, model: string | undefined): void {
	const {current} = host.engine.orders;
	const isServed = model === undefined || model === current?.model || current?.adapters.includes(model);
	if (host.settings.checkModel && !isServed) {
		throw new TypeError(`model ${model} is not loaded`);
	}
}

/**
 * Parses a chat completion request.
 *
 * @param incoming - Request, whose headers are read.
 * @param body - Request body.
 * @param host - Engine that will run it.
 * @throws If the body or a header is invalid, or the model is not loaded and the engine checks models.
 */
export function parseChatRequest(incoming: Incoming, body: string, host: EngineHost): ChatRequest {
	const chat = chatSchema.parse(JSON.parse(body));
	validateModel(host, chat.model);
	const prompt = renderPrompt(chat.messages);
	const digest = digestPrompt(prompt);
	const promptTokens = getNumberHeader(incoming, engineHeaders.promptTokens) ?? countTokens(prompt);
	const id = getHeader(incoming, engineHeaders.attempt) ?? uuid();
	const poison = host.faults.findPoison(body);
	return {
		isStream: chat.stream,
		run: {
			task: {
				id,
				digest,
				promptTokens,
				output: calculateAnswerLength(digest, host.settings.answer, chat.max_tokens),
			},
			priority: getNumberHeader(incoming, engineHeaders.priority) ?? 0,
			blocks: hashBlocks(prompt, promptTokens),
			holds: getHeader(incoming, engineHeaders.holds)?.split(',').map(each => each.trim()) ?? [],
			timeout: getNumberHeader(incoming, engineHeaders.timeout),
			execution: {
				attempt: id,
				body: shortDigest(body),
				prompt: digest,
				idempotencyKey: getHeader(incoming, 'idempotency-key'),
				ticket: getHeader(incoming, 'x-ticket'),
			},
			onStart() {
				if (poison !== undefined) {
					void host.crash(poison.returnAfter);
				}
			},
		},
	};
}

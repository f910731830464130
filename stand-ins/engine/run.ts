/** Reads a chat request into what the engine has to run. */
import {type Request as Incoming} from 'restify';
import {v4 as uuid} from 'uuid';
import {z} from 'zod';
import {
	countTokens, hashBlocks, renderPrompt, shortDigest,
} from '../../src/protocol/blocks.js';
import {headers} from '../../src/upstream/protocol.js';
import {header} from '../common/server.js';
import {answerLength, promptDigest} from './answer.js';
import {type Run} from './engine.js';
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

export const wantedSchema = z.object({
	id: z.string(),
	digest: z.string(),
	promptTokens: z.number(),
	output: z.number(),
});

/** A chat request read from the wire. */
export type ReadRun = {
	readonly run: Run;
	readonly isStream: boolean;
};

function numberHeader(incoming: Incoming, name: string): number | undefined {
	const value = header(incoming, name);
	return value === undefined ? undefined : z.coerce.number().nonnegative().parse(value);
}

function checkModel(host: EngineHost, model: string | undefined): void {
	const {current} = host.engine.orders;
	const isServed = model === undefined || model === current?.model || current?.adapters.includes(model);
	if (host.settings.checkModel && !isServed) {
		throw new TypeError(`model ${model} is not loaded`);
	}
}

/**
 * @param incoming - Request, for its headers.
 * @param body - Body.
 * @param host - The engine that runs it.
 * @returns The run; a body that is not valid throws.
 */
export function readRun(incoming: Incoming, body: string, host: EngineHost): ReadRun {
	const chat = chatSchema.parse(JSON.parse(body));
	checkModel(host, chat.model);
	const prompt = renderPrompt(chat.messages);
	const digest = promptDigest(prompt);
	const promptTokens = numberHeader(incoming, headers.promptTokens) ?? countTokens(prompt);
	const id = header(incoming, headers.attempt) ?? uuid();
	const poison = host.faults.poisonIn(body);
	return {
		isStream: chat.stream,
		run: {
			wanted: {
				id,
				digest,
				promptTokens,
				output: answerLength(digest, host.settings.answer, chat.max_tokens),
			},
			priority: numberHeader(incoming, headers.priority) ?? 0,
			blocks: hashBlocks(prompt, promptTokens),
			holds: header(incoming, headers.holds)?.split(',').map(each => each.trim()) ?? [],
			timeout: numberHeader(incoming, headers.timeout),
			execution: {
				attempt: id,
				body: shortDigest(body),
				prompt: digest,
				idempotencyKey: header(incoming, 'idempotency-key'),
				ticket: header(incoming, 'x-ticket'),
			},
			onStart() {
				if (poison !== undefined) {
					void host.crash(poison.returnAfter);
				}
			},
		},
	};
}

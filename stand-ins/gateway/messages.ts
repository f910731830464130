/** Settings of an engine in a process of its own, and the messages that it sends to the process that started it. */
import {z} from 'zod';
import {engineSchema} from '../../src/gateway/peers/state.js';

export const settingsSchema = z.object({
	id: z.string(),
	service: z.string(),
	failureDomain: z.string(),
	slots: z.number(),
	model: engineSchema,
});

export type Settings = Readonly<z.infer<typeof settingsSchema>>;

const runSchema = z.object({
	request: z.string(),
	upstream: z.string(),
	method: z.string(),
	path: z.string(),
	headers: z.record(z.string(), z.union([z.string(), z.array(z.string())]).optional()),
	body: z.string(),
	/** Unix time in milliseconds: processes have monotonic clocks of their own. */
	at: z.number(),
});

export const messageSchema = z.discriminatedUnion('type', [
	/** It listens and can be registered. */
	z.object({type: z.literal('listening'), registration: z.record(z.string(), z.unknown())}),
	/** It has run a request. */
	z.object({type: z.literal('run'), run: runSchema}),
]);

export type Message = z.infer<typeof messageSchema>;

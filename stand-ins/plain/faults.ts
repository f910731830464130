/** Faults that tests switch on at a plain service. */
import {z} from 'zod';
import {millisecondsSchema} from '../common/settings.js';

const count = z.number().int().positive().default(1);

/** Times are real milliseconds. */
export const faultSchema = z.discriminatedUnion('type', [
	/** Answers an error before executing. */
	z.object({type: z.literal('refuse'), status: z.number().int().min(400).max(599).default(503), count}),
	/** Executes and then answers an error. */
	z.object({type: z.literal('fail-after'), status: z.number().int().min(400).max(599).default(500), count}),
	/** Executes and then drops the connection without an answer. */
	z.object({type: z.literal('drop-after'), count}),
	/** Drops the connection before executing. */
	z.object({type: z.literal('drop-before'), count}),
	/** Executes and answers nothing until healed. */
	z.object({type: z.literal('hang')}),
	/** Executes and answers later. */
	z.object({type: z.literal('late'), delay: millisecondsSchema}),
	/** Drops every connection; comes back on the same port, or never. */
	z.object({type: z.literal('crash'), returnAfter: millisecondsSchema.optional()}),
	z.object({type: z.literal('restart')}),
	/** Crashes when it executes a body with the marker. */
	z.object({type: z.literal('poison'), marker: z.string().min(1), returnAfter: millisecondsSchema.default(500)}),
	/** Ends every fault but a crash. */
	z.object({type: z.literal('heal')}),
]);

export type Fault = z.infer<typeof faultSchema>;

/** What happens to one call. */
export type CallFault = Extract<Fault, {count: number}>;

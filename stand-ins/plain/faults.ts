/** Faults that tests inject into a plain service. */
import {z} from 'zod';
import {millisecondsSchema} from '../common/settings.js';

const count = z.number().int().positive().default(1);

/** Durations are real milliseconds. */
export const faultSchema = z.discriminatedUnion('type', [
	/** Sends an error without executing. */
	z.object({type: z.literal('refuse'), status: z.number().int().min(400).max(599).default(503), count}),
	/** Executes, then sends an error. */
	z.object({type: z.literal('fail-after'), status: z.number().int().min(400).max(599).default(500), count}),
	/** Executes, then closes the connection without a response. */
	z.object({type: z.literal('drop-after'), count}),
	/** Closes the connection without executing. */
	z.object({type: z.literal('drop-before'), count}),
	/** Executes, but sends no response until healed. */
	z.object({type: z.literal('hang')}),
	/** Executes, then delays the response. */
	z.object({type: z.literal('late'), delay: millisecondsSchema}),
	/** Closes every connection; listens again on the same port after `returnAfter`, if given. */
	z.object({type: z.literal('crash'), returnAfter: millisecondsSchema.optional()}),
	/** Restarts a crashed service at once. */
	z.object({type: z.literal('restart')}),
	/** Crashes when it executes a request whose body contains the marker. */
	z.object({type: z.literal('poison'), marker: z.string().min(1), returnAfter: millisecondsSchema.default(500)}),
	/** Ends every fault except a crash. */
	z.object({type: z.literal('heal')}),
]);

export type Fault = z.infer<typeof faultSchema>;

/** Fault that affects a limited number of calls. */
export type CallFault = Extract<Fault, {count: number}>;

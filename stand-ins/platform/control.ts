/** What tests tell the platform stand-in. */
import {z} from 'zod';
import {hostsSchema} from '../../src/configuration-service/protocol.js';
import {millisecondsSchema} from '../common/settings.js';

export const controlSchema = z.discriminatedUnion('type', [
	/** Publishes a document as it is, also one that is invalid or too large; the revision is only its header. */
	z.object({type: z.literal('publish'), text: z.string(), revision: z.number().int()}),
	/** Drops every connection until `up`. */
	z.object({type: z.literal('down')}),
	z.object({type: z.literal('up')}),
	/** Serves the document that was published this many publications ago. */
	z.object({type: z.literal('stale'), publications: z.number().int().positive().default(1)}),
	/** Serves the newest and the stale document in turn. */
	z.object({type: z.literal('alternate'), publications: z.number().int().positive().default(1)}),
	/** Serves the newest document again. */
	z.object({type: z.literal('fresh')}),
	/** The list of hosts as it will be seen after the lag. */
	z.object({type: z.literal('hosts'), hosts: hostsSchema.shape.hosts}),
	/** Lag of the host list in real milliseconds. */
	z.object({type: z.literal('host-lag'), lag: millisecondsSchema}),
]);

export type Control = z.infer<typeof controlSchema>;
export type ControlOf<Type extends Control['type']> = Extract<Control, {type: Type}>;

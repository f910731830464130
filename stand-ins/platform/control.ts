/** Control requests that tests send to the platform stand-in. */
import {z} from 'zod';
import {hostsSchema} from '../../src/configuration-service/protocol.js';
import {millisecondsSchema} from '../common/settings.js';

export const controlSchema = z.discriminatedUnion('type', [
	/** Publishes a document without checks, so it may be invalid or too large; the revision is sent only as a header. */
	z.object({type: z.literal('publish'), text: z.string(), revision: z.number().int()}),
	/** Drops every connection until `up`. */
	z.object({type: z.literal('down')}),
	z.object({type: z.literal('up')}),
	/** Serves the document from this many publications ago. */
	z.object({type: z.literal('stale'), publications: z.number().int().positive().default(1)}),
	/** Alternates between the newest and the stale document. */
	z.object({type: z.literal('alternate'), publications: z.number().int().positive().default(1)}),
	/** Serves the newest document again. */
	z.object({type: z.literal('fresh')}),
	/** Sets the host list; readers see it after the lag. */
	z.object({type: z.literal('hosts'), hosts: hostsSchema.shape.hosts}),
	/** Sets the lag of the host list, in real milliseconds. */
	z.object({type: z.literal('host-lag'), lag: millisecondsSchema}),
]);

export type Control = z.infer<typeof controlSchema>;
export type ControlOf<Type extends Control['type']> = Extract<Control, {type: Type}>;

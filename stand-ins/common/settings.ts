/** Settings that several stand-ins share. */
import {z} from 'zod';

/** Where to listen; port 0 takes a free one. */
export const listenSchema = z.object({
	host: z.string().default('127.0.0.1'),
	port: z.number().int().min(0).max(65_535).default(0),
}).readonly();

export const addressSchema = z.object({
	host: z.string(),
	port: z.number().int().min(1).max(65_535),
}).readonly();

/** A millisecond count. */
export const millisecondsSchema = z.number().nonnegative();

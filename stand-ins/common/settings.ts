/** Setting schemas shared by several stand-ins. */
import {z} from 'zod';

/** Listening address; port 0 chooses a free port. */
export const listenSchema = z.object({
	host: z.string().default('127.0.0.1'),
	port: z.number().int().min(0).max(65_535).default(0),
}).readonly();

export const addressSchema = z.object({
	host: z.string(),
	port: z.number().int().min(1).max(65_535),
}).readonly();

/** A duration in milliseconds. */
export const millisecondsSchema = z.number().nonnegative();

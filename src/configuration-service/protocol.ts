/**
 * What the platform publishes. It can only be read; each call counts against one budget, a waiting watch as one.
 *
 * GET /v1/configuration                      the document as text, with its revision in the header {@link revisionHeader}
 * GET /v1/configuration?above=N&wait=MS      the same once its revision is above N; 204 when the wait is over
 * GET /v1/hosts                              {@link hostsSchema}, lagging
 */
import {z} from 'zod';

export const revisionHeader = 'x-revision';

const address = z.object({host: z.string(), port: z.number().int()}).readonly();

export const hostsSchema = z.object({
	hosts: z.array(z.object({
		id: z.string(),
		failureDomain: z.string(),
		/** Milliseconds since 1970; tells a replaced host from the one before. */
		started: z.number(),
		peerAddress: address,
		callerAddress: address,
		leaving: z.boolean(),
	})).readonly(),
});

export type Hosts = z.infer<typeof hostsSchema>;

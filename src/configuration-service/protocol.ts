/**
 * Read-only protocol of the platform. All calls share one budget; a long poll counts as one call.
 *
 * GET /v1/configuration                      document as text, with its revision in the header {@link revisionHeader}
 * GET /v1/configuration?above=N&wait=MS      the same once its revision is above N; 204 if the wait ends before
 * GET /v1/hosts                              {@link hostsSchema}, with a lag
 */
import {z} from 'zod';

export const revisionHeader = 'x-revision';

const address = z.object({host: z.string(), port: z.number().int()}).readonly();

export const hostsSchema = z.object({
	hosts: z.array(z.object({
		id: z.string(),
		failureDomain: z.string(),
		/** Start time in milliseconds since 1970; distinguishes a replaced host from its predecessor. */
		started: z.number(),
		peerAddress: address,
		callerAddress: address,
		leaving: z.boolean(),
	})).readonly(),
});

export type Hosts = z.infer<typeof hostsSchema>;

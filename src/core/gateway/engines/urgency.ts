/** Ranks of requests in the queue of an engine whose slots are all taken. */
import {type Prompt} from '../types.js';

/** Longest prompt, in tokens, that is ranked as urgent. */
const maxUrgentTokens = 16_000;

/** Shortest prompt, in tokens, that is ranked last. */
const minPatientTokens = 80_000;

/** Ranks in the queue; 0 is first. */
const urgencies = {
	begun: 1, urgent: 2, usual: 4, patient: 5,
} as const;

/** Rank of a request without a stated one. */
export const defaultUrgency: number = urgencies.patient;

/**
 * Ranks a request by the length of its prompt. An answer that has begun is ranked first: the work done for it is lost if the caller leaves.
 *
 * @param prompt - Size of the request.
 * @param hasBegun - Whether its caller has received part of the answer.
 * @returns Rank in the queue; 0 is first.
 */
export function urgencyOf({tokens}: Prompt, hasBegun: boolean): number {
	if (hasBegun) {
		return urgencies.begun;
	}

	if (tokens <= maxUrgentTokens) {
		return urgencies.urgent;
	}

	return tokens < minPatientTokens ? urgencies.usual : urgencies.patient;
}

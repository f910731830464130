/** Ranks of requests in the queue of an engine whose slots are all taken. */
import {toPriorityShift} from '../limits/priority.js';
import {type Prompt} from '../types.js';

/** Longest prompt, in tokens, that is ranked as urgent. */
const maxUrgentTokens = 16_000;

/** Shortest prompt, in tokens, that is ranked last. */
const minPatientTokens = 80_000;

/** Ranks in the queue; 0 is first. */
const urgencies = {
	begun: 1, urgent: 2, usual: 4, patient: 5,
} as const;

/** Last rank in the queue. */
const maxUrgency = 9;

/** Rank of a request without a stated one. */
export const defaultUrgency: number = urgencies.patient;

/**
 * Ranks a request by the length of its prompt, moved by the priority of its organisation. No other request is ranked ahead of an answer that
 * has begun, which is never moved back: the work done for it is lost if the caller leaves.
 *
 * @param prompt - Size of the request.
 * @param hasBegun - Whether its caller has received part of the answer.
 * @param organisationPriority - Priority of its organisation less that of its route; undefined if they don't differ.
 * @returns Rank in the queue; 0 is first.
 */
export function urgencyOf(prompt: Prompt, hasBegun: boolean, organisationPriority?: number): number {
	const shift = toPriorityShift(organisationPriority);
	return hasBegun
		? Math.max(urgencies.begun + Math.min(shift, 0), 0)
		: Math.min(Math.max(rankByLength(prompt) + shift, urgencies.begun), maxUrgency);
}

function rankByLength({tokens}: Prompt): number {
	if (tokens <= maxUrgentTokens) {
		return urgencies.urgent;
	}

	return tokens < minPatientTokens ? urgencies.usual : urgencies.patient;
}

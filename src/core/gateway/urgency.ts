/** In which order an engine whose places are taken takes those who wait. */
import {type Prompt} from './types.js';

/** Tokens up to which prompts go first, and from which on they go last. */
const maxUrgentTokens = 16_000;
const minPatientTokens = 80_000;

/** Ranks at an engine, 0 first. */
const urgencies = {
	begun: 1, urgent: 2, usual: 4, patient: 5,
} as const;

/** Rank of a request that says nothing of itself. */
export const usualUrgency: number = urgencies.patient;

/**
 * An answer that has begun goes first: what was done for it is lost if its caller leaves.
 *
 * @param prompt - Size of the request.
 * @param isBegun - Whether its caller has a part of the answer.
 * @returns Its rank, 0 first.
 */
export function urgencyOf({tokens}: Prompt, isBegun: boolean): number {
	if (isBegun) {
		return urgencies.begun;
	}

	if (tokens <= maxUrgentTokens) {
		return urgencies.urgent;
	}

	return tokens < minPatientTokens ? urgencies.usual : urgencies.patient;
}

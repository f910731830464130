/** In which order an engine whose places are taken takes those who wait. */
import {assertNever} from '../utils/common.js';
import {type Prompt} from './types.js';

/** Tokens up to which prompts go first, and from which on they go last. */
const urgentTokens = 16_000;
const patientTokens = 80_000;

/** Ranks at an engine, 0 first. */
const urgencies = {
	begun: 1, urgent: 2, usual: 4, patient: 5, late: 7,
} as const;

/** Rank of a request that says nothing of itself. */
export const usualUrgency: number = urgencies.patient;

/** How a request stands when it is sent. */
export type Standing
	/** Its first event is expected before it is due. */
	= | 'in time'
	/** Its first event is expected after that. */
		| 'late'
	/** Its caller has a part of the answer already. */
		| 'begun';

/**
 * Under more load than engines bear, whoever waits in the order of arrival is late, and so is everybody after. A request that
 * will be late anyway lets those pass that can still be in time, so that what engines can do is done in time. An answer that
 * has begun goes first: what was done for it is lost if its caller leaves.
 *
 * @param prompt - Size of the request.
 * @param standing - How it stands.
 * @returns Its rank, 0 first.
 */
export function urgencyOf({tokens}: Prompt, standing: Standing): number {
	switch (standing) {
		case 'begun': {
			return urgencies.begun;
		}

		case 'late': {
			return urgencies.late;
		}

		case 'in time': {
			return urgencyOfSize(tokens);
		}

		default: {
			return assertNever(standing);
		}
	}
}

function urgencyOfSize(tokens: number): number {
	if (tokens <= urgentTokens) {
		return urgencies.urgent;
	}

	return tokens < patientTokens ? urgencies.usual : urgencies.patient;
}

/** Decides whether a request may be retried after an attempt ended. */
import {type Attempt, type Ending, type Request} from '../../types/request.js';
import {type State} from '../../types/state.js';
import {assertNever} from '../../utils/common.js';
import {codes} from '../../errors.js';
import {findService, findUpstream} from '../configuration/queries.js';
import {estimateWork, estimatePrefillTime} from '../work/queries.js';

/** Attempts of one request, including the first. */
const maxAttempts = 3;

/** Failures that may not recur at another upstream. */
const retryableCodes: ReadonlySet<number> = new Set([codes.upstreamFailed, codes.streamCut, codes.frameMismatch]);

/**
 * @param state - Core state.
 * @param id - Service.
 * @returns Retries that the service has left; may be fractional.
 */
export function getBudget(state: State, id: string): number {
	return state.retries.budgets.get(id) ?? findService(state, id)?.retryBudget.burst ?? 0;
}

/** Returns whether the request can run again: it never ran, or it is idempotent and nothing of the answer was relayed. */
function isSafeToRepeat(request: Request, attempt: Attempt, ending: Ending): boolean {
	switch (ending.type) {
		case 'not-run': {
			return !ending.overload;
		}

		case 'unknown': {
			return request.proof.type === 'idempotent' && !ending.relayed && attempt.received === 0;
		}

		case 'failed': {
			return request.proof.type === 'idempotent' && attempt.received === 0 && retryableCodes.has(ending.code);
		}

		case 'done':
		case 'cancelled': {
			return false;
		}

		default: {
			return assertNever(ending);
		}
	}
}

function hasTime(state: State, request: Request, attempt: Attempt, now: number): boolean {
	const target = findUpstream(state, attempt.upstream);
	const minDuration = target === undefined ? 0 : estimatePrefillTime(state, target, estimateWork(state, request).prefill);
	return now + minDuration < request.deadline;
}

/**
 * @param state - Core state.
 * @param request - Request.
 * @param attempt - Attempt that ended.
 * @param ending - How it ended.
 * @param attempts - Attempts made so far.
 * @param now - Time in milliseconds.
 * @returns Whether the request may be sent again.
 */
export function canRetry(state: State, request: Request, attempt: Attempt, ending: Ending, attempts: number, now: number): boolean {
	return isSafeToRepeat(request, attempt, ending)
		&& attempts < maxAttempts
		&& getBudget(state, request.service) >= 1
		&& hasTime(state, request, attempt, now);
}

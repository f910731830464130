/** Headers and error bodies that describe the outcome of a request to its caller. */
import {
	assertNever,
	codes,
	nameOfCode,
	texts,
	type Outcome,
} from '../../core/index.js';
import {answerHeaders} from '../../protocol/callers.js';

export const outcomeHeader = answerHeaders.outcome;
export const codeHeader = answerHeaders.code;
export const requestHeader = answerHeaders.request;
export const ticketHeader = answerHeaders.ticket;

const millisecondsPerSecond = 1000;

/** JSON body of an error response that this host creates itself. */
export type ErrorBody = {
	readonly error: {
		readonly message: string;
		readonly type: string;
		readonly code: number;
		readonly request: string;
		readonly ticket?: string;
	};
};

/**
 * @returns The name of the outcome that callers see.
 */
export function getOutcomeName(outcome: Outcome): string {
	switch (outcome.type) {
		case 'done': {
			return 'done';
		}

		case 'failed': {
			return 'failed';
		}

		case 'not-run': {
			return 'not run';
		}

		case 'unknown': {
			return 'outcome unknown';
		}

		default: {
			return assertNever(outcome);
		}
	}
}

export function getResultCode(outcome: Outcome): number {
	return outcome.type === 'done' ? codes.done : outcome.code;
}

/**
 * @param request - Id of the request.
 * @param outcome - Outcome of the request.
 * @param ticket - Ticket for the caller to retry with, if one was issued.
 */
export function createErrorBody(request: string, outcome: Outcome, ticket?: string): ErrorBody {
	const code = getResultCode(outcome);
	const text = texts[nameOfCode(code)];
	const detail = outcome.type === 'done' || outcome.detail === undefined ? '' : ` ${outcome.detail}`;
	return {
		error: {
			message: `${text}${detail}`,
			type: getOutcomeName(outcome),
			code,
			request,
			...(ticket !== undefined && {ticket}),
		},
	};
}

/**
 * @param request - Id of the request.
 * @param outcome - Outcome of the request.
 * @param ticket - Ticket for the caller to retry with, if one was issued.
 */
export function createOutcomeHeaders(request: string, outcome: Outcome, ticket?: string): Readonly<Record<string, string>> {
	return {
		[requestHeader]: request,
		[outcomeHeader]: getOutcomeName(outcome),
		[codeHeader]: String(getResultCode(outcome)),
		...(ticket !== undefined && {[ticketHeader]: ticket}),
		...(outcome.type === 'not-run' && outcome.retryAfter !== undefined
			&& {'retry-after': String(Math.ceil(outcome.retryAfter / millisecondsPerSecond))}),
	};
}

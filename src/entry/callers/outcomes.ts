/** What callers are told about the end of a request. */
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

/** Body of an answer that is not the upstream's. */
export type Complaint = {
	readonly error: {
		readonly message: string;
		readonly type: string;
		readonly code: number;
		readonly request: string;
		readonly ticket?: string;
	};
};

/**
 * @param outcome - End of a request.
 * @returns Its name for callers.
 */
export function nameOf(outcome: Outcome): string {
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

/**
 * @param outcome - End of a request.
 * @returns Its result code.
 */
export function codeOf(outcome: Outcome): number {
	return outcome.type === 'done' ? codes.done : outcome.code;
}

/**
 * @param request - Request.
 * @param outcome - Its end.
 * @param ticket - Ticket for the caller to come back with, if one was issued.
 * @returns The body that says so.
 */
export function complaint(request: string, outcome: Outcome, ticket?: string): Complaint {
	const code = codeOf(outcome);
	const text = texts[nameOfCode(code)];
	const detail = outcome.type === 'done' || outcome.detail === undefined ? '' : ` ${outcome.detail}`;
	return {
		error: {
			message: `${text}${detail}`,
			type: nameOf(outcome),
			code,
			request,
			...(ticket !== undefined && {ticket}),
		},
	};
}

/**
 * @param request - Request.
 * @param outcome - Its end.
 * @param ticket - Ticket for the caller to come back with, if one was issued.
 * @returns Headers of the final answer.
 */
export function outcomeHeaders(request: string, outcome: Outcome, ticket?: string): Readonly<Record<string, string>> {
	return {
		[requestHeader]: request,
		[outcomeHeader]: nameOf(outcome),
		[codeHeader]: String(codeOf(outcome)),
		...(ticket !== undefined && {[ticketHeader]: ticket}),
		...(outcome.type === 'not-run' && outcome.retryAfter !== undefined
			&& {'retry-after': String(Math.ceil(outcome.retryAfter / millisecondsPerSecond))}),
	};
}

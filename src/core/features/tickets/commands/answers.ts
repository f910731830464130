/** Answers requests without running them. */
import {codes, type CodeName} from '../../../errors.js';
import {type Outcome, type Request, type Ticket} from '../../../types/request.js';
import {type StepContext, type State, type StepResult} from '../../../types/state.js';
import {ticketLifetimeMs} from '../types.js';

/** Retry delay that callers receive with a refusal. */
const retryAfterMs = 1000;

/**
 * Answers a request and logs it as refused.
 *
 * @param outcome - Outcome for the caller.
 * @param reason - Reason for the log.
 * @returns The unchanged state and the answer.
 */
export function answer(state: State, request: Request, outcome: Outcome, reason: string): StepResult {
	const code = outcome.type === 'done' ? codes.done : outcome.code;
	return {
		state,
		effects: [
			{
				type: 'log', decision: {
					type: 'refused', request: request.id, organisation: request.organisation, service: request.service, code, reason,
				},
			},
			{type: 'answer', request: request.id, outcome},
		],
	};
}

/**
 * @param request - Request that provably has not run and never will.
 * @param code - Result code.
 * @param reason - Reason for the log.
 * @returns The unchanged state and the answer.
 */
export function answerNotRun(state: State, request: Request, code: CodeName, reason: string): StepResult {
	return answer(state, request, {type: 'not-run', code: codes[code], retryAfter: retryAfterMs}, reason);
}

/**
 * @param request - Request that may have run.
 * @param code - Result code.
 * @param reason - Reason for the log.
 * @returns The unchanged state and the answer.
 */
export function answerUnknown(state: State, request: Request, code: CodeName, reason: string): StepResult {
	return answer(state, request, {type: 'unknown', code: codes[code]}, reason);
}

/** Creates a ticket with the next sequence number. Nothing else is stored about a ticket until it is used. */
function createTicket(state: State, organisation: string, {wall}: StepContext): {readonly state: State; readonly ticket: Ticket} {
	const {self, tickets} = state;
	return {
		state: {...state, tickets: {...tickets, nextSequence: tickets.nextSequence + 1}},
		ticket: {
			keeper: self.incarnation,
			failureDomain: self.failureDomain,
			address: self.callerAddress,
			sequence: tickets.nextSequence,
			organisation,
			expires: wall + ticketLifetimeMs,
		},
	};
}

/**
 * @param request - HTTP request that asked for a ticket.
 * @param organisation - Organisation that may use it.
 * @returns The next state, with the sequence number taken, and the ticket.
 */
export function issueTicket(state: State, request: string, organisation: string, context: StepContext): StepResult {
	const issued = createTicket(state, organisation, context);
	return {state: issued.state, effects: [{type: 'issue-ticket', request, ticket: issued.ticket}]};
}

/**
 * Answers a non-idempotent request that presented neither a ticket nor a usable key.
 *
 * @param request - The request, which has not run.
 * @returns The next state, with a sequence number taken, and the answer with a new ticket.
 */
export function requireTicket(state: State, request: Request, context: StepContext): StepResult {
	const issued = createTicket(state, request.organisation, context);
	const outcome: Outcome = {type: 'not-run', code: codes.ticketRequired};
	const refused = answer(issued.state, request, outcome, 'no ticket');
	return {
		state: refused.state,
		effects: refused.effects.map(each => each.type === 'answer' ? {...each, ticket: issued.ticket} : each),
	};
}

/**
 * Decides whether an arrived request may run at this host. Idempotent requests may; those with a ticket may only at the host that
 * issued it; the keys feature handles bare keys.
 */
import {type EventOf} from '../../types/event.js';
import {type Member, type PeerMessage} from '../../types/peer.js';
import {type Request, type Ticket} from '../../types/request.js';
import {
	type StepContext, type Feature, type State, type StepResult,
} from '../../types/state.js';
import {assertNever, chain, withoutEffects} from '../../utils/common.js';
import {
	answerNotRun, answerUnknown, issueTicket, requireTicket,
} from './commands/answers.js';
import {
	abandonForward, answerKeyForwardsUnknown, endForward, forwardToKeeper, handleSealAnswer, retryForwards,
} from './commands/forwards.js';
import {
	expireFollowers, recordOutcome, sweepEntries, useRight,
} from './commands/rights.js';
import {handleSealRequest} from './commands/seals.js';
import {getEntry, isSameIncarnation, ticketRight} from './queries.js';

function keeperOf(ticket: Ticket): Member {
	return {
		incarnation: ticket.keeper, failureDomain: ticket.failureDomain, peerAddress: ticket.address, callerAddress: ticket.address,
	};
}

function handleTicketArrival(state: State, request: Request, ticket: Ticket, {wall}: StepContext): StepResult {
	if (ticket.organisation !== request.organisation) {
		return answerNotRun(state, request, 'badTicket', 'another organisation\'s ticket');
	}

	const right = ticketRight(ticket.sequence);
	if (!isSameIncarnation(ticket.keeper, state.self.incarnation)) {
		return forwardToKeeper(state, request, right, keeperOf(ticket));
	}

	if (ticket.expires <= wall && getEntry(state, right) === undefined) {
		return answerUnknown(state, request, 'expiredTicket', 'too old to be remembered');
	}

	if (ticket.sequence < state.tickets.sequenceFloor && getEntry(state, right) === undefined) {
		return answerNotRun(state, request, 'sealed', 'sealed while the table of rights was full');
	}

	return useRight(state, {right, request, expires: ticket.expires});
}

function handleArrival(state: State, request: Request, context: StepContext): StepResult {
	switch (request.proof.type) {
		case 'idempotent': {
			return {state, effects: [{type: 'raise', event: {type: 'request-cleared', request}}]};
		}

		case 'none': {
			return requireTicket(state, request, context);
		}

		case 'ticket': {
			return handleTicketArrival(state, request, request.proof.ticket, context);
		}

		// Handled by the keys feature.
		case 'key': {
			return withoutEffects(state);
		}

		default: {
			return assertNever(request.proof);
		}
	}
}

function handleAbandonedRequest(state: State, {request}: EventOf<'request-abandoned'>): StepResult {
	const next = abandonForward(state, request);
	const followers = next.tickets.followers.delete(request);
	return withoutEffects({...next, tickets: {...next.tickets, followers}});
}

function handlePeerMessage(state: State, from: string, message: PeerMessage, context: StepContext): StepResult {
	switch (message.type) {
		case 'seal': {
			return handleSealRequest(state, from, message, context);
		}

		case 'sealed': {
			return handleSealAnswer(state, from, message.id, message.answer);
		}

		default: {
			return withoutEffects(state);
		}
	}
}

export const ticketsFeature: Feature = {
	name: 'tickets',
	handle(state, event, context) {
		switch (event.type) {
			case 'request-arrived': {
				return handleArrival(state, event.request, context);
			}

			case 'ticket-wanted': {
				return issueTicket(state, event.request, event.organisation, context);
			}

			case 'request-concluded': {
				return withoutEffects(recordOutcome(state, event.request, event.outcome));
			}

			case 'request-abandoned': {
				return handleAbandonedRequest(state, event);
			}

			case 'forward-ended': {
				return endForward(state, event.request, event.ending, context);
			}

			case 'woken': {
				return answerKeyForwardsUnknown(state);
			}

			case 'peer-message': {
				return handlePeerMessage(state, event.from, event.message, context);
			}

			case 'tick': {
				return chain(
					state,
					current => expireFollowers(current, context),
					current => retryForwards(current, context),
					current => sweepEntries(current, context),
				);
			}

			default: {
				return withoutEffects(state);
			}
		}
	},
};

/**
 * The gate that every arrived request passes: decides whether it may run here. Idempotent requests may; those with a
 * ticket only at the host that issued it; bare keys are the keys feature's.
 */
import {type EventOf} from '../../types/event.js';
import {type Member, type PeerMessage} from '../../types/peer.js';
import {type Request, type Ticket} from '../../types/request.js';
import {
	type Context, type Feature, type State, type Step,
} from '../../types/state.js';
import {assertNever, chain, only} from '../../utils/common.js';
import {
	answerNotRun, answerUnknown, issueTicket, requireTicket,
} from './commands/answers.js';
import {
	abandonForward, doubtForwards, endForward, forwardToKeeper, pressForwards, takeSealAnswer,
} from './commands/forwards.js';
import {
	expireFollowers, recordEnd, sweep, useRight,
} from './commands/rights.js';
import {takeSeal} from './commands/seals.js';
import {entry, isSame, ticketRight} from './queries.js';

function keeperOf(ticket: Ticket): Member {
	return {
		incarnation: ticket.keeper, failureDomain: ticket.failureDomain, peerAddress: ticket.address, callerAddress: ticket.address,
	};
}

function arriveWithTicket(state: State, request: Request, ticket: Ticket, {wall}: Context): Step {
	if (ticket.organisation !== request.organisation) {
		return answerNotRun(state, request, 'badTicket', 'another organisation\'s ticket');
	}

	const right = ticketRight(ticket.sequence);
	if (!isSame(ticket.keeper, state.self.incarnation)) {
		return forwardToKeeper(state, request, right, keeperOf(ticket));
	}

	if (ticket.expires <= wall && entry(state, right) === undefined) {
		return answerUnknown(state, request, 'expiredTicket', 'too old to be remembered');
	}

	if (ticket.sequence < state.tickets.floor && entry(state, right) === undefined) {
		return answerNotRun(state, request, 'sealed', 'sealed while the table of rights was full');
	}

	return useRight(state, {right, request, expires: ticket.expires});
}

function arrive(state: State, request: Request, context: Context): Step {
	switch (request.proof.type) {
		case 'idempotent': {
			return {state, effects: [{type: 'raise', event: {type: 'request-cleared', request}}]};
		}

		case 'none': {
			return requireTicket(state, request, context);
		}

		case 'ticket': {
			return arriveWithTicket(state, request, request.proof.ticket, context);
		}

		// The keys feature takes these.
		case 'key': {
			return only(state);
		}

		default: {
			return assertNever(request.proof);
		}
	}
}

function abandon(state: State, {request}: EventOf<'request-abandoned'>): Step {
	const left = abandonForward(state, request);
	const followers = left.tickets.followers.delete(request);
	return only({...left, tickets: {...left.tickets, followers}});
}

function hear(state: State, from: string, message: PeerMessage, context: Context): Step {
	switch (message.type) {
		case 'seal': {
			return takeSeal(state, from, message, context);
		}

		case 'sealed': {
			return takeSealAnswer(state, from, message.id, message.answer);
		}

		default: {
			return only(state);
		}
	}
}

export const ticketsFeature: Feature = {
	name: 'tickets',
	handle(state, event, context) {
		switch (event.type) {
			case 'request-arrived': {
				return arrive(state, event.request, context);
			}

			case 'ticket-wanted': {
				return issueTicket(state, event.request, event.organisation, context);
			}

			case 'request-concluded': {
				return only(recordEnd(state, event.request, event.outcome));
			}

			case 'request-abandoned': {
				return abandon(state, event);
			}

			case 'forward-ended': {
				return endForward(state, event.request, event.ending, context);
			}

			case 'woken': {
				return doubtForwards(state);
			}

			case 'peer-message': {
				return hear(state, event.from, event.message, context);
			}

			case 'tick': {
				return chain(
					state,
					current => expireFollowers(current, context),
					current => pressForwards(current, context),
					current => sweep(current, context),
				);
			}

			default: {
				return only(state);
			}
		}
	},
};

/** Decides who runs a request that shows a bare idempotency key. */
import {codes} from '../../errors.js';
import {type EventOf} from '../../types/event.js';
import {type KeyMessage, type Member, type PeerMessage} from '../../types/peer.js';
import {type Request} from '../../types/request.js';
import {
	type Context, type Feature, type State, type Step,
} from '../../types/state.js';
import {assertNever, chain, only} from '../../utils/common.js';
import {service} from '../configuration/queries.js';
import {isServing} from '../membership/queries.js';
import {
	answer, answerNotRun, answerUnknown, requireTicket,
} from '../tickets/commands/answers.js';
import {forwardToKeeper} from '../tickets/commands/forwards.js';
import {useRight} from '../tickets/commands/rights.js';
import {entry, keyRight} from '../tickets/queries.js';
import {
	answered, attend, end, introduce, meet, stepBack, update,
} from './commands/acquaintances.js';
import {
	beginClaim, hasRoom, joinClaim, pressClaims, takeAnswer, type ShownKey,
} from './commands/claims.js';
import {takeClaim} from './commands/promises.js';
import {
	canVouch, deliver, isLinked, mintedAt, others,
} from './queries.js';
import {
	callerAhead, clockError, keyLife, type Claim,
} from './types.js';

const sweepInterval = 5000;

/** A host that cannot claim passes the request to one that may be able to. */
function passOn(state: State, request: Request, right: string): Step {
	const to = others(state).find(each => each.met && isLinked(state, each.member.incarnation.host));
	return to === undefined
		? answerUnknown(state, request, 'outcomeUnknown', 'this host cannot tell whether the key ran')
		: forwardToKeeper(state, request, right, to.member);
}

function arriveKnown(state: State, request: Request, right: string, claim: Claim): Step {
	const {progress} = claim;
	switch (progress.type) {
		case 'claiming': {
			return joinClaim(state, right, request);
		}

		case 'kept': {
			return entry(state, right) === undefined
				? answerUnknown(state, request, 'outcomeUnknown', 'the key is too old to be remembered')
				: useRight(state, {right, request, expires: claim.minted + keyLife});
		}

		case 'yielded': {
			return forwardToKeeper(state, request, right, progress.to);
		}

		case 'doubtful': {
			return answerUnknown(state, request, 'outcomeUnknown', 'no host is sure that the key never ran');
		}

		default: {
			return assertNever(progress);
		}
	}
}

function arriveNew(state: State, shown: ShownKey, context: Context): Step {
	const {request, right, minted} = shown;
	const {wall} = context;
	if (minted <= wall - keyLife) {
		return answerUnknown(state, request, 'outcomeUnknown', 'the key is too old to be remembered');
	}

	if (minted > wall + callerAhead) {
		const isFar = minted > wall + callerAhead + clockError;
		return isFar
			? answer(state, request, {type: 'not-run', code: codes.badHeader, detail: 'The key\'s time is in the future.'}, 'key from the future')
			: answerUnknown(state, request, 'outcomeUnknown', 'key from the future');
	}

	if (!isServing(state) || !state.keys.joined) {
		return passOn(state, request, right);
	}

	if (!hasRoom(state)) {
		return canVouch(state, minted)
			? answerNotRun(state, request, 'overloaded', 'too many keys in use')
			: answerUnknown(state, request, 'outcomeUnknown', 'too many keys in use');
	}

	return beginClaim(state, shown, context);
}

function arrive(state: State, request: Request, key: string, context: Context): Step {
	const minted = mintedAt(key);
	const wanted = service(state, request.service);
	if (minted === undefined || wanted?.ticketRule === 'ticket') {
		return requireTicket(state, request, context);
	}

	const right = keyRight(request.organisation, key);
	const claim = state.keys.claims.get(right);
	return claim === undefined
		? arriveNew(state, {request, right, minted}, context)
		: arriveKnown(state, request, right, claim);
}

function hearJoined(state: State, message: Extract<KeyMessage, {readonly type: 'key-joined'}>): State {
	let next = answered(state, message.member);
	for (const member of message.members) {
		next = meet(next, member);
	}

	for (const incarnation of message.ended) {
		next = end(next, incarnation);
	}

	return next;
}

function hearKeys(state: State, from: string, message: KeyMessage, context: Context): Step {
	switch (message.type) {
		case 'key-join': {
			return introduce(state, message.member, message.digest);
		}

		case 'key-joined': {
			return only(hearJoined(state, message));
		}

		case 'key-claim': {
			return takeClaim(state, {right: message.id, minted: message.minted, claimant: message.claimant}, context);
		}

		case 'key-answer': {
			return takeAnswer(state, from, message);
		}

		default: {
			return assertNever(message);
		}
	}
}

function meetAll(state: State, members: readonly Member[]): State {
	let next = state;
	for (const member of members) {
		next = meet(next, member);
	}

	return next;
}

function hear(state: State, from: string, message: PeerMessage, context: Context): Step {
	switch (message.type) {
		case 'hello': {
			return only(meet(state, message.member));
		}

		case 'heartbeat': {
			return only(meetAll(state, message.members));
		}

		case 'relay': {
			return message.to === state.self.incarnation.host
				? {state, effects: [{type: 'raise', event: {type: 'peer-message', from: message.from, message: message.message}}]}
				: {state, effects: deliver(state, message)};
		}

		case 'key-join':
		case 'key-joined':
		case 'key-claim':
		case 'key-answer': {
			return hearKeys(state, from, message, context);
		}

		default: {
			return only(state);
		}
	}
}

function sweep(state: State, {now, wall}: Context): Step {
	if (now < state.keys.sweepAt) {
		return only(state);
	}

	const claims = state.keys.claims.filter(claim => claim.progress.type === 'claiming' || claim.minted + keyLife + clockError > wall);
	return only(update(state, {claims, sweepAt: now + sweepInterval}));
}

function list(state: State, event: EventOf<'hosts-listed'>): Step {
	return only(update(meetAll(state, event.members), {listed: true}));
}

export const keysFeature: Feature = {
	name: 'keys',
	handle(state, event, context) {
		switch (event.type) {
			case 'request-arrived': {
				const {request} = event;
				return request.proof.type === 'key' ? arrive(state, request, request.proof.key, context) : only(state);
			}

			case 'hosts-listed': {
				return list(state, event);
			}

			case 'peer-message': {
				return hear(state, event.from, event.message, context);
			}

			case 'woken': {
				return only(stepBack(state));
			}

			case 'tick': {
				return chain(
					state,
					current => attend(current, context),
					current => pressClaims(current, context),
					current => sweep(current, context),
				);
			}

			default: {
				return only(state);
			}
		}
	},
};

/** Decides which host runs a request that presents a bare idempotency key. */
import {codes} from '../../errors.js';
import {type EventOf} from '../../types/event.js';
import {type KeyMessage, type Member, type PeerMessage} from '../../types/peer.js';
import {type Request} from '../../types/request.js';
import {
	type StepContext, type Feature, type State, type StepResult,
} from '../../types/state.js';
import {assertNever, chain, withoutEffects} from '../../utils/common.js';
import {findService} from '../configuration/queries.js';
import {isServing} from '../membership/queries.js';
import {
	answer, answerNotRun, answerUnknown, requireTicket,
} from '../tickets/commands/answers.js';
import {forwardToKeeper} from '../tickets/commands/forwards.js';
import {useRight} from '../tickets/commands/rights.js';
import {getEntry, keyRight} from '../tickets/queries.js';
import {
	addKnownPeer, handleHandshake, markAnswered, markEnded, resetHandshakes, runHandshakes, updateKeys,
} from './commands/known-peers.js';
import {
	beginClaim, handleKeyAnswer, hasClaimRoom, retryClaims, waitForClaim, type PresentedKey,
} from './commands/claims.js';
import {handleClaim} from './commands/promises.js';
import {
	canConfirmNotRun, deliver, hasLink, listActivePeers, parseMintTime,
} from './queries.js';
import {
	keyLifetimeMs, maxCallerClockLeadMs, maxHostClockSkewMs, type Claim,
} from './types.js';

const sweepIntervalMs = 5000;

/** Forwards a request to a peer that may be able to claim the key, since this host can't. */
function forwardToPeer(state: State, request: Request, right: string): StepResult {
	const peer = listActivePeers(state).find(each => each.hasAnswered && hasLink(state, each.member.incarnation.host));
	return peer === undefined
		? answerUnknown(state, request, 'outcomeUnknown', 'this host cannot tell whether the key ran')
		: forwardToKeeper(state, request, right, peer.member);
}

function handleKnownKey(state: State, request: Request, right: string, claim: Claim): StepResult {
	const {progress} = claim;
	switch (progress.type) {
		case 'claiming': {
			return waitForClaim(state, right, request);
		}

		case 'kept': {
			return getEntry(state, right) === undefined
				? answerUnknown(state, request, 'outcomeUnknown', 'the key is too old to be remembered')
				: useRight(state, {right, request, expires: claim.minted + keyLifetimeMs});
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

function handleNewKey(state: State, presented: PresentedKey, context: StepContext): StepResult {
	const {request, right, minted} = presented;
	const {wall} = context;
	if (minted <= wall - keyLifetimeMs) {
		return answerUnknown(state, request, 'outcomeUnknown', 'the key is too old to be remembered');
	}

	if (minted > wall + maxCallerClockLeadMs) {
		const isCertainlyAhead = minted > wall + maxCallerClockLeadMs + maxHostClockSkewMs;
		return isCertainlyAhead
			? answer(state, request, {type: 'not-run', code: codes.badHeader, detail: 'The key\'s time is in the future.'}, 'key from the future')
			: answerUnknown(state, request, 'outcomeUnknown', 'key from the future');
	}

	if (!isServing(state) || !state.keys.isJoined) {
		return forwardToPeer(state, request, right);
	}

	if (!hasClaimRoom(state)) {
		return canConfirmNotRun(state, minted)
			? answerNotRun(state, request, 'overloaded', 'too many keys in use')
			: answerUnknown(state, request, 'outcomeUnknown', 'too many keys in use');
	}

	return beginClaim(state, presented, context);
}

function handleArrival(state: State, request: Request, key: string, context: StepContext): StepResult {
	const minted = parseMintTime(key);
	const requestedService = findService(state, request.service);
	if (minted === undefined || requestedService?.ticketRule === 'ticket') {
		return requireTicket(state, request, context);
	}

	const right = keyRight(request.organisation, key);
	const claim = state.keys.claims.get(right);
	return claim === undefined
		? handleNewKey(state, {request, right, minted}, context)
		: handleKnownKey(state, request, right, claim);
}

function handleKeyJoined(state: State, message: Extract<KeyMessage, {readonly type: 'key-joined'}>): State {
	let next = markAnswered(state, message.member);
	for (const member of message.members) {
		next = addKnownPeer(next, member);
	}

	for (const incarnation of message.ended) {
		next = markEnded(next, incarnation);
	}

	return next;
}

function handleKeyMessage(state: State, from: string, message: KeyMessage, context: StepContext): StepResult {
	switch (message.type) {
		case 'key-join': {
			return handleHandshake(state, message.member, message.digest);
		}

		case 'key-joined': {
			return withoutEffects(handleKeyJoined(state, message));
		}

		case 'key-claim': {
			return handleClaim(state, {right: message.id, minted: message.minted, claimant: message.claimant}, context);
		}

		case 'key-answer': {
			return handleKeyAnswer(state, from, message);
		}

		default: {
			return assertNever(message);
		}
	}
}

function addKnownPeers(state: State, members: readonly Member[]): State {
	let next = state;
	for (const member of members) {
		next = addKnownPeer(next, member);
	}

	return next;
}

function handlePeerMessage(state: State, from: string, message: PeerMessage, context: StepContext): StepResult {
	switch (message.type) {
		case 'hello': {
			return withoutEffects(addKnownPeer(state, message.member));
		}

		case 'heartbeat': {
			return withoutEffects(addKnownPeers(state, message.members));
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
			return handleKeyMessage(state, from, message, context);
		}

		default: {
			return withoutEffects(state);
		}
	}
}

function sweepClaims(state: State, {now, wall}: StepContext): StepResult {
	if (now < state.keys.sweepAt) {
		return withoutEffects(state);
	}

	const claims = state.keys.claims.filter(claim =>
		claim.progress.type === 'claiming' || claim.minted + keyLifetimeMs + maxHostClockSkewMs > wall);
	return withoutEffects(updateKeys(state, {claims, sweepAt: now + sweepIntervalMs}));
}

function handleHostList(state: State, event: EventOf<'hosts-listed'>): StepResult {
	return withoutEffects(updateKeys(addKnownPeers(state, event.members), {hasHostList: true}));
}

export const keysFeature: Feature = {
	name: 'keys',
	handle(state, event, context) {
		switch (event.type) {
			case 'request-arrived': {
				const {request} = event;
				return request.proof.type === 'key' ? handleArrival(state, request, request.proof.key, context) : withoutEffects(state);
			}

			case 'hosts-listed': {
				return handleHostList(state, event);
			}

			case 'peer-message': {
				return handlePeerMessage(state, event.from, event.message, context);
			}

			case 'woken': {
				return withoutEffects(resetHandshakes(state));
			}

			case 'tick': {
				return chain(
					state,
					current => runHandshakes(current, context),
					current => retryClaims(current, context),
					current => sweepClaims(current, context),
				);
			}

			default: {
				return withoutEffects(state);
			}
		}
	},
};

/** Promises: answers to hosts that claim a key. */
import {type KeyAnswer, type Member} from '../../../types/peer.js';
import {type StepContext, type State, type StepResult} from '../../../types/state.js';
import {assertNever, chain} from '../../../utils/common.js';
import {isSameIncarnation} from '../../tickets/queries.js';
import {canConfirmNotRun, sendToHost} from '../queries.js';
import {keyLifetimeMs, maxCallerClockLeadMs, type Claim} from '../types.js';
import {addKnownPeer} from './known-peers.js';
import {hasClaimRoom, yieldClaim} from './claims.js';

/** A claim as received from another host. */
export type IncomingClaim = {
	readonly right: string;
	readonly minted: number;
	readonly claimant: Member;
};

function sendReply(state: State, {right, claimant}: IncomingClaim, answer: KeyAnswer): StepResult {
	return {
		state,
		effects: sendToHost(state, claimant.incarnation.host, {
			type: 'key-answer', id: right, claimant: claimant.incarnation, answerer: state.self.incarnation, answer,
		}),
	};
}

function givePromise(state: State, incoming: IncomingClaim, claim: Claim): StepResult {
	const answer: KeyAnswer = {type: canConfirmNotRun(state, incoming.minted) ? 'yielded' : 'unsure'};
	return chain(
		state,
		current => yieldClaim(current, incoming.right, claim, incoming.claimant),
		current => sendReply(current, incoming, answer),
	);
}

function isOutdated(state: State, claimant: Member): boolean {
	const known = state.keys.knownPeers.get(claimant.incarnation.host);
	return known !== undefined && known.member.incarnation.started > claimant.incarnation.started;
}

/** A key that is too old may be forgotten already; one from the future means that a clock is wrong. */
function isOutsideTimeWindow(minted: number, wall: number): boolean {
	return minted <= wall - keyLifetimeMs || minted > wall + maxCallerClockLeadMs;
}

function handleClaimOfNewKey(state: State, incoming: IncomingClaim): StepResult {
	return hasClaimRoom(state)
		? givePromise(state, incoming, {minted: incoming.minted, progress: {type: 'doubtful'}})
		: sendReply(state, incoming, {type: 'refused'});
}

function handleClaimOfKnownKey(state: State, incoming: IncomingClaim, claim: Claim): StepResult {
	const {claimant} = incoming;
	const {progress} = claim;
	switch (progress.type) {
		case 'claiming': {
			// Of two hosts that claim a key at the same time, the one with the lower name wins.
			const isWinner = state.self.incarnation.host < claimant.incarnation.host;
			return isWinner ? sendReply(state, incoming, {type: 'kept', by: state.self}) : givePromise(state, incoming, claim);
		}

		case 'kept':
		case 'doubtful': {
			return sendReply(state, incoming, {type: 'kept', by: state.self});
		}

		case 'yielded': {
			const isRepeat = isSameIncarnation(progress.to.incarnation, claimant.incarnation);
			return isRepeat ? givePromise(state, incoming, claim) : sendReply(state, incoming, {type: 'kept', by: progress.to});
		}

		default: {
			return assertNever(progress);
		}
	}
}

/**
 * @param incoming - The claim.
 * @returns The next state, in which a promise is recorded before it is sent, and the answer.
 */
export function handleClaim(state: State, incoming: IncomingClaim, context: StepContext): StepResult {
	const next = addKnownPeer(state, incoming.claimant);
	const claim = next.keys.claims.get(incoming.right);
	if (isOutdated(next, incoming.claimant) || isOutsideTimeWindow(incoming.minted, context.wall)) {
		return sendReply(next, incoming, {type: 'refused'});
	}

	return claim === undefined ? handleClaimOfNewKey(next, incoming) : handleClaimOfKnownKey(next, incoming, claim);
}

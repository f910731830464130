/** Promises: what a host answers to another that claims a key. */
import {type KeyAnswer, type Member} from '../../../types/peer.js';
import {type Context, type State, type Step} from '../../../types/state.js';
import {assertNever, chain} from '../../../utils/common.js';
import {isSame} from '../../tickets/queries.js';
import {canVouch, tell} from '../queries.js';
import {callerAhead, keyLife, type Claim} from '../types.js';
import {meet} from './acquaintances.js';
import {hasRoom, yieldClaim} from './claims.js';

/** A claim as it arrives. */
export type Asked = {
	readonly right: string;
	readonly minted: number;
	readonly claimant: Member;
};

function reply(state: State, {right, claimant}: Asked, answer: KeyAnswer): Step {
	return {
		state,
		effects: tell(state, claimant.incarnation.host, {
			type: 'key-answer', id: right, claimant: claimant.incarnation, answer,
		}),
	};
}

function promise(state: State, asked: Asked, claim: Claim): Step {
	const answer: KeyAnswer = {type: canVouch(state, asked.minted) ? 'yielded' : 'unsure'};
	return chain(
		state,
		current => yieldClaim(current, asked.right, claim, asked.claimant),
		current => reply(current, asked, answer),
	);
}

function isOutdated(state: State, claimant: Member): boolean {
	const known = state.keys.acquaintances.get(claimant.incarnation.host);
	return known !== undefined && known.member.incarnation.started > claimant.incarnation.started;
}

/** Too old or from the future: nothing could be remembered, or another host's clock is wrong. */
function isOutOfTime(minted: number, wall: number): boolean {
	return minted <= wall - keyLife || minted > wall + callerAhead;
}

function takeFirst(state: State, asked: Asked): Step {
	return hasRoom(state)
		? promise(state, asked, {minted: asked.minted, progress: {type: 'doubtful'}})
		: reply(state, asked, {type: 'refused'});
}

function takeKnown(state: State, asked: Asked, claim: Claim): Step {
	const {claimant} = asked;
	const {progress} = claim;
	switch (progress.type) {
		case 'claiming': {
			// Of two that claim at once the one with the lower name goes on.
			const goesOn = state.self.incarnation.host < claimant.incarnation.host;
			return goesOn ? reply(state, asked, {type: 'kept', by: state.self}) : promise(state, asked, claim);
		}

		case 'kept':
		case 'doubtful': {
			return reply(state, asked, {type: 'kept', by: state.self});
		}

		case 'yielded': {
			const isRepeat = isSame(progress.to.incarnation, claimant.incarnation);
			return isRepeat ? promise(state, asked, claim) : reply(state, asked, {type: 'kept', by: progress.to});
		}

		default: {
			return assertNever(progress);
		}
	}
}

/**
 * @param state - Core state.
 * @param asked - The claim.
 * @param context - Time and random source.
 * @returns The next state, with the promise recorded before it is given, and the answer.
 */
export function takeClaim(state: State, asked: Asked, context: Context): Step {
	const met = meet(state, asked.claimant);
	const claim = met.keys.claims.get(asked.right);
	if (isOutdated(met, asked.claimant) || isOutOfTime(asked.minted, context.wall)) {
		return reply(met, asked, {type: 'refused'});
	}

	return claim === undefined ? takeFirst(met, asked) : takeKnown(met, asked, claim);
}

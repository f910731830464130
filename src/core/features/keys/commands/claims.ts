/** Claims: a host that wants to run a key asks everyone else for a promise never to run it. */
import {type KeyMessage, type Member} from '../../../types/peer.js';
import {type Request} from '../../../types/request.js';
import {type Context, type State, type Step} from '../../../types/state.js';
import {assertNever, chain, only} from '../../../utils/common.js';
import {isServing} from '../../membership/queries.js';
import {answerUnknown} from '../../tickets/commands/answers.js';
import {forwardToKeeper} from '../../tickets/commands/forwards.js';
import {sealRight, useRight} from '../../tickets/commands/rights.js';
import {isSame} from '../../tickets/queries.js';
import {canVouch, others, tell} from '../queries.js';
import {
	claimLimit, keyLife, waitingLimit, type Claim, type ClaimProgress,
} from '../types.js';
import {update} from './acquaintances.js';

const askInterval = 100;

/** Time a claim may take in milliseconds: long enough for a short pause of another host. */
const claimTime = 1000;

type AnswerMessage = Extract<KeyMessage, {readonly type: 'key-answer'}>;

/** A key as it arrives with a request. */
export type ShownKey = {
	readonly right: string;
	/** From the key, wall-clock time in milliseconds since 1970. */
	readonly minted: number;
	readonly request: Request;
};

type Claiming = Extract<ClaimProgress, {readonly type: 'claiming'}>;

/**
 * @param state - Core state.
 * @param right - Name of the key's right.
 * @param claim - What is known of it from now on.
 * @returns The next state.
 */
export function putClaim(state: State, right: string, claim: Claim): State {
	const rest = state.keys.claiming.filter(each => each !== right);
	return update(state, {
		claims: state.keys.claims.set(right, claim),
		claiming: claim.progress.type === 'claiming' ? [...rest, right] : rest,
	});
}

/**
 * @param state - Core state.
 * @returns Whether another claim or promise can be remembered.
 */
export function hasRoom(state: State): boolean {
	return state.keys.claims.size < claimLimit;
}

function ask(state: State, right: string, minted: number, hosts: readonly string[]): Step {
	return {
		state,
		effects: hosts.flatMap(host => tell(state, host, {
			type: 'key-claim', id: right, minted, claimant: state.self,
		})),
	};
}

function shareOut(state: State, waiting: readonly Request[], give: (state: State, request: Request) => Step): Step {
	return chain(state, ...waiting.map(request => (current: State) => give(current, request)));
}

/**
 * Gives up a claim in favour of another host, and passes on what waited for it.
 *
 * @param state - Core state.
 * @param right - Name of the key's right.
 * @param claim - The claim.
 * @param to - Host that keeps the key.
 * @returns The next state and the forwarding.
 */
export function yieldClaim(state: State, right: string, claim: Claim, to: Member): Step {
	const waiting = claim.progress.type === 'claiming' ? claim.progress.waiting : [];
	const yielded = putClaim(state, right, {...claim, progress: {type: 'yielded', to}});
	return shareOut(yielded, waiting, (current, request) => forwardToKeeper(current, request, right, to));
}

function doubt(state: State, right: string, claim: Claim, progress: Claiming): Step {
	const doubted = putClaim(state, right, {...claim, progress: {type: 'doubtful'}});
	return shareOut(doubted, progress.waiting, (current, request) =>
		answerUnknown(current, request, 'outcomeUnknown', 'no host is sure that the key never ran'));
}

/** Everybody has promised, or somebody's promise is missing: then the key is sealed, which needs nobody's promise. */
function settle(state: State, right: string, claim: Claim, progress: Claiming): Step {
	if (!progress.vouched || (progress.refused && progress.pending.length > 0)) {
		return doubt(state, right, claim, progress);
	}

	const expires = claim.minted + keyLife;
	const isOurs = progress.pending.length === 0 && isServing(state);
	const kept = putClaim(state, right, {...claim, progress: {type: 'kept'}});
	return shareOut(isOurs ? kept : sealRight(kept, right, expires), progress.waiting, (current, request) =>
		useRight(current, {right, request, expires}));
}

function advance(state: State, right: string, claim: Claim, progress: Claiming): Step {
	return progress.pending.length === 0
		? settle(state, right, claim, progress)
		: only(putClaim(state, right, {...claim, progress}));
}

/**
 * @param state - Core state.
 * @param shown - A key of which nothing is known here.
 * @param context - Time and random source.
 * @returns The next state and the questions; the request is cleared at once if there is nobody to ask.
 */
export function beginClaim(state: State, {right, minted, request}: ShownKey, {now}: Context): Step {
	const pending = others(state).map(each => each.member.incarnation.host);
	const progress: Claiming = {
		type: 'claiming',
		waiting: [request],
		pending,
		vouched: canVouch(state, minted),
		refused: false,
		askAt: now + askInterval,
		until: Math.min(now + claimTime, request.deadline),
	};
	return chain(
		state,
		current => advance(current, right, {minted, progress}, progress),
		current => ask(current, right, minted, pending),
	);
}

/**
 * @param state - Core state.
 * @param right - Name of the right of a key that this host is claiming.
 * @param request - Another request with the same key.
 * @returns The next state, with the request waiting.
 */
export function joinClaim(state: State, right: string, request: Request): Step {
	const claim = state.keys.claims.get(right);
	if (claim?.progress.type !== 'claiming') {
		return only(state);
	}

	const {progress} = claim;
	return progress.waiting.length >= waitingLimit
		? answerUnknown(state, request, 'outcomeUnknown', 'too many requests wait for the key')
		: only(putClaim(state, right, {...claim, progress: {...progress, waiting: [...progress.waiting, request]}}));
}

/**
 * A host that promised the key to a third one never runs it either; the third one then has to answer for itself. If it
 * is over, only it could have told what became of the key.
 */
function takeKept(state: State, from: string, right: string, by: Member): Step {
	const claim = state.keys.claims.get(right);
	if (claim?.progress.type !== 'claiming') {
		return only(state);
	}

	const {host} = by.incarnation;
	const third = others(state).find(each => isSame(each.member.incarnation, by.incarnation));
	if (host === from || third === undefined) {
		return yieldClaim(state, right, claim, by);
	}

	const {progress} = claim;
	return advance(state, right, claim, {...progress, pending: progress.pending.filter(each => each !== from)});
}

/**
 * @param state - Core state.
 * @param from - Host that answered.
 * @param message - Its answer.
 * @returns The next state, with the requests cleared, passed on or answered if that was the last one missing.
 */
export function takeAnswer(state: State, from: string, message: AnswerMessage): Step {
	const {id: right, claimant, answer} = message;
	const claim = state.keys.claims.get(right);
	if (claim?.progress.type !== 'claiming' || !isSame(claimant, state.self.incarnation)) {
		return only(state);
	}

	const {progress} = claim;
	switch (answer.type) {
		case 'yielded':
		case 'unsure': {
			const vouched = progress.vouched || answer.type === 'yielded';
			return advance(state, right, claim, {...progress, vouched, pending: progress.pending.filter(each => each !== from)});
		}

		case 'kept': {
			return takeKept(state, from, right, answer.by);
		}

		// Some host does not count this one among those it asks.
		case 'refused': {
			return only(putClaim(state, right, {...claim, progress: {...progress, refused: true}}));
		}

		default: {
			return assertNever(answer);
		}
	}
}

function press(state: State, right: string, {now}: Context): Step {
	const claim = state.keys.claims.get(right);
	if (claim?.progress.type !== 'claiming') {
		return only(state);
	}

	const {progress} = claim;
	const wanted = new Set(others(state).map(each => each.member.incarnation.host));
	const pending = progress.pending.filter(each => wanted.has(each));
	if (progress.until <= now || pending.length === 0) {
		return settle(state, right, claim, {...progress, pending});
	}

	return progress.askAt > now
		? only(state)
		: chain(
			putClaim(state, right, {...claim, progress: {...progress, pending, askAt: now + askInterval}}),
			current => ask(current, right, claim.minted, pending),
		);
}

/**
 * Asks again for promises that are missing, and gives up on what took too long.
 *
 * @param state - Core state.
 * @param context - Time and random source.
 * @returns The next state and the effects.
 */
export function pressClaims(state: State, context: Context): Step {
	return chain(state, ...state.keys.claiming.map(right => (current: State) => press(current, right, context)));
}

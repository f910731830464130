/** Claims: a host that wants to run a key asks everyone else for a promise never to run it. */
import {type KeyMessage, type Member} from '../../../types/peer.js';
import {type Request} from '../../../types/request.js';
import {type Context, type State, type Step} from '../../../types/state.js';
import {assertNever, chain, only} from '../../../utils/common.js';
import {isServing} from '../../membership/queries.js';
import {answerUnknown} from '../../tickets/commands/answers.js';
import {forwardToKeeper} from '../../tickets/commands/forwards.js';
import {sealRight, useRight} from '../../tickets/commands/rights.js';
import {isSameIncarnation} from '../../tickets/queries.js';
import {canConfirmNotRun, listActivePeers, sendToHost} from '../queries.js';
import {
	claimLimit, keyLifetimeMs, waitingPerClaimLimit, type Claim, type ClaimProgress,
} from '../types.js';
import {updateKeys} from './known-peers.js';

const retryIntervalMs = 100;

/** Time a claim may take in milliseconds: long enough for a short pause of another host. */
const claimTimeoutMs = 1000;

type AnswerMessage = Extract<KeyMessage, {readonly type: 'key-answer'}>;

/** A key as it arrives with a request. */
export type PresentedKey = {
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
	return updateKeys(state, {
		claims: state.keys.claims.set(right, claim),
		claiming: claim.progress.type === 'claiming' ? [...rest, right] : rest,
	});
}

/**
 * @param state - Core state.
 * @returns Whether another claim or promise can be remembered.
 */
export function hasClaimRoom(state: State): boolean {
	return state.keys.claims.size < claimLimit;
}

function sendClaim(state: State, right: string, minted: number, hosts: readonly string[]): Step {
	return {
		state,
		effects: hosts.flatMap(host => sendToHost(state, host, {
			type: 'key-claim', id: right, minted, claimant: state.self,
		})),
	};
}

function forEachWaiting(state: State, waiting: readonly Request[], handleRequest: (state: State, request: Request) => Step): Step {
	return chain(state, ...waiting.map(request => (current: State) => handleRequest(current, request)));
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
	return forEachWaiting(yielded, waiting, (current, request) => forwardToKeeper(current, request, right, to));
}

function markDoubtful(state: State, right: string, claim: Claim, progress: Claiming): Step {
	const next = putClaim(state, right, {...claim, progress: {type: 'doubtful'}});
	return forEachWaiting(next, progress.waiting, (current, request) =>
		answerUnknown(current, request, 'outcomeUnknown', 'no host is sure that the key never ran'));
}

/** Everybody has promised, or somebody's promise is missing: then the key is sealed, which needs nobody's promise. */
function settleClaim(state: State, right: string, claim: Claim, progress: Claiming): Step {
	if (!progress.isNotRunConfirmed || (progress.refused && progress.pending.length > 0)) {
		return markDoubtful(state, right, claim, progress);
	}

	const expires = claim.minted + keyLifetimeMs;
	const canRun = progress.pending.length === 0 && isServing(state);
	const kept = putClaim(state, right, {...claim, progress: {type: 'kept'}});
	return forEachWaiting(canRun ? kept : sealRight(kept, right, expires), progress.waiting, (current, request) =>
		useRight(current, {right, request, expires}));
}

function advanceClaim(state: State, right: string, claim: Claim, progress: Claiming): Step {
	return progress.pending.length === 0
		? settleClaim(state, right, claim, progress)
		: only(putClaim(state, right, {...claim, progress}));
}

/**
 * @param state - Core state.
 * @param shown - A key of which nothing is known here.
 * @param context - Time and random source.
 * @returns The next state and the questions; the request is cleared at once if there is nobody to ask.
 */
export function beginClaim(state: State, {right, minted, request}: PresentedKey, {now}: Context): Step {
	const pending = listActivePeers(state).map(each => each.member.incarnation.host);
	const progress: Claiming = {
		type: 'claiming',
		waiting: [request],
		pending,
		isNotRunConfirmed: canConfirmNotRun(state, minted),
		refused: false,
		retryAt: now + retryIntervalMs,
		timeoutAt: Math.min(now + claimTimeoutMs, request.deadline),
	};
	return chain(
		state,
		current => advanceClaim(current, right, {minted, progress}, progress),
		current => sendClaim(current, right, minted, pending),
	);
}

/**
 * @param state - Core state.
 * @param right - Name of the right of a key that this host is claiming.
 * @param request - Another request with the same key.
 * @returns The next state, with the request waiting.
 */
export function waitForClaim(state: State, right: string, request: Request): Step {
	const claim = state.keys.claims.get(right);
	if (claim?.progress.type !== 'claiming') {
		return only(state);
	}

	const {progress} = claim;
	return progress.waiting.length >= waitingPerClaimLimit
		? answerUnknown(state, request, 'outcomeUnknown', 'too many requests wait for the key')
		: only(putClaim(state, right, {...claim, progress: {...progress, waiting: [...progress.waiting, request]}}));
}

/**
 * A host that promised the key to a third one never runs it either; the third one then has to answer for itself. If it
 * is over, only it could have told what became of the key.
 */
function handleKeptAnswer(state: State, from: string, right: string, keeper: Member): Step {
	const claim = state.keys.claims.get(right);
	if (claim?.progress.type !== 'claiming') {
		return only(state);
	}

	const {host} = keeper.incarnation;
	const otherKeeper = listActivePeers(state).find(each => isSameIncarnation(each.member.incarnation, keeper.incarnation));
	if (host === from || otherKeeper === undefined) {
		return yieldClaim(state, right, claim, keeper);
	}

	const {progress} = claim;
	return advanceClaim(state, right, claim, {...progress, pending: progress.pending.filter(each => each !== from)});
}

/**
 * @param state - Core state.
 * @param from - Host that answered.
 * @param message - Its answer.
 * @returns The next state, with the requests cleared, passed on or answered if that was the last one missing.
 */
export function handleKeyAnswer(state: State, from: string, message: AnswerMessage): Step {
	const {id: right, claimant, answer} = message;
	const claim = state.keys.claims.get(right);
	if (claim?.progress.type !== 'claiming' || !isSameIncarnation(claimant, state.self.incarnation)) {
		return only(state);
	}

	const {progress} = claim;
	switch (answer.type) {
		case 'yielded':
		case 'unsure': {
			const isNotRunConfirmed = progress.isNotRunConfirmed || answer.type === 'yielded';
			return advanceClaim(state, right, claim, {...progress, isNotRunConfirmed, pending: progress.pending.filter(each => each !== from)});
		}

		case 'kept': {
			return handleKeptAnswer(state, from, right, answer.by);
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

function retryClaim(state: State, right: string, {now}: Context): Step {
	const claim = state.keys.claims.get(right);
	if (claim?.progress.type !== 'claiming') {
		return only(state);
	}

	const {progress} = claim;
	const activeHosts = new Set(listActivePeers(state).map(each => each.member.incarnation.host));
	const pending = progress.pending.filter(each => activeHosts.has(each));
	if (progress.timeoutAt <= now || pending.length === 0) {
		return settleClaim(state, right, claim, {...progress, pending});
	}

	return progress.retryAt > now
		? only(state)
		: chain(
			putClaim(state, right, {...claim, progress: {...progress, pending, retryAt: now + retryIntervalMs}}),
			current => sendClaim(current, right, claim.minted, pending),
		);
}

/**
 * Asks again for promises that are missing, and gives up on what took too long.
 *
 * @param state - Core state.
 * @param context - Time and random source.
 * @returns The next state and the effects.
 */
export function retryClaims(state: State, context: Context): Step {
	return chain(state, ...state.keys.claiming.map(right => (current: State) => retryClaim(current, right, context)));
}

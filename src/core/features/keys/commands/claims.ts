/** Claims: before a host runs a key, it asks every other host to promise never to run it. */
import {type KeyMessage, type Member} from '../../../types/peer.js';
import {type Incarnation, type Request} from '../../../types/request.js';
import {type StepContext, type State, type StepResult} from '../../../types/state.js';
import {assertNever, chain, withoutEffects} from '../../../utils/common.js';
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

/** Long enough for a short pause of another host. */
const claimTimeoutMs = 1000;

type AnswerMessage = Extract<KeyMessage, {readonly type: 'key-answer'}>;

/** A key as presented with a request. */
export type PresentedKey = {
	readonly right: string;
	/** Taken from the key, in milliseconds of wall-clock time since 1970. */
	readonly minted: number;
	readonly request: Request;
};

type Claiming = Extract<ClaimProgress, {readonly type: 'claiming'}>;

/**
 * Stores a claim and keeps the list of open claims in step.
 *
 * @param right - Name of the key's right.
 * @returns The next state.
 */
export function putClaim(state: State, right: string, claim: Claim): State {
	const rest = state.keys.claiming.filter(each => each !== right);
	return updateKeys(state, {
		claims: state.keys.claims.set(right, claim),
		claiming: claim.progress.type === 'claiming' ? [...rest, right] : rest,
	});
}

/** @returns Whether another claim or promise can be stored. */
export function hasClaimRoom(state: State): boolean {
	return state.keys.claims.size < claimLimit;
}

function sendClaim(state: State, right: string, minted: number, hosts: readonly string[]): StepResult {
	return {
		state,
		effects: hosts.flatMap(host => sendToHost(state, host, {
			type: 'key-claim', id: right, minted, claimant: state.self,
		})),
	};
}

function forEachWaiting(state: State, waiting: readonly Request[], handleRequest: (state: State, request: Request) => StepResult): StepResult {
	return chain(state, ...waiting.map(request => (current: State) => handleRequest(current, request)));
}

/**
 * Gives up a claim in favour of another host, and forwards the requests that waited for it.
 *
 * @param right - Name of the key's right.
 * @param claim - The claim.
 * @param to - The key's keeper.
 * @returns The next state and the forwards.
 */
export function yieldClaim(state: State, right: string, claim: Claim, to: Member): StepResult {
	const waiting = claim.progress.type === 'claiming' ? claim.progress.waiting : [];
	const yielded = putClaim(state, right, {...claim, progress: {type: 'yielded', to}});
	return forEachWaiting(yielded, waiting, (current, request) => forwardToKeeper(current, request, right, to));
}

function markDoubtful(state: State, right: string, claim: Claim, progress: Claiming): StepResult {
	const next = putClaim(state, right, {...claim, progress: {type: 'doubtful'}});
	return forEachWaiting(next, progress.waiting, (current, request) =>
		answerUnknown(current, request, 'outcomeUnknown', 'no host is sure that the key never ran'));
}

/**
 * Returns whether each host that was named as the key's keeper has itself promised it to this host. One that has ended or started again
 * since can't: it may have told a caller that the key will never run.
 */
function havePromised({keepers, promised}: Claiming): boolean {
	return keepers.every(keeper => promised.some(each => isSameIncarnation(each, keeper)));
}

/**
 * Ends a claim. This host runs the key if every host has promised. If promises are missing, it seals the key, which needs no
 * promise. If a host refused to promise, or none confirmed that the key has never run, the outcome is unknown.
 */
function settleClaim(state: State, right: string, claim: Claim, progress: Claiming): StepResult {
	if (!progress.isNotRunConfirmed || (progress.refused && progress.pending.length > 0)) {
		return markDoubtful(state, right, claim, progress);
	}

	const expires = claim.minted + keyLifetimeMs;
	const canRun = progress.pending.length === 0 && havePromised(progress) && isServing(state);
	const kept = putClaim(state, right, {...claim, progress: {type: 'kept'}});
	return forEachWaiting(canRun ? kept : sealRight(kept, right, expires), progress.waiting, (current, request) =>
		useRight(current, {right, request, expires}));
}

function advanceClaim(state: State, right: string, claim: Claim, progress: Claiming): StepResult {
	return progress.pending.length === 0
		? settleClaim(state, right, claim, progress)
		: withoutEffects(putClaim(state, right, {...claim, progress}));
}

/**
 * @param key - A key that this host has no claim for.
 * @returns The next state and the claims sent; the request is cleared at once if there is no other host.
 */
export function beginClaim(state: State, {right, minted, request}: PresentedKey, {now}: StepContext): StepResult {
	const pending = listActivePeers(state).map(each => each.member.incarnation.host);
	const progress: Claiming = {
		type: 'claiming',
		waiting: [request],
		pending,
		promised: [],
		keepers: [],
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
 * @param right - Name of the right of a key that this host is claiming.
 * @param request - Another request with the same key.
 * @returns The next state, with the request waiting, or answered if too many wait already.
 */
export function waitForClaim(state: State, right: string, request: Request): StepResult {
	const claim = state.keys.claims.get(right);
	if (claim?.progress.type !== 'claiming') {
		return withoutEffects(state);
	}

	const {progress} = claim;
	return progress.waiting.length >= waitingPerClaimLimit
		? answerUnknown(state, request, 'outcomeUnknown', 'too many requests wait for the key')
		: withoutEffects(putClaim(state, right, {...claim, progress: {...progress, waiting: [...progress.waiting, request]}}));
}

function findAnswerer(state: State, from: string, message: AnswerMessage): Incarnation | undefined {
	return message.answerer ?? state.keys.knownPeers.get(from)?.member.incarnation;
}

function addPromise(progress: Claiming, from: string, answerer: Incarnation | undefined): Claiming {
	return {
		...progress,
		promised: answerer === undefined ? progress.promised : [...progress.promised, answerer],
		pending: progress.pending.filter(each => each !== from),
	};
}

/**
 * Handles the answer of a host that has promised the key to another one. The answering host never runs it either, so it counts
 * as promised, and the other host has to answer itself. If that host has ended, only it could have known the key's outcome.
 */
function handleKeptAnswer(state: State, from: string, message: AnswerMessage, keeper: Member): StepResult {
	const {id: right} = message;
	const claim = state.keys.claims.get(right);
	if (claim?.progress.type !== 'claiming') {
		return withoutEffects(state);
	}

	const {host} = keeper.incarnation;
	const otherKeeper = listActivePeers(state).find(each => isSameIncarnation(each.member.incarnation, keeper.incarnation));
	if (host === from || otherKeeper === undefined) {
		return yieldClaim(state, right, claim, keeper);
	}

	const progress = addPromise(claim.progress, from, findAnswerer(state, from, message));
	return advanceClaim(state, right, claim, {...progress, keepers: [...progress.keepers, keeper.incarnation]});
}

/**
 * @param from - Host that answered.
 * @param message - Its answer.
 * @returns The next state. If it was the last missing answer, the waiting requests are cleared, forwarded or answered.
 */
export function handleKeyAnswer(state: State, from: string, message: AnswerMessage): StepResult {
	const {id: right, claimant, answer} = message;
	const claim = state.keys.claims.get(right);
	if (claim?.progress.type !== 'claiming' || !isSameIncarnation(claimant, state.self.incarnation)) {
		return withoutEffects(state);
	}

	const {progress} = claim;
	switch (answer.type) {
		case 'yielded':
		case 'unsure': {
			const isNotRunConfirmed = progress.isNotRunConfirmed || answer.type === 'yielded';
			return advanceClaim(state, right, claim, {...addPromise(progress, from, findAnswerer(state, from, message)), isNotRunConfirmed});
		}

		case 'kept': {
			return handleKeptAnswer(state, from, message, answer.by);
		}

		// The answering host may not know this host as a peer, so it may run the key without asking.
		case 'refused': {
			return withoutEffects(putClaim(state, right, {...claim, progress: {...progress, refused: true}}));
		}

		default: {
			return assertNever(answer);
		}
	}
}

/** Answers the waiting requests whose deadline has passed; others that wait for the same claim may have more time. */
function answerOverdue(state: State, right: string, {now}: StepContext): StepResult {
	const claim = state.keys.claims.get(right);
	if (claim?.progress.type !== 'claiming') {
		return withoutEffects(state);
	}

	const {progress} = claim;
	const overdue = progress.waiting.filter(request => request.deadline <= now);
	if (overdue.length === 0) {
		return withoutEffects(state);
	}

	const next = putClaim(state, right, {...claim, progress: {...progress, waiting: progress.waiting.filter(request => request.deadline > now)}});
	return forEachWaiting(next, overdue, (current, request) => answerUnknown(current, request, 'outcomeUnknown', 'its time was over before all hosts had promised'));
}

function retryClaim(state: State, right: string, {now}: StepContext): StepResult {
	const claim = state.keys.claims.get(right);
	if (claim?.progress.type !== 'claiming') {
		return withoutEffects(state);
	}

	const {progress} = claim;
	const activeHosts = new Set(listActivePeers(state).map(each => each.member.incarnation.host));
	const pending = progress.pending.filter(each => activeHosts.has(each));
	if (progress.timeoutAt <= now || pending.length === 0) {
		return settleClaim(state, right, claim, {...progress, pending});
	}

	return progress.retryAt > now
		? withoutEffects(state)
		: chain(
			putClaim(state, right, {...claim, progress: {...progress, pending, retryAt: now + retryIntervalMs}}),
			current => sendClaim(current, right, claim.minted, pending),
		);
}

/**
 * Sends the claims again to hosts that have not answered, settles claims that timed out, and answers requests that can wait no longer.
 *
 * @returns The next state and the effects.
 */
export function retryClaims(state: State, context: StepContext): StepResult {
	return chain(state, ...state.keys.claiming.flatMap(right => [
		(current: State) => retryClaim(current, right, context),
		(current: State) => answerOverdue(current, right, context),
	]));
}

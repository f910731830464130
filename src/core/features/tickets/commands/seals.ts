/**
 * Seals rights at their keeper. The keeper marks an unused right so that it never runs; only then may the requesting host answer
 * "not run". This follows the write-ahead log in "P: verified log, part 4" (single producer guarantees), where log nodes are
 * sealed before a takeover.
 */
import {type Incarnation} from '../../../types/request.js';
import {type SealAnswer} from '../../../types/peer.js';
import {type StepContext, type State, type StepResult} from '../../../types/state.js';
import {chain} from '../../../utils/common.js';
import {sendToHost} from '../../keys/queries.js';
import {getEntry, isSameIncarnation, isTicketRight} from '../queries.js';
import {sealRight} from './rights.js';

/** Request to the keeper of a right to seal it. */
export type SealRequest = {
	readonly id: string;
	readonly right: string;
	/** Wall-clock time after which the right never runs, in milliseconds since 1970. */
	readonly expires: number;
	readonly keeper: Incarnation;
};

type SealResult = {
	readonly state: State;
	readonly answer: SealAnswer;
	/** Request that waits under the right and must not be sent any more. */
	readonly request?: string;
};

const usedAnswer: SealAnswer = {type: 'used'};
const sealedAnswer: SealAnswer = {type: 'sealed'};

/** A used right is stored until it expires. After that, a right without an entry may have been used. */
function canBeForgotten(right: string, expires: number, wall: number): boolean {
	return !isTicketRight(right) || expires <= wall;
}

function sealEntry(state: State, {right, expires}: SealRequest, {wall}: StepContext): SealResult {
	const existing = getEntry(state, right);
	if (existing === undefined && canBeForgotten(right, expires, wall)) {
		return {state, answer: usedAnswer};
	}

	const {progress} = existing ?? {progress: {type: 'open'} as const};
	if (progress.type === 'sealed' || (progress.type === 'ended' && progress.outcome.type === 'not-run')) {
		return {state, answer: sealedAnswer};
	}

	if (progress.type === 'open') {
		return {state: sealRight(state, right, expires), answer: sealedAnswer};
	}

	const isQueued = progress.type === 'running' && state.requests.admissions.get(progress.request)?.progress.type === 'queued';
	return isQueued
		? {state: sealRight(state, right, expires), answer: sealedAnswer, request: progress.request}
		: {state, answer: usedAnswer};
}

/**
 * @param from - Host that sent the request.
 * @param sealRequest - The right to seal, and the incarnation of this host that keeps it.
 * @returns The next state and the answer.
 */
export function handleSealRequest(
	state: State,
	from: string,
	sealRequest: SealRequest,
	context: StepContext,
): StepResult {
	const isKeeper = isSameIncarnation(sealRequest.keeper, state.self.incarnation);
	const result: SealResult = isKeeper ? sealEntry(state, sealRequest, context) : {state, answer: usedAnswer};
	const {request} = result;
	return chain(
		result.state,
		current => ({
			state: current,
			effects: request === undefined ? [] : [{type: 'raise', event: {type: 'request-sealed', request}}],
		}),
		current => ({
			state: current,
			effects: sendToHost(current, from, {type: 'sealed', id: sealRequest.id, answer: result.answer}),
		}),
	);
}

/**
 * Forwards requests whose right another host keeps, through the HTTP endpoint that callers use. If the keeper can't be reached
 * there, this host asks it over the peer link to seal the right; only the keeper's promise proves that the request has not run.
 */
import {codes} from '../../../errors.js';
import {type Member, type SealAnswer} from '../../../types/peer.js';
import {type Ending, type Outcome, type Request} from '../../../types/request.js';
import {type Effect} from '../../../types/effect.js';
import {type StepContext, type State, type StepResult} from '../../../types/state.js';
import {assertNever, chain, withoutEffects} from '../../../utils/common.js';
import {sendToHost} from '../../keys/queries.js';
import {type Forward} from '../types.js';
import {answerUnknown} from './answers.js';

/** Hosts that may forward one request, one after another. */
const maxHops = 3;
const maxAttempts = 2;

const sealRetryIntervalMs = 200;
const sealTimeoutMs = 1000;

function putForward(state: State, forward: Forward): State {
	return {...state, tickets: {...state.tickets, forwards: state.tickets.forwards.set(forward.request.id, forward)}};
}

function removeForward(state: State, request: string): State {
	return {...state, tickets: {...state.tickets, forwards: state.tickets.forwards.delete(request)}};
}

function finishForward(state: State, forward: Forward, outcome: Outcome): StepResult {
	return {
		state: removeForward(state, forward.request.id),
		effects: [
			{type: 'log', decision: {type: 'concluded', request: forward.request.id, outcome}},
			{type: 'answer', request: forward.request.id, outcome},
		],
	};
}

function finishUnreachable(state: State, forward: Forward): StepResult {
	return finishForward(state, forward, {type: 'unknown', code: codes.keeperUnreachable});
}

function sendForward(state: State, forward: Forward): StepResult {
	const {request, keeper} = forward;
	const to = keeper.incarnation.host;
	return {
		state: putForward(state, forward),
		effects: [
			{
				type: 'log', decision: {
					type: 'forwarded', request: request.id, to, reason: 'keeper of its right',
				},
			},
			{
				type: 'forward', request: request.id, address: keeper.callerAddress, host: to, deadline: request.deadline, reason: 'keeper',
			},
		],
	};
}

/**
 * @param right - Name of the request's right at the keeper.
 * @param keeper - The keeper. Another incarnation may have its address by now; that one rejects the request.
 * @returns The next state and the forward, or the answer if a newer incarnation has replaced the keeper.
 */
export function forwardToKeeper(state: State, request: Request, right: string, keeper: Member): StepResult {
	const {incarnation} = keeper;
	const isKeeperReplaced = incarnation.host === state.self.incarnation.host || isReplaced(state, keeper);
	if (isKeeperReplaced) {
		return answerUnknown(state, request, 'keeperGone', `${incarnation.host} was restarted`);
	}

	if ((request.hops ?? 0) >= maxHops) {
		return answerUnknown(state, request, 'keeperUnreachable', 'passed on too often');
	}

	return sendForward(state, {
		request, right, keeper, attempts: 1,
	});
}

function isReplaced(state: State, keeper: Member): boolean {
	const peer = state.membership.peers.get(keeper.incarnation.host);
	return peer !== undefined && peer.member.incarnation.started > keeper.incarnation.started;
}

function sendSealRequest(state: State, {request, right, keeper}: Forward): readonly Effect[] {
	const expires = request.proof.type === 'ticket' ? request.proof.ticket.expires : 0;
	return sendToHost(state, keeper.incarnation.host, {
		type: 'seal', id: request.id, right, expires, keeper: keeper.incarnation,
	});
}

function beginSeal(state: State, forward: Forward, {now}: StepContext): StepResult {
	if (isReplaced(state, forward.keeper)) {
		return finishForward(state, forward, {type: 'unknown', code: codes.keeperGone});
	}

	const timeoutAt = Math.min(now + sealTimeoutMs, forward.request.deadline);
	return {
		state: putForward(state, {...forward, seal: {retryAt: now + sealRetryIntervalMs, timeoutAt}}),
		effects: sendSealRequest(state, forward),
	};
}

/** An answer that the caller has begun to receive can't be replaced by another one. */
function isRelayed(ending: Ending): ending is Extract<Ending, {readonly type: 'unknown'}> {
	return ending.type === 'unknown' && ending.relayed;
}

/**
 * @param id - Request that was forwarded.
 * @param ending - `done` if the keeper sent a complete answer, whatever its outcome.
 * @returns The next state, with the request answered, or the seal request.
 */
export function endForward(state: State, id: string, ending: Ending, context: StepContext): StepResult {
	const forward = state.tickets.forwards.get(id);
	if (forward === undefined) {
		return withoutEffects(state);
	}

	// The caller has received the keeper's complete answer unchanged.
	if (ending.type === 'done') {
		return finishForward(state, forward, {type: 'done'});
	}

	// Without a complete answer nothing is known: the right may have been used before, through any host.
	return isRelayed(ending)
		? finishForward(state, forward, {type: 'unknown', code: ending.code, detail: ending.detail})
		: beginSeal(state, forward, context);
}

/**
 * @param from - Host that sent the answer.
 * @param id - Request whose right it was asked to seal.
 * @param sealAnswer - Its answer.
 * @returns The next state, with the request answered, or forwarded once more if its right was used.
 */
export function handleSealAnswer(state: State, from: string, id: string, sealAnswer: SealAnswer): StepResult {
	const forward = state.tickets.forwards.get(id);
	if (forward?.seal === undefined || forward.keeper.incarnation.host !== from) {
		return withoutEffects(state);
	}

	switch (sealAnswer.type) {
		case 'sealed': {
			return finishForward(state, forward, {type: 'not-run', code: codes.sealed});
		}

		case 'used': {
			const {seal: pendingSeal, ...rest} = forward;
			return forward.attempts < maxAttempts
				? sendForward(state, {...rest, attempts: forward.attempts + 1})
				: finishUnreachable(state, forward);
		}

		default: {
			return assertNever(sealAnswer);
		}
	}
}

function retryForward(state: State, forward: Forward, now: number): StepResult {
	if (forward.request.deadline <= now || (forward.seal !== undefined && forward.seal.timeoutAt <= now)) {
		return finishUnreachable(state, forward);
	}

	if (forward.seal === undefined || forward.seal.retryAt > now) {
		return withoutEffects(state);
	}

	return {
		state: putForward(state, {...forward, seal: {...forward.seal, retryAt: now + sealRetryIntervalMs}}),
		effects: sendSealRequest(state, forward),
	};
}

/**
 * Sends seal requests again and answers the requests whose deadline or seal timeout has passed.
 *
 * @returns The next state and the effects.
 */
export function retryForwards(state: State, {now}: StepContext): StepResult {
	const all = [...state.tickets.forwards.values()];
	return chain(state, ...all.map(forward => (current: State) => retryForward(current, forward, now)));
}

/**
 * Answers the forwarded requests with a key as unknown after this host was paused. A "not run" answer received before the pause
 * may have become false: after some result codes a key may be sent again, to any host, and may have run since.
 *
 * @returns The next state and the answers.
 */
export function answerKeyForwardsUnknown(state: State): StepResult {
	const keyForwards = [...state.tickets.forwards.values()].filter(({request}) => request.proof.type === 'key');
	return chain(state, ...keyForwards.map(forward => (current: State) => finishForward(current, forward, {
		type: 'unknown', code: codes.outcomeUnknown, detail: 'this host stood still while the keeper of the key was asked',
	})));
}

/**
 * @param request - Request whose caller has disconnected.
 * @returns The next state, without the forward.
 */
export function abandonForward(state: State, request: string): State {
	return state.tickets.forwards.has(request) ? removeForward(state, request) : state;
}

/**
 * Requests whose right another host keeps: passed on whole, through the same HTTP endpoint that callers use.
 * If the keeper cannot be reached there, it is asked over its peer link to seal the right; only its promise makes
 * a "not run" true.
 */
import {codes} from '../../../errors.js';
import {type Member, type SealAnswer} from '../../../types/peer.js';
import {type Ending, type Outcome, type Request} from '../../../types/request.js';
import {type Effect} from '../../../types/effect.js';
import {type Context, type State, type Step} from '../../../types/state.js';
import {assertNever, chain, only} from '../../../utils/common.js';
import {sendToHost} from '../../keys/queries.js';
import {type Forward} from '../types.js';
import {answerUnknown} from './answers.js';

/** Hosts that may pass one request on, one after another. */
const maxHops = 3;
const maxAttempts = 2;

/** Time between two asks for a seal, and for all of them, in milliseconds. */
const sealRetryIntervalMs = 200;
const sealTimeoutMs = 1000;

function putForward(state: State, forward: Forward): State {
	return {...state, tickets: {...state.tickets, forwards: state.tickets.forwards.set(forward.request.id, forward)}};
}

function removeForward(state: State, request: string): State {
	return {...state, tickets: {...state.tickets, forwards: state.tickets.forwards.delete(request)}};
}

function finishForward(state: State, forward: Forward, outcome: Outcome): Step {
	return {
		state: removeForward(state, forward.request.id),
		effects: [
			{type: 'log', decision: {type: 'concluded', request: forward.request.id, outcome}},
			{type: 'answer', request: forward.request.id, outcome},
		],
	};
}

function finishUnreachable(state: State, forward: Forward): Step {
	return finishForward(state, forward, {type: 'unknown', code: codes.keeperUnreachable});
}

function sendForward(state: State, forward: Forward): Step {
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
 * Passes a request on to the host that keeps its right.
 *
 * @param state - Core state.
 * @param request - Request that arrived here.
 * @param right - Name of its right at the keeper.
 * @param keeper - The keeper; its address may by now be another incarnation's, which then says so.
 * @returns The next state and the forwarding, or the answer if the keeper is gone.
 */
export function forwardToKeeper(state: State, request: Request, right: string, keeper: Member): Step {
	const {incarnation} = keeper;
	const isKeeperGone = incarnation.host === state.self.incarnation.host || isReplaced(state, keeper);
	if (isKeeperGone) {
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

function beginSeal(state: State, forward: Forward, {now}: Context): Step {
	if (isReplaced(state, forward.keeper)) {
		return finishForward(state, forward, {type: 'unknown', code: codes.keeperGone});
	}

	const timeoutAt = Math.min(now + sealTimeoutMs, forward.request.deadline);
	return {
		state: putForward(state, {...forward, seal: {retryAt: now + sealRetryIntervalMs, timeoutAt}}),
		effects: sendSealRequest(state, forward),
	};
}

/** An answer that began to reach the caller cannot be replaced by another one. */
function isRelayed(ending: Ending): ending is Extract<Ending, {readonly type: 'unknown'}> {
	return ending.type === 'unknown' && ending.relayed;
}

/**
 * @param state - Core state.
 * @param id - Request that was passed on.
 * @param ending - `done` if the keeper answered in full, whatever it said.
 * @param context - Time and random source.
 * @returns The next state and the answer, or the ask for a seal.
 */
export function endForward(state: State, id: string, ending: Ending, context: Context): Step {
	const forward = state.tickets.forwards.get(id);
	if (forward === undefined) {
		return only(state);
	}

	// Whatever the keeper answered in full went to the caller as it was.
	if (ending.type === 'done') {
		return finishForward(state, forward, {type: 'done'});
	}

	// Without that nothing is known: the right may have been used before, through any host.
	return isRelayed(ending)
		? finishForward(state, forward, {type: 'unknown', code: ending.code, detail: ending.detail})
		: beginSeal(state, forward, context);
}

/**
 * @param state - Core state.
 * @param from - Host that sent the answer.
 * @param id - Request whose right it was asked to seal.
 * @param sealAnswer - Its answer.
 * @returns The next state, with the request answered, or passed on once more if it was used.
 */
export function handleSealAnswer(state: State, from: string, id: string, sealAnswer: SealAnswer): Step {
	const forward = state.tickets.forwards.get(id);
	if (forward?.seal === undefined || forward.keeper.incarnation.host !== from) {
		return only(state);
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

function retryForward(state: State, forward: Forward, now: number): Step {
	if (forward.request.deadline <= now || (forward.seal !== undefined && forward.seal.timeoutAt <= now)) {
		return finishUnreachable(state, forward);
	}

	if (forward.seal === undefined || forward.seal.retryAt > now) {
		return only(state);
	}

	return {
		state: putForward(state, {...forward, seal: {...forward.seal, retryAt: now + sealRetryIntervalMs}}),
		effects: sendSealRequest(state, forward),
	};
}

/**
 * Asks again for seals and gives up on what took too long.
 *
 * @param state - Core state.
 * @param context - Time and random source.
 * @returns The next state and the effects.
 */
export function retryForwards(state: State, {now}: Context): Step {
	const all = [...state.tickets.forwards.values()];
	return chain(state, ...all.map(forward => (current: State) => retryForward(current, forward, now)));
}

/**
 * Answers requests with a key that were passed on before this host stood still. A "not run" that waited here meanwhile may
 * have become false: with some codes a key may be sent again, to any host, and may have run since.
 *
 * @param state - Core state.
 * @returns The next state and the answers.
 */
export function answerKeyForwardsUnknown(state: State): Step {
	const keyForwards = [...state.tickets.forwards.values()].filter(({request}) => request.proof.type === 'key');
	return chain(state, ...keyForwards.map(forward => (current: State) => finishForward(current, forward, {
		type: 'unknown', code: codes.outcomeUnknown, detail: 'this host stood still while the keeper of the key was asked',
	})));
}

/**
 * @param state - Core state.
 * @param request - Request whose caller has left.
 * @returns The state without it.
 */
export function abandonForward(state: State, request: string): State {
	return state.tickets.forwards.has(request) ? removeForward(state, request) : state;
}

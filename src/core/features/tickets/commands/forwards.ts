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
import {tell} from '../../keys/queries.js';
import {type Forward} from '../types.js';
import {answerUnknown} from './answers.js';

/** Hosts that may pass one request on, one after another. */
const mostHops = 3;
const mostTries = 2;

/** Time between two asks for a seal, and for all of them, in milliseconds. */
const sealInterval = 200;
const sealTime = 1000;

function put(state: State, forward: Forward): State {
	return {...state, tickets: {...state.tickets, forwards: state.tickets.forwards.set(forward.request.id, forward)}};
}

function drop(state: State, request: string): State {
	return {...state, tickets: {...state.tickets, forwards: state.tickets.forwards.delete(request)}};
}

function finish(state: State, forward: Forward, outcome: Outcome): Step {
	return {
		state: drop(state, forward.request.id),
		effects: [
			{type: 'log', decision: {type: 'concluded', request: forward.request.id, outcome}},
			{type: 'answer', request: forward.request.id, outcome},
		],
	};
}

function giveUp(state: State, forward: Forward): Step {
	return finish(state, forward, {type: 'unknown', code: codes.keeperUnreachable});
}

function send(state: State, forward: Forward): Step {
	const {request, keeper} = forward;
	const to = keeper.incarnation.host;
	return {
		state: put(state, forward),
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
	const successor = incarnation.host === state.self.incarnation.host || isReplaced(state, keeper);
	if (successor) {
		return answerUnknown(state, request, 'keeperGone', `${incarnation.host} was restarted`);
	}

	if ((request.hops ?? 0) >= mostHops) {
		return answerUnknown(state, request, 'keeperUnreachable', 'passed on too often');
	}

	return send(state, {
		request, right, keeper, tries: 1,
	});
}

function isReplaced(state: State, keeper: Member): boolean {
	const peer = state.membership.peers.get(keeper.incarnation.host);
	return peer !== undefined && peer.member.incarnation.started > keeper.incarnation.started;
}

function askSeal(state: State, {request, right, keeper}: Forward): readonly Effect[] {
	const expires = request.proof.type === 'ticket' ? request.proof.ticket.expires : 0;
	return tell(state, keeper.incarnation.host, {
		type: 'seal', id: request.id, right, expires, keeper: keeper.incarnation,
	});
}

function seal(state: State, forward: Forward, {now}: Context): Step {
	if (isReplaced(state, forward.keeper)) {
		return finish(state, forward, {type: 'unknown', code: codes.keeperGone});
	}

	const until = Math.min(now + sealTime, forward.request.deadline);
	return {
		state: put(state, {...forward, seal: {askAt: now + sealInterval, until}}),
		effects: askSeal(state, forward),
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
		return finish(state, forward, {type: 'done'});
	}

	// Without that nothing is known: the right may have been used before, through any host.
	return isRelayed(ending)
		? finish(state, forward, {type: 'unknown', code: ending.code, detail: ending.detail})
		: seal(state, forward, context);
}

/**
 * @param state - Core state.
 * @param from - Host that sent the answer.
 * @param id - Request whose right it was asked to seal.
 * @param sealAnswer - Its answer.
 * @returns The next state, with the request answered, or passed on once more if it was used.
 */
export function takeSealAnswer(state: State, from: string, id: string, sealAnswer: SealAnswer): Step {
	const forward = state.tickets.forwards.get(id);
	if (forward?.seal === undefined || forward.keeper.incarnation.host !== from) {
		return only(state);
	}

	switch (sealAnswer.type) {
		case 'sealed': {
			return finish(state, forward, {type: 'not-run', code: codes.sealed});
		}

		case 'used': {
			const {seal: asked, ...again} = forward;
			return forward.tries < mostTries
				? send(state, {...again, tries: forward.tries + 1})
				: giveUp(state, forward);
		}

		default: {
			return assertNever(sealAnswer);
		}
	}
}

function press(state: State, forward: Forward, now: number): Step {
	if (forward.request.deadline <= now || (forward.seal !== undefined && forward.seal.until <= now)) {
		return giveUp(state, forward);
	}

	if (forward.seal === undefined || forward.seal.askAt > now) {
		return only(state);
	}

	return {
		state: put(state, {...forward, seal: {...forward.seal, askAt: now + sealInterval}}),
		effects: askSeal(state, forward),
	};
}

/**
 * Asks again for seals and gives up on what took too long.
 *
 * @param state - Core state.
 * @param context - Time and random source.
 * @returns The next state and the effects.
 */
export function pressForwards(state: State, {now}: Context): Step {
	const all = [...state.tickets.forwards.values()];
	return chain(state, ...all.map(forward => (current: State) => press(current, forward, now)));
}

/**
 * Answers requests with a key that were passed on before this host stood still. A "not run" that waited here meanwhile may
 * have become false: with some codes a key may be sent again, to any host, and may have run since.
 *
 * @param state - Core state.
 * @returns The next state and the answers.
 */
export function doubtForwards(state: State): Step {
	const doubtful = [...state.tickets.forwards.values()].filter(({request}) => request.proof.type === 'key');
	return chain(state, ...doubtful.map(forward => (current: State) => finish(current, forward, {
		type: 'unknown', code: codes.outcomeUnknown, detail: 'this host stood still while the keeper of the key was asked',
	})));
}

/**
 * @param state - Core state.
 * @param request - Request whose caller has left.
 * @returns The state without it.
 */
export function abandonForward(state: State, request: string): State {
	return state.tickets.forwards.has(request) ? drop(state, request) : state;
}

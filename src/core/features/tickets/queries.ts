/** Reads which requests hold the right to run. */
import {type CodeName} from '../../errors.js';
import {type Incarnation, type Request} from '../../types/request.js';
import {type Context, type State} from '../../types/state.js';
import {assertNever} from '../../utils/common.js';
import {type RightEntry} from './types.js';

/**
 * @param a - An incarnation.
 * @param b - Another.
 * @returns Whether both are the same run of the same host.
 */
export function isSameIncarnation(a: Incarnation, b: Incarnation): boolean {
	return a.host === b.host && a.started === b.started;
}

/**
 * @param sequence - Sequence of a ticket that this host issued.
 * @returns Its name in the table of rights.
 */
export function ticketRight(sequence: number): string {
	return `t/${sequence}`;
}

/**
 * @param right - Name of a right.
 * @returns Whether a ticket gives it: one that has no entry at its keeper was not used.
 */
export function isTicketRight(right: string): boolean {
	return right.startsWith('t/');
}

/**
 * @param organisation - Organisation whose key it is.
 * @param key - Idempotency key.
 * @returns Its name in the table of rights.
 */
export function keyRight(organisation: string, key: string): string {
	return `k/${organisation}/${key}`;
}

/**
 * @param state - Core state.
 * @param right - Name of a right.
 * @returns What this host knows of it.
 */
export function getEntry(state: State, right: string): RightEntry | undefined {
	return state.tickets.entries.get(right);
}

/**
 * @param state - Core state.
 * @param request - Request that was answered.
 * @returns Whether its answer may be asked for again here; the effect `forget` ends that.
 */
export function keepsAnswer(state: State, request: Request): boolean {
	const {proof} = request;
	switch (proof.type) {
		case 'ticket': {
			return isEndedBy(state, ticketRight(proof.ticket.sequence), request);
		}

		case 'key': {
			return isEndedBy(state, keyRight(request.organisation, proof.key), request);
		}

		case 'idempotent':
		case 'none': {
			return false;
		}

		default: {
			return assertNever(proof);
		}
	}
}

function isEndedBy(state: State, right: string, {id}: Request): boolean {
	const progress = getEntry(state, right)?.progress;
	return progress?.type === 'ended' && progress.request === id;
}

/**
 * To be asked before every send, also before a retry and after a wait: a ticket may have expired, or the request may
 * have been sealed meanwhile, and a paused process must not act on what was true before.
 *
 * @param state - Core state.
 * @param request - Request about to be sent.
 * @param context - Time and random source.
 * @returns Why it must not be sent, as a code; undefined if it may.
 */
export function dispatchRefusal(state: State, request: Request, context: Context): CodeName | undefined {
	if (request.proof.type === 'idempotent') {
		return undefined;
	}

	const right = state.tickets.running.get(request.id);
	const existing = right === undefined ? undefined : getEntry(state, right);
	if (existing?.progress.type !== 'running' || existing.progress.request !== request.id) {
		return 'sealed';
	}

	return existing.expires <= context.wall ? 'expiredTicket' : undefined;
}

/**
 * @param state - Core state.
 * @param request - Request about to be sent.
 * @param context - Time and random source.
 * @returns Whether it may be sent now.
 */
export function mayDispatch(state: State, request: Request, context: Context): boolean {
	return dispatchRefusal(state, request, context) === undefined;
}

/**
 * A request that runs under a right goes on when its caller leaves: the caller may send it again and is then attached.
 *
 * @param request - Request.
 * @returns Whether it outlives its caller's connection once it was sent.
 */
export function outlivesCaller(request: Request): boolean {
	return request.proof.type === 'ticket' || request.proof.type === 'key';
}

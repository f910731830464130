/** Reads the rights of requests to run. */
import {type CodeName} from '../../errors.js';
import {type Incarnation, type Request} from '../../types/request.js';
import {type StepContext, type State} from '../../types/state.js';
import {assertNever} from '../../utils/common.js';
import {type RightEntry} from './types.js';

export function isSameIncarnation(a: Incarnation, b: Incarnation): boolean {
	return a.host === b.host && a.started === b.started;
}

/**
 * @param sequence - Sequence number of a ticket that this host issued.
 * @returns The name of its right.
 */
export function ticketRight(sequence: number): string {
	return `t/${sequence}`;
}

/** @returns Whether the right belongs to a ticket. Until it expires, such a right is unused if its keeper has no entry for it. */
export function isTicketRight(right: string): boolean {
	return right.startsWith('t/');
}

/**
 * @param organisation - Organisation that owns the key.
 * @param key - Idempotency key.
 * @returns The name of its right.
 */
export function keyRight(organisation: string, key: string): string {
	return `k/${organisation}/${key}`;
}

/** @returns The right's entry at this host, if there is one. */
export function getEntry(state: State, right: string): RightEntry | undefined {
	return state.tickets.entries.get(right);
}

/**
 * @param request - Request that was answered.
 * @returns Whether its answer may be requested again here, until the effect `forget`.
 */
export function isAnswerKept(state: State, request: Request): boolean {
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
 * Checks a request before every send, including retries and sends after a wait: its ticket may have expired or its right may
 * have been sealed meanwhile, and a paused process must not act on outdated state.
 *
 * @param request - Request about to be sent.
 * @returns The code of the reason why it must not be sent; undefined if it may.
 */
export function findDispatchRefusal(state: State, request: Request, context: StepContext): CodeName | undefined {
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

/** @returns Whether the request may be sent now. */
export function canDispatch(state: State, request: Request, context: StepContext): boolean {
	return findDispatchRefusal(state, request, context) === undefined;
}

/**
 * A request that runs under a right keeps running when its caller disconnects: if the caller sends it again, it is attached to the
 * running one.
 *
 * @returns Whether the request, once sent, continues without its caller.
 */
export function outlivesCaller(request: Request): boolean {
	return request.proof.type === 'ticket' || request.proof.type === 'key';
}

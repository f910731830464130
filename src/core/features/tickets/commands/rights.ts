/** The table of rights. Each right runs at most once; a request that presents it again gets the recorded outcome. */
import {codes} from '../../../errors.js';
import {type Outcome, type Request} from '../../../types/request.js';
import {type StepContext, type State, type StepResult} from '../../../types/state.js';
import {assertNever, withoutEffects} from '../../../utils/common.js';
import {getEntry} from '../queries.js';
import {
	entryLimit, followerLimit, type RightEntry, type RightProgress, type TicketsState,
} from '../types.js';
import {answer, answerNotRun, answerUnknown} from './answers.js';

const sweepIntervalMs = 5000;

/** Refusals for load. After them, a key may be sent again with the same right. */
const reopeningCodes: ReadonlySet<number> = new Set([
	codes.overloaded,
	codes.deadlineUnreachable,
	codes.organisationLimit,
	codes.leaving,
	codes.noUpstream,
	codes.notConfigured,
	codes.refusedByUpstream,
	codes.notConnected,
	codes.deadlineBeforeStart,
	codes.abandoned,
]);

/** A right as presented with a request. */
export type PresentedRight = {
	readonly right: string;
	readonly request: Request;
	/** Wall-clock time after which it never runs, in milliseconds since 1970. */
	readonly expires: number;
};

function updateTickets(state: State, part: Partial<TicketsState>): State {
	return {...state, tickets: {...state.tickets, ...part}};
}

function putEntry(state: State, right: string, value: RightEntry): State {
	return updateTickets(state, {entries: state.tickets.entries.set(right, value)});
}

function clearRequest(state: State, {right, request, expires}: PresentedRight): StepResult {
	const recorded = putEntry(state, right, {
		fingerprint: request.fingerprint, expires, progress: {type: 'running', request: request.id},
	});
	return {
		state: updateTickets(recorded, {running: recorded.tickets.running.set(request.id, right)}),
		effects: [{type: 'raise', event: {type: 'request-cleared', request}}],
	};
}

function attachFollower(state: State, {right, request}: PresentedRight, original: string): StepResult {
	if (state.tickets.followers.size >= followerLimit) {
		return answerUnknown(state, request, 'outcomeUnknown', 'too many requests wait for others');
	}

	return {
		state: updateTickets(state, {followers: state.tickets.followers.set(request.id, {right, deadline: request.deadline})}),
		effects: [{type: 'replay', request: request.id, original}],
	};
}

function replayOutcome(state: State, request: Request, original: string, outcome: Outcome): StepResult {
	return outcome.type === 'done'
		? {state, effects: [{type: 'replay', request: request.id, original}]}
		: answer(state, request, outcome, 'recorded end');
}

function clearUnused(state: State, presented: PresentedRight): StepResult {
	return state.tickets.entries.size < entryLimit
		? clearRequest(state, presented)
		: answerNotRun(raiseFloor(state), presented.request, 'overloaded', 'too many rights in use');
}

/**
 * Seals every unused ticket. When the table is full, no seal can be recorded, so a "not run" answer could not be kept without
 * this.
 */
function raiseFloor(state: State): State {
	return updateTickets(state, {sequenceFloor: state.tickets.nextSequence});
}

/**
 * Runs a request if its right is unused; otherwise attaches it to the running request or answers with the recorded outcome.
 *
 * @param presented - The right, which this host keeps and which has not expired.
 * @returns The next state, with the request cleared, attached or answered.
 */
export function useRight(state: State, presented: PresentedRight): StepResult {
	const existing = getEntry(state, presented.right);
	if (existing === undefined) {
		return clearUnused(state, presented);
	}

	const {request} = presented;
	if (existing.fingerprint !== '' && existing.fingerprint !== request.fingerprint) {
		return answerNotRun(state, request, 'keyReused', 'the right belongs to another request');
	}

	switch (existing.progress.type) {
		case 'running': {
			return attachFollower(state, presented, existing.progress.request);
		}

		case 'ended': {
			return replayOutcome(state, request, existing.progress.request, existing.progress.outcome);
		}

		case 'open': {
			return clearRequest(state, presented);
		}

		case 'sealed': {
			return answerNotRun(state, request, 'sealed', 'sealed before it ran');
		}

		default: {
			return assertNever(existing.progress);
		}
	}
}

/**
 * Marks an unused right so that it never runs.
 *
 * @param right - Name of the right.
 * @param expires - Wall-clock time after which it never runs anyway, in milliseconds since 1970.
 * @returns The next state.
 */
export function sealRight(state: State, right: string, expires: number): State {
	const existing = getEntry(state, right);
	const fingerprint = existing?.fingerprint ?? '';
	return existing !== undefined || state.tickets.entries.size < entryLimit
		? putEntry(state, right, {fingerprint, expires, progress: {type: 'sealed'}})
		: raiseFloor(state);
}

function progressAfter(request: Request, outcome: Outcome): RightProgress {
	const isReopened = request.proof.type === 'key' && outcome.type === 'not-run' && reopeningCodes.has(outcome.code);
	return isReopened ? {type: 'open'} : {type: 'ended', request: request.id, outcome};
}

/**
 * Records how a request that ran under a right ended.
 *
 * @param request - Request that was concluded.
 * @param outcome - Outcome that its caller received.
 * @returns The next state, without followers of the request.
 */
export function recordOutcome(state: State, request: Request, outcome: Outcome): State {
	const right = state.tickets.running.get(request.id);
	const existing = right === undefined ? undefined : getEntry(state, right);
	if (right === undefined || existing === undefined) {
		return state;
	}

	const cleared = updateTickets(state, {
		running: state.tickets.running.delete(request.id),
		followers: state.tickets.followers.filter(each => each.right !== right),
	});
	return existing.progress.type === 'running'
		? putEntry(cleared, right, {...existing, progress: progressAfter(request, outcome)})
		: cleared;
}

/**
 * Answers requests that have waited for another request past their own deadline.
 *
 * @returns The next state and the answers.
 */
export function expireFollowers(state: State, {now}: StepContext): StepResult {
	const expired = state.tickets.followers.filter(each => each.deadline <= now);
	if (expired.isEmpty()) {
		return withoutEffects(state);
	}

	const outcome: Outcome = {type: 'unknown', code: codes.outcomeUnknown, detail: 'The first sending still runs.'};
	return {
		state: updateTickets(state, {followers: state.tickets.followers.deleteAll(expired.keys())}),
		effects: [...expired.keys()].map(request => ({type: 'answer', request, outcome})),
	};
}

/**
 * Periodically removes expired rights whose requests have ended.
 *
 * @returns The next state and the recorded answers that can be forgotten.
 */
export function sweepEntries(state: State, {now, wall}: StepContext): StepResult {
	if (now < state.tickets.sweepAt) {
		return withoutEffects(state);
	}

	const expired = state.tickets.entries.filter(each => each.expires <= wall && each.progress.type !== 'running');
	const requests = [...expired.values()].flatMap(each => each.progress.type === 'ended' ? [each.progress.request] : []);
	return {
		state: updateTickets(state, {entries: state.tickets.entries.deleteAll(expired.keys()), sweepAt: now + sweepIntervalMs}),
		effects: requests.map(request => ({type: 'forget', request})),
	};
}

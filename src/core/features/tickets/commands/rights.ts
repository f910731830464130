/** The table of rights: each runs at most once, and what became of it is told to whoever shows it again. */
import {codes} from '../../../errors.js';
import {type Outcome, type Request} from '../../../types/request.js';
import {type Context, type State, type Step} from '../../../types/state.js';
import {assertNever, only} from '../../../utils/common.js';
import {entry} from '../queries.js';
import {
	entryLimit, followerLimit, type Entry, type Progress, type TicketsState,
} from '../types.js';
import {answer, answerNotRun, answerUnknown} from './answers.js';

const sweepInterval = 5000;

/** Refusals for load: the key may be sent again, and is the same right then. */
const openCodes: ReadonlySet<number> = new Set([
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

/** A right as it is shown with a request. */
export type Shown = {
	readonly right: string;
	readonly request: Request;
	/** Wall-clock time after which it never runs, in milliseconds since 1970. */
	readonly expires: number;
};

function update(state: State, part: Partial<TicketsState>): State {
	return {...state, tickets: {...state.tickets, ...part}};
}

function put(state: State, right: string, value: Entry): State {
	return update(state, {entries: state.tickets.entries.set(right, value)});
}

function run(state: State, {right, request, expires}: Shown): Step {
	const recorded = put(state, right, {
		fingerprint: request.fingerprint, expires, progress: {type: 'running', request: request.id},
	});
	return {
		state: update(recorded, {running: recorded.tickets.running.set(request.id, right)}),
		effects: [{type: 'raise', event: {type: 'request-cleared', request}}],
	};
}

function follow(state: State, {right, request}: Shown, original: string): Step {
	if (state.tickets.followers.size >= followerLimit) {
		return answerUnknown(state, request, 'outcomeUnknown', 'too many requests wait for others');
	}

	return {
		state: update(state, {followers: state.tickets.followers.set(request.id, {right, deadline: request.deadline})}),
		effects: [{type: 'replay', request: request.id, original}],
	};
}

function replay(state: State, request: Request, original: string, outcome: Outcome): Step {
	return outcome.type === 'done'
		? {state, effects: [{type: 'replay', request: request.id, original}]}
		: answer(state, request, outcome, 'recorded end');
}

function runFirst(state: State, shown: Shown): Step {
	return state.tickets.entries.size < entryLimit
		? run(state, shown)
		: answerNotRun(raiseFloor(state), shown.request, 'overloaded', 'too many rights in use');
}

/**
 * Seals every unused ticket at once: when no entry can be written, "not run" would else be a promise nobody keeps.
 */
function raiseFloor(state: State): State {
	return update(state, {floor: state.tickets.nextSequence});
}

/**
 * Runs a request under its right if that is unused; else tells what became of it.
 *
 * @param state - Core state.
 * @param shown - The right, which this host keeps and which has not expired.
 * @returns The next state, with the request cleared, attached or answered.
 */
export function useRight(state: State, shown: Shown): Step {
	const held = entry(state, shown.right);
	if (held === undefined) {
		return runFirst(state, shown);
	}

	const {request} = shown;
	if (held.fingerprint !== '' && held.fingerprint !== request.fingerprint) {
		return answerNotRun(state, request, 'keyReused', 'the right belongs to another request');
	}

	switch (held.progress.type) {
		case 'running': {
			return follow(state, shown, held.progress.request);
		}

		case 'ended': {
			return replay(state, request, held.progress.request, held.progress.outcome);
		}

		case 'open': {
			return run(state, shown);
		}

		case 'sealed': {
			return answerNotRun(state, request, 'sealed', 'sealed before it ran');
		}

		default: {
			return assertNever(held.progress);
		}
	}
}

/**
 * Marks an unused right as never to run.
 *
 * @param state - Core state.
 * @param right - Name of the right.
 * @param expires - Wall-clock time after which it never runs anyway, in milliseconds since 1970.
 * @returns The next state.
 */
export function sealRight(state: State, right: string, expires: number): State {
	const held = entry(state, right);
	const fingerprint = held?.fingerprint ?? '';
	return held !== undefined || state.tickets.entries.size < entryLimit
		? put(state, right, {fingerprint, expires, progress: {type: 'sealed'}})
		: raiseFloor(state);
}

function ended(request: Request, outcome: Outcome): Progress {
	const reopens = request.proof.type === 'key' && outcome.type === 'not-run' && openCodes.has(outcome.code);
	return reopens ? {type: 'open'} : {type: 'ended', request: request.id, outcome};
}

/**
 * Records how a request that ran under a right ended.
 *
 * @param state - Core state.
 * @param request - Request that was concluded.
 * @param outcome - What its caller was told.
 * @returns The next state, with nobody waiting for the request any longer.
 */
export function recordEnd(state: State, request: Request, outcome: Outcome): State {
	const right = state.tickets.running.get(request.id);
	const held = right === undefined ? undefined : entry(state, right);
	if (right === undefined || held === undefined) {
		return state;
	}

	const cleared = update(state, {
		running: state.tickets.running.delete(request.id),
		followers: state.tickets.followers.filter(each => each.right !== right),
	});
	return held.progress.type === 'running'
		? put(cleared, right, {...held, progress: ended(request, outcome)})
		: cleared;
}

/**
 * Answers those who waited for another request longer than their own time.
 *
 * @param state - Core state.
 * @param context - Time and random source.
 * @returns The next state and the answers.
 */
export function expireFollowers(state: State, {now}: Context): Step {
	const late = state.tickets.followers.filter(each => each.deadline <= now);
	if (late.isEmpty()) {
		return only(state);
	}

	const outcome: Outcome = {type: 'unknown', code: codes.outcomeUnknown, detail: 'The first sending still runs.'};
	return {
		state: update(state, {followers: state.tickets.followers.deleteAll(late.keys())}),
		effects: [...late.keys()].map(request => ({type: 'answer', request, outcome})),
	};
}

/**
 * Forgets rights that have expired and whose requests are over, now and then.
 *
 * @param state - Core state.
 * @param context - Time and random source.
 * @returns The next state and which recorded answers are wanted no longer.
 */
export function sweep(state: State, {now, wall}: Context): Step {
	if (now < state.tickets.sweepAt) {
		return only(state);
	}

	const over = state.tickets.entries.filter(each => each.expires <= wall && each.progress.type !== 'running');
	const requests = [...over.values()].flatMap(each => each.progress.type === 'ended' ? [each.progress.request] : []);
	return {
		state: update(state, {entries: state.tickets.entries.deleteAll(over.keys()), sweepAt: now + sweepInterval}),
		effects: requests.map(request => ({type: 'forget', request})),
	};
}

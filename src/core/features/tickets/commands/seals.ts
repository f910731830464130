/**
 * Sealing at the keeper: a right that was not used is marked never to run, and only then the asker may say "not run".
 * The idea of sealing the old before answering for it is that of the write-ahead log described in
 * "P: verified log, part 4" (single producer guarantees), where log nodes are sealed before a takeover.
 */
import {type Incarnation} from '../../../types/request.js';
import {type SealAnswer} from '../../../types/peer.js';
import {type Context, type State, type Step} from '../../../types/state.js';
import {chain} from '../../../utils/common.js';
import {tell} from '../../keys/queries.js';
import {entry, isSame, isTicketRight} from '../queries.js';
import {sealRight} from './rights.js';

/** What a host asks the keeper of a right. */
export type SealAsk = {
	readonly id: string;
	readonly right: string;
	/** Wall-clock time after which the right never runs, in milliseconds since 1970. */
	readonly expires: number;
	readonly keeper: Incarnation;
};

type Sealing = {
	readonly state: State;
	readonly answer: SealAnswer;
	/** A request that waits under the right and now must not be sent. */
	readonly request?: string;
};

const used: SealAnswer = {type: 'used'};
const sealed: SealAnswer = {type: 'sealed'};

/** A used right is remembered until it expires; one without an entry after that may have been used. */
function mayBeForgotten(right: string, expires: number, wall: number): boolean {
	return !isTicketRight(right) || expires <= wall;
}

function sealEntry(state: State, {right, expires}: SealAsk, {wall}: Context): Sealing {
	const held = entry(state, right);
	if (held === undefined && mayBeForgotten(right, expires, wall)) {
		return {state, answer: used};
	}

	const {progress} = held ?? {progress: {type: 'open'} as const};
	if (progress.type === 'sealed' || (progress.type === 'ended' && progress.outcome.type === 'not-run')) {
		return {state, answer: sealed};
	}

	if (progress.type === 'open') {
		return {state: sealRight(state, right, expires), answer: sealed};
	}

	const waits = progress.type === 'running' && state.requests.admissions.get(progress.request)?.progress.type === 'queued';
	return waits
		? {state: sealRight(state, right, expires), answer: sealed, request: progress.request}
		: {state, answer: used};
}

/**
 * @param state - Core state.
 * @param from - Host that asks.
 * @param ask - What it wants sealed, and at which incarnation of this host.
 * @param context - Time and random source.
 * @returns The next state and the answer.
 */
export function takeSeal(
	state: State,
	from: string,
	ask: SealAsk,
	context: Context,
): Step {
	const isKeeper = isSame(ask.keeper, state.self.incarnation);
	const sealing: Sealing = isKeeper ? sealEntry(state, ask, context) : {state, answer: used};
	const {request} = sealing;
	return chain(
		sealing.state,
		current => ({
			state: current,
			effects: request === undefined ? [] : [{type: 'raise', event: {type: 'request-sealed', request}}],
		}),
		current => ({
			state: current,
			effects: tell(current, from, {type: 'sealed', id: ask.id, answer: sealing.answer}),
		}),
	);
}

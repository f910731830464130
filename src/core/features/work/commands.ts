/** Learns speeds and answer lengths. */
import {type Attempt, type Request} from '../../types/request.js';
import {type State} from '../../types/state.js';
import {trim} from '../../utils/bounded.js';
import {include} from '../../utils/rates.js';
import {outputKey, type Speed, type WorkState} from './types.js';

/** Samples after which older ones fade. */
const memory = 40;
/** Services and organisations whose answer lengths are kept. */
const mostOutputs = 4096;
/** Upstreams whose speeds are kept. */
const mostSpeeds = 1024;
/** Less prefill than this says more of the network than of the engine, in tokens. */
const leastPrefill = 2048;
/** Fewer tokens than this say little of the time between two. */
const leastTokens = 8;

function change(state: State, part: Partial<WorkState>): State {
	return {...state, work: {...state.work, ...part}};
}

function lastUse(speed: Speed): number {
	return Math.max(speed.prefill?.at ?? 0, speed.interval?.at ?? 0, speed.duration?.at ?? 0);
}

function learnSpeed(state: State, upstream: string, part: (before: Speed) => Speed): State {
	const speeds = state.work.speeds.set(upstream, part(state.work.speeds.get(upstream) ?? {}));
	return change(state, {speeds: trim(speeds, mostSpeeds, lastUse)});
}

/**
 * Learns from the first frame. The work that was before the attempt counts as well, so the rate is the one that makes
 * predictions of the wait come true.
 *
 * @param state - Core state.
 * @param attempt - Attempt whose first frame came.
 * @param prefill - Tokens that were in fact worked on for it.
 * @param now - Time in milliseconds.
 * @returns The next state.
 */
export function learnPrefill(state: State, attempt: Attempt, prefill: number, now: number): State {
	const tokens = attempt.ahead + prefill;
	if (tokens < leastPrefill || attempt.parts !== undefined) {
		return state;
	}

	const sample = tokens * 1000 / Math.max(now - attempt.began, 1);
	return learnSpeed(state, attempt.upstream, before => ({...before, prefill: include(before.prefill, sample, now, memory)}));
}

/**
 * Learns from a whole answer.
 *
 * @param state - Core state.
 * @param request - Request that was answered.
 * @param attempt - Attempt that brought the answer.
 * @param tokens - Tokens of the answer.
 * @param now - Time in milliseconds.
 * @returns The next state.
 */
export function learnAnswer(state: State, request: Request, attempt: Attempt, tokens: number, now: number): State {
	if (attempt.firstFrame === undefined) {
		return learnSpeed(state, attempt.upstream, before =>
			({...before, duration: include(before.duration, now - attempt.began, now, memory)}));
	}

	const withOutput = learnOutput(state, request, tokens, now);
	if (tokens < leastTokens) {
		return withOutput;
	}

	const interval = (now - attempt.firstFrame) / (tokens - 1);
	return learnSpeed(withOutput, attempt.upstream, before =>
		({...before, interval: include(before.interval, interval, now, memory)}));
}

function learnOutput(state: State, request: Request, tokens: number, now: number): State {
	const keys = [outputKey(request.service), outputKey(request.service, request.organisation)];
	const outputs = state.work.outputs.withMutations(table => {
		for (const key of keys) {
			table.set(key, include(table.get(key), tokens, now, memory));
		}
	});
	return change(state, {outputs: trim(outputs, mostOutputs, mean => mean.at)});
}

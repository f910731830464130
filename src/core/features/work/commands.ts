/** Updates the measured speeds and answer lengths. */
import {type Attempt, type Request} from '../../types/request.js';
import {type State} from '../../types/state.js';
import {removeOldest} from '../../utils/bounded.js';
import {addSample} from '../../utils/rates.js';
import {createOutputKey, type Speed, type WorkState} from './types.js';

/** Number of samples after which older ones fade. */
const sampleWindow = 40;
/** Answer lengths that are kept, each of a service or of an organisation at a service. */
const maxOutputs = 4096;
const maxSpeeds = 1024;
/** With less prefill, the time measures the network more than the engine. */
const minPrefillTokens = 2048;
/** Shorter answers are too noisy a sample of the time between two tokens. */
const minAnswerTokens = 8;

function updateWork(state: State, part: Partial<WorkState>): State {
	return {...state, work: {...state.work, ...part}};
}

function getLastUse(speed: Speed): number {
	return Math.max(speed.prefill?.at ?? 0, speed.interval?.at ?? 0, speed.duration?.at ?? 0);
}

function updateSpeed(state: State, upstream: string, update: (before: Speed) => Speed): State {
	const speeds = state.work.speeds.set(upstream, update(state.work.speeds.get(upstream) ?? {}));
	return updateWork(state, {speeds: removeOldest(speeds, maxSpeeds, getLastUse)});
}

/**
 * Updates an upstream's prefill rate when the first frame arrives. The prefill queued before the attempt counts as well, so the
 * rate is the one with which predicted waits match the measured ones.
 *
 * @param state - Core state.
 * @param attempt - Attempt whose first frame arrived.
 * @param prefill - Tokens that the upstream actually processed for it.
 * @param now - Time in milliseconds.
 * @returns The next state.
 */
export function recordPrefill(state: State, attempt: Attempt, prefill: number, now: number): State {
	const tokens = attempt.prefillAhead + prefill;
	if (tokens < minPrefillTokens || attempt.prefillShares !== undefined) {
		return state;
	}

	const sample = tokens * 1000 / Math.max(now - attempt.began, 1);
	return updateSpeed(state, attempt.upstream, before => ({...before, prefill: addSample(before.prefill, sample, now, sampleWindow)}));
}

/**
 * Updates speeds and answer lengths from a complete answer.
 *
 * @param state - Core state.
 * @param request - Request that was answered.
 * @param attempt - Attempt that produced the answer.
 * @param tokens - Tokens of the answer.
 * @param now - Time in milliseconds.
 * @returns The next state.
 */
export function recordAnswer(state: State, request: Request, attempt: Attempt, tokens: number, now: number): State {
	if (attempt.firstFrame === undefined) {
		return updateSpeed(state, attempt.upstream, before =>
			({...before, duration: addSample(before.duration, now - attempt.began, now, sampleWindow)}));
	}

	const withOutput = recordOutput(state, request, tokens, now);
	if (tokens < minAnswerTokens) {
		return withOutput;
	}

	const interval = (now - attempt.firstFrame) / (tokens - 1);
	return updateSpeed(withOutput, attempt.upstream, before =>
		({...before, interval: addSample(before.interval, interval, now, sampleWindow)}));
}

function recordOutput(state: State, request: Request, tokens: number, now: number): State {
	const keys = [createOutputKey(request.service), createOutputKey(request.service, request.organisation)];
	const outputs = state.work.outputs.withMutations(table => {
		for (const key of keys) {
			table.set(key, addSample(table.get(key), tokens, now, sampleWindow));
		}
	});
	return updateWork(state, {outputs: removeOldest(outputs, maxOutputs, mean => mean.at)});
}

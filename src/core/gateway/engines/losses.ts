/** Estimates the expected loss of callers for a choice of engines, in requests of usual weight. */
import {type Policy} from '../placement/policy.js';
import {
	type Demand, type EngineModel, type GatewayUpstream, type Prompt,
} from '../types.js';
import {type PrefillTime} from './engine.js';
import {type Forecast, type Job} from './load.js';

/** Share of a request's weight that is lost if it is served late. A request that is not served loses all of it. */
export const lateLoss = 0.75;

/** Latency that the network and this host add to that of the engine, in milliseconds. */
export const overheadMs = 12;

/** Prediction error: a constant part in milliseconds, and a part relative to the predicted time. */
const predictionErrorMs = 15;
const relativePredictionError = 0.08;

/** Streams that allow pauses of at least this length, in milliseconds, leave room for the prefill of long prompts. */
const longPauseMs = 400;

/** Added probability of too long a pause above which rerouting a stream is considered. */
const disruptionThreshold = 0.5;

/** An engine that a request could be sent to. */
export type Candidate = {
	readonly upstream: GatewayUpstream;
	readonly forecast: Forecast;
	/** Loss that does not depend on the prefill at this engine. */
	readonly fixedLoss: number;
};

/**
 * @param model - Engine.
 * @param prompt - Size of a request.
 * @returns Weight of the request, which grows with its prompt: more people wait for a long document than for a question.
 */
export function computeWeight(model: EngineModel, prompt: Prompt): number {
	return 1 + (prompt.tokens / Math.max(model.usualPrompt, 1));
}

/** Returns the probability that an event expected after `time` comes later than `limit`; both in milliseconds from now. */
function estimateLateProbability(time: number, limit: number): number {
	const error = predictionErrorMs + (relativePredictionError * Math.max(time, 0));
	return 1 / (1 + Math.exp((limit - time) / error));
}

/** Returns the longest expected engine iteration, with the prefill of known jobs, in milliseconds. */
function estimatePrefillIteration(forecast: Forecast): number {
	let longest = 0;
	for (const job of forecast.prefilling) {
		longest = Math.max(longest, job.readPerPass);
	}

	return forecast.iteration + Math.min(longest / forecast.pace.prefill, forecast.backlog);
}

/**
 * @param candidate - Engine.
 * @param prefill - Additional prefill there.
 * @param now - Monotonic time in milliseconds.
 * @returns Loss of the jobs that the engine already decodes or prefills.
 */
export function estimateDisruptionLoss({forecast}: Candidate, prefill: PrefillTime, now: number): number {
	const current = estimatePrefillIteration(forecast);
	let loss = 0;
	for (const job of forecast.decoding) {
		if (job.pause !== undefined) {
			const added = estimateLateProbability(current + (prefill.perIteration / forecast.pace.prefill), job.pause) - estimateLateProbability(current, job.pause);
			loss += added * job.weight * lateLoss;
		}
	}

	for (const job of forecast.prefilling) {
		loss += estimateDelayLoss(job, prefill.total / forecast.pace.prefill, forecast.backlog, now);
	}

	return loss;
}

function estimateDelayLoss(job: Job, delay: number, expected: number, now: number): number {
	const limit = job.due - now - overheadMs;
	return (estimateLateProbability(expected + delay, limit) - estimateLateProbability(expected, limit)) * job.weight * lateLoss;
}

/**
 * @param candidate - Engine.
 * @param prefill - Prefill of a new prompt, at the configured speed.
 * @returns Milliseconds until the prefill is done.
 */
export function estimatePrefillEnd({forecast}: Candidate, prefill: PrefillTime): number {
	// The prompt joins after the running iteration, half of which remains on average; its first token comes at the end of its own.
	return forecast.slotWait + (forecast.iteration * 1.5) + forecast.backlog + (prefill.total / forecast.pace.prefill) + forecast.slowdown;
}

/** Returns the probability that a stream pauses for longer than its latency target allows. */
function estimatePauseProbability({forecast}: Candidate, {pause}: Demand): number {
	return pause === undefined ? 0 : estimateLateProbability(Math.max(estimatePrefillIteration(forecast), forecast.slowdown), pause);
}

/**
 * @param candidate - Engine that answers.
 * @param firstByte - Predicted milliseconds until the first byte.
 * @param demand - Request.
 * @param weight - Weight of the request.
 * @param now - Monotonic time in milliseconds.
 * @returns Loss of the request itself. A late first byte and too long a pause cost the same.
 */
export function estimateOwnLoss(candidate: Candidate, firstByte: number, demand: Demand, weight: number, now: number): number {
	const onTime = (1 - estimateLateProbability(firstByte + overheadMs, demand.due - now)) * (1 - estimatePauseProbability(candidate, demand));
	const unserved = estimateLateProbability(firstByte + overheadMs, demand.deadline - now);
	return weight * (((1 - onTime) * lateLoss) + (unserved * (1 - lateLoss)));
}

/**
 * @param candidate - Engine that would answer.
 * @param demand - Request.
 * @param policy - Placement policy.
 * @returns Loss of later requests: long prompts have one engine fewer without streams that need short pauses.
 */
export function estimateOpeningLoss({forecast}: Candidate, {pause}: Demand, {openingLoss}: Policy): number {
	const needsShortPauses = pause !== undefined && pause < longPauseMs;
	const hasShortPauseStream = forecast.decoding.some(job => job.pause !== undefined && job.pause < longPauseMs);
	return needsShortPauses && !hasShortPauseStream ? openingLoss : 0;
}

/**
 * Finds the streams at an engine that the prefill of a long prompt would delay for longer than their latency targets allow.
 *
 * @param forecast - Expected state of the engine.
 * @returns The jobs, and the expected loss of each if it stays.
 */
export function findDisruptedStreams(forecast: Forecast): ReadonlyArray<{readonly job: Job; readonly loss: number}> {
	const iteration = estimatePrefillIteration(forecast);
	const found: Array<{readonly job: Job; readonly loss: number}> = [];
	for (const job of forecast.decoding) {
		if (job.pause === undefined) {
			continue;
		}

		const probability = estimateLateProbability(iteration, job.pause) - estimateLateProbability(forecast.iteration, job.pause);
		if (probability > disruptionThreshold) {
			found.push({job, loss: probability * job.weight * lateLoss});
		}
	}

	return found;
}

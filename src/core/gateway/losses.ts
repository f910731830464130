/** What callers are expected to lose by a choice of engines, in requests of usual worth. */
import {type PrefillTime} from './engine.js';
import {type Forecast, type Job} from './load.js';
import {type Policy} from './policy.js';
import {
	type Demand, type EngineModel, type GatewayUpstream, type Prompt,
} from './types.js';

/** Share of a request's worth that is lost if it is served late; 1 if it isn't served. */
export const lateLoss = 0.75;

/** Milliseconds of network and of this host that a caller sees beside the engine. */
export const overheadMs = 12;

/** Milliseconds of prediction error, and its part that grows with the time predicted. */
const predictionErrorMs = 15;
const relativePredictionError = 0.08;

/** Pauses from this length on leave room for the reading of long prompts, in milliseconds. */
const longPauseMs = 400;

/** Chance of a pause from which on a stream is better off elsewhere. */
const interferenceThreshold = 0.5;

/** An engine that a request could go to. */
export type Candidate = {
	readonly upstream: GatewayUpstream;
	readonly forecast: Forecast;
	/** Loss that does not depend on how much is read there. */
	readonly fixedLoss: number;
};

/**
 * @param model - Engine.
 * @param prompt - Size of a request.
 * @returns What it is worth: a long document is waited for by more people than a question.
 */
export function weigh(model: EngineModel, prompt: Prompt): number {
	return 1 + (prompt.tokens / Math.max(model.usualPrompt, 1));
}

/** Chance that what is expected after `time` comes later than `limit`; both in milliseconds from now. */
function estimateLateProbability(time: number, limit: number): number {
	const error = predictionErrorMs + (relativePredictionError * Math.max(time, 0));
	return 1 / (1 + Math.exp((limit - time) / error));
}

/** Milliseconds of a pass that reads what is known to be read there. */
function estimatePrefillIteration(forecast: Forecast): number {
	let longest = 0;
	for (const job of forecast.readers) {
		longest = Math.max(longest, job.readPerPass);
	}

	return forecast.pass + Math.min(longest, forecast.backlog);
}

/**
 * @param option - Engine.
 * @param prefill - What it would read more.
 * @param now - Monotonic time in milliseconds.
 * @returns What those who are written or read there lose by it.
 */
export function estimateInterference({forecast}: Candidate, prefill: PrefillTime, now: number): number {
	const current = estimatePrefillIteration(forecast);
	let loss = 0;
	for (const job of forecast.decoding) {
		if (job.pause !== undefined) {
			const added = estimateLateProbability(current + prefill.perPass, job.pause) - estimateLateProbability(current, job.pause);
			loss += added * job.weight * lateLoss;
		}
	}

	for (const job of forecast.readers) {
		loss += estimateDelayLoss(job, prefill.total, forecast.backlog, now);
	}

	return loss;
}

function estimateDelayLoss(job: Job, delay: number, expected: number, now: number): number {
	const limit = job.due - now - overheadMs;
	return (estimateLateProbability(expected + delay, limit) - estimateLateProbability(expected, limit)) * job.weight * lateLoss;
}

/**
 * @param option - Engine.
 * @param prefill - Reading of a new prompt.
 * @returns Milliseconds until it has been read.
 */
export function estimatePrefillEnd({forecast}: Candidate, prefill: PrefillTime): number {
	// It joins at the end of the running pass and its first token comes at the end of its own.
	return forecast.slotWait + (forecast.pass * 1.5) + forecast.backlog + prefill.total;
}

/** Chance that a stream pauses for longer than its caller bears. */
function estimatePauseProbability({forecast}: Candidate, {pause}: Demand): number {
	return pause === undefined ? 0 : estimateLateProbability(estimatePrefillIteration(forecast), pause);
}

/**
 * @param candidate - Engine that answers.
 * @param firstByte - Milliseconds until its first byte.
 * @param demand - Request.
 * @param weight - What it is worth.
 * @param now - Monotonic time in milliseconds.
 * @returns What the request itself loses: late is late, by its first byte or by a pause.
 */
export function estimateOwnLoss(candidate: Candidate, firstByte: number, demand: Demand, weight: number, now: number): number {
	const onTime = (1 - estimateLateProbability(firstByte + overheadMs, demand.due - now)) * (1 - estimatePauseProbability(candidate, demand));
	const unserved = estimateLateProbability(firstByte + overheadMs, demand.deadline - now);
	return weight * (((1 - onTime) * lateLoss) + (unserved * (1 - lateLoss)));
}

/**
 * @param option - Engine that would write one more.
 * @param demand - Request.
 * @param policy - What counts.
 * @returns What it costs others later: long prompts find one engine fewer at which no stream needs short pauses.
 */
export function estimateOpeningLoss({forecast}: Candidate, {pause}: Demand, {openingLoss}: Policy): number {
	const needsShortPauses = pause !== undefined && pause < longPauseMs;
	const hasShortPauseStream = forecast.decoding.some(job => job.pause !== undefined && job.pause < longPauseMs);
	return needsShortPauses && !hasShortPauseStream ? openingLoss : 0;
}

/**
 * Streams at an engine that are about to pause for longer than their callers bear, as a long prompt will be read there.
 *
 * @param forecast - What the engine does next.
 * @returns The requests, and what each loses by staying.
 */
export function disturbed(forecast: Forecast): ReadonlyArray<{readonly job: Job; readonly loss: number}> {
	const iteration = estimatePrefillIteration(forecast);
	const found: Array<{readonly job: Job; readonly loss: number}> = [];
	for (const job of forecast.decoding) {
		if (job.pause === undefined) {
			continue;
		}

		const probability = estimateLateProbability(iteration, job.pause) - estimateLateProbability(forecast.pass, job.pause);
		if (probability > interferenceThreshold) {
			found.push({job, loss: probability * job.weight * lateLoss});
		}
	}

	return found;
}

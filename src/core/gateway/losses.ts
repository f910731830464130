/** What callers are expected to lose by a choice of engines, in requests of usual worth. */
import {type Reading} from './engine.js';
import {type Forecast, type Job} from './load.js';
import {type Policy} from './policy.js';
import {
	type Demand, type EngineModel, type GatewayUpstream, type Prompt,
} from './types.js';

/** Share of a request's worth that is lost if it is served late; 1 if it isn't served. */
export const lateLoss = 0.75;

/** Milliseconds of network and of this host that a caller sees beside the engine. */
export const overhead = 12;

/** Milliseconds of prediction error, and its part that grows with the time predicted. */
const spread = 15;
const relativeSpread = 0.08;

/** Pauses from this length on leave room for the reading of long prompts, in milliseconds. */
const longPause = 400;

/** Chance of a pause from which on a stream is better off elsewhere. */
const likely = 0.5;

/** An engine that a request could go to. */
export type Option = {
	readonly upstream: GatewayUpstream;
	readonly forecast: Forecast;
	/** Loss that does not depend on how much is read there. */
	readonly fixed: number;
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
function lateness(time: number, limit: number): number {
	const error = spread + (relativeSpread * Math.max(time, 0));
	return 1 / (1 + Math.exp((limit - time) / error));
}

/** Milliseconds of a pass that reads what is known to be read there. */
function readingPass(forecast: Forecast): number {
	let most = 0;
	for (const job of forecast.readers) {
		most = Math.max(most, job.readPerPass);
	}

	return forecast.pass + Math.min(most, forecast.backlog);
}

/**
 * @param option - Engine.
 * @param read - What it would read more.
 * @param now - Monotonic time in milliseconds.
 * @returns What those who are written or read there lose by it.
 */
export function disturbance({forecast}: Option, read: Reading, now: number): number {
	const before = readingPass(forecast);
	let loss = 0;
	for (const job of forecast.writers) {
		if (job.pause !== undefined) {
			const more = lateness(before + read.perPass, job.pause) - lateness(before, job.pause);
			loss += more * job.weight * lateLoss;
		}
	}

	for (const job of forecast.readers) {
		loss += delayLoss(job, read.total, forecast.backlog, now);
	}

	return loss;
}

function delayLoss(job: Job, delay: number, expected: number, now: number): number {
	const limit = job.due - now - overhead;
	return (lateness(expected + delay, limit) - lateness(expected, limit)) * job.weight * lateLoss;
}

/**
 * @param option - Engine.
 * @param read - Reading of a new prompt.
 * @returns Milliseconds until it has been read.
 */
export function readTime({forecast}: Option, read: Reading): number {
	// It joins at the end of the running pass and its first token comes at the end of its own.
	return forecast.placeWait + (forecast.pass * 1.5) + forecast.backlog + read.total;
}

/** Chance that a stream pauses for longer than its caller bears. */
function pauseChance({forecast}: Option, {pause}: Demand): number {
	return pause === undefined ? 0 : lateness(readingPass(forecast), pause);
}

/**
 * @param first - Engine that answers.
 * @param firstByte - Milliseconds until its first byte.
 * @param demand - Request.
 * @param weight - What it is worth.
 * @param now - Monotonic time in milliseconds.
 * @returns What the request itself loses: late is late, by its first byte or by a pause.
 */
export function ownLoss(first: Option, firstByte: number, demand: Demand, weight: number, now: number): number {
	const inTime = (1 - lateness(firstByte + overhead, demand.due - now)) * (1 - pauseChance(first, demand));
	const unserved = lateness(firstByte + overhead, demand.deadline - now);
	return weight * (((1 - inTime) * lateLoss) + (unserved * (1 - lateLoss)));
}

/**
 * @param option - Engine that would write one more.
 * @param demand - Request.
 * @param policy - What counts.
 * @returns What it costs others later: long prompts find one engine fewer at which no stream needs short pauses.
 */
export function opening({forecast}: Option, {pause}: Demand, {openingLoss}: Policy): number {
	const isTight = pause !== undefined && pause < longPause;
	const isOpen = forecast.writers.some(job => job.pause !== undefined && job.pause < longPause);
	return isTight && !isOpen ? openingLoss : 0;
}

/**
 * Streams at an engine that are about to pause for longer than their callers bear, as a long prompt will be read there.
 *
 * @param forecast - What the engine does next.
 * @returns The requests, and what each loses by staying.
 */
export function disturbed(forecast: Forecast): ReadonlyArray<{readonly job: Job; readonly loss: number}> {
	const pass = readingPass(forecast);
	const found: Array<{readonly job: Job; readonly loss: number}> = [];
	for (const job of forecast.writers) {
		if (job.pause === undefined) {
			continue;
		}

		const chance = lateness(pass, job.pause) - lateness(forecast.pass, job.pause);
		if (chance > likely) {
			found.push({job, loss: chance * job.weight * lateLoss});
		}
	}

	return found;
}

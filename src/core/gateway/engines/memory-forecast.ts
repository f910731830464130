/** Forecasts when the jobs at an engine free their KV memory, for requests that wait for it. */
import {type EngineModel} from '../types.js';
import {memoryAt, type Load} from './load.js';
import {estimateRemainingTime} from './queue.js';

/** Memory that a job is expected to free. */
export type MemoryRelease = {
	/** Milliseconds from now. */
	readonly wait: number;
	readonly tokens: number;
};

/** Memory of an engine, in tokens. */
export type EngineMemory = {
	readonly upstream: string;
	/** Free memory now. Negative if waiting requests claim more of it than is free. */
	readonly free: number;
	/** Milliseconds of prefill ahead of a new prompt. */
	readonly backlog: number;
	/** Expected releases, the earliest first. */
	readonly releases: readonly MemoryRelease[];
};

/**
 * @param upstream - Engine.
 * @param model - Performance model of the engine.
 * @param load - Jobs at engines.
 * @param now - Monotonic time in milliseconds.
 * @returns Its free memory and when more of it becomes free.
 */
export function forecastMemory(upstream: string, model: EngineModel, load: Load, now: number): EngineMemory {
	const {freeMemory, backlog, iteration} = load.forecast(upstream, model, now);
	const usualDuration = model.usualAnswer * Math.max(iteration / model.stride, model.step);
	const releases = load.findJobsAt(upstream).map(job => ({
		wait: job.firstByte === undefined ? backlog + usualDuration : estimateRemainingTime(now - job.firstByte, usualDuration),
		tokens: memoryAt(job, upstream, model),
	}));
	return {
		upstream, free: freeMemory, backlog, releases: releases.filter(each => each.tokens > 0).toSorted((a, b) => a.wait - b.wait),
	};
}

/**
 * @param memory - Memory of an engine.
 * @param wait - Milliseconds from now.
 * @returns Tokens that are expected to be free then.
 */
export function estimateFreeMemory({free, releases}: EngineMemory, wait: number): number {
	let tokens = free;
	for (const release of releases) {
		if (release.wait > wait) {
			break;
		}

		tokens += release.tokens;
	}

	return tokens;
}

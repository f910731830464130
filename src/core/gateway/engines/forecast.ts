/** Forecasts the state of an engine from the jobs that are known there. */
import {type EngineModel} from '../types.js';
import {estimateDecodeIteration} from './engine.js';
import {contextAt, memoryAt, type Job} from './job.js';
import {type Pace} from './paces.js';
import {estimateSlotWait, type Occupant} from './queue.js';
import {defaultUrgency} from './urgency.js';

/** Request for which the time of its answer is estimated. */
export type AnswerSize = {
	/** Length of the prompt and maximum length of the answer, in tokens. */
	readonly tokens: number;
	readonly answer: number;
};

/**
 * @param model - Performance model of an engine.
 * @param forecast - Its expected state without the request.
 * @param size - Request.
 * @returns Milliseconds from the first byte to the end of its answer.
 */
export function estimateDecoding(model: EngineModel, {contexts, pace}: Forecast, {tokens, answer}: AnswerSize): number {
	const iteration = estimateDecodeIteration(model, [...contexts, tokens]) / pace.decode;
	return answer * Math.max(iteration / model.stride, model.step);
}

/** Expected state of an engine. */
export type Forecast = {
	/** Jobs that the engine answers, waiting ones included; jobs that it only helps to prefill are excluded. */
	readonly requests: number;
	/** Jobs that the engine is decoding. */
	readonly decoding: readonly Job[];
	/** Jobs whose prompt, or a part of it, the engine prefills. */
	readonly prefilling: readonly Job[];
	/** Milliseconds of prefill ahead of a new prompt. */
	readonly backlog: number;
	/** Milliseconds of an engine iteration without prefill; 0 if nothing is decoding. */
	readonly iteration: number;
	/** Milliseconds until a slot in the batch is free. */
	readonly slotWait: number;
	/** KV memory in tokens that no job needs. */
	readonly freeMemory: number;
	/** Context lengths in tokens of the jobs that the engine decodes. */
	readonly contexts: readonly number[];
	/** Pace by which the times above are predicted. */
	readonly pace: Pace;
	/** Milliseconds by which an iteration that decodes one new request exceeds the configured time; 0 unless the engine is slow. */
	readonly slowdown: number;
};

/** Known jobs at an engine. */
export type EngineJobs = {
	readonly jobs: ReadonlyMap<string, Job>;
	/** When the prefill of all of them is expected to be done; monotonic, in milliseconds. */
	readonly prefillUntil: number;
};

export type ForecastOptions = {
	/** Rank in the queue of the request that the forecast is made for. */
	readonly urgency?: number;
	/** Job to leave out, as if it had not been sent. */
	readonly excludedJob?: string;
};

/** Remaining time, in milliseconds, that is assumed for a prefill that takes longer than predicted. */
const prefillOverrunMs = 20;

/** Engine that a forecast is made for. */
export type ForecastEngine = {
	readonly upstream: string;
	readonly model: EngineModel;
	readonly pace: Pace;
};

/**
 * @param state - Known jobs at the engine; undefined if there are none.
 * @param engine - The engine.
 * @param now - Time; monotonic, in milliseconds.
 * @param options - Request that the forecast is made for.
 * @returns The expected state of the engine.
 */
export function forecastEngine(state: EngineJobs | undefined, {upstream, model, pace}: ForecastEngine, now: number, {urgency = defaultUrgency, excludedJob}: ForecastOptions): Forecast {
	const slowdown = pace.decode < 1 ? estimateDecodeIteration(model, [0]) * ((1 / pace.decode) - 1) : 0;
	if (state === undefined) {
		return {
			requests: 0, decoding: [], prefilling: [], backlog: 0, iteration: 0, slotWait: 0, freeMemory: model.memory, contexts: [], pace, slowdown,
		};
	}

	const decoding: Job[] = [];
	const prefilling: Job[] = [];
	const contexts: number[] = [];
	const occupants: Occupant[] = [];
	let freeMemory = model.memory;
	let {prefillUntil} = state;
	for (const job of state.jobs.values()) {
		if (job.id === excludedJob) {
			prefillUntil -= job.firstByte === undefined ? job.read / pace.prefill : 0;
			continue;
		}

		if (job.upstream === upstream) {
			occupants.push({decodeTime: job.firstByte === undefined ? undefined : now - job.firstByte, urgency: job.urgency ?? defaultUrgency});
		}

		freeMemory -= memoryAt(job, upstream, model);
		if (job.firstByte === undefined) {
			prefilling.push(job);
			continue;
		}

		contexts.push(contextAt(job, upstream));
		if (job.upstream === upstream) {
			decoding.push(job);
		}
	}

	const minBacklog = prefilling.length === 0 ? 0 : prefillOverrunMs;
	const iteration = contexts.length === 0 ? 0 : estimateDecodeIteration(model, contexts) / pace.decode;
	return {
		requests: occupants.length,
		decoding,
		prefilling,
		backlog: Math.max(prefillUntil - now, minBacklog),
		iteration,
		slotWait: estimateSlotWait(model, occupants, iteration, urgency),
		freeMemory,
		contexts,
		pace,
		slowdown,
	};
}

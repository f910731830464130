/** One attempt of a request at an upstream, and what it takes there. */
import {type EngineModel} from '../types.js';
import {computePartMemory, footprint} from './engine.js';

/** Kind of placement: the request's first, a retry after an upstream received it, or one after attempts that reached no upstream. */
export type PlacementKind = 'first' | 'retry' | 'unreached before';

/** One attempt of a request at an upstream. Times are on this host's monotonic clock, in milliseconds. */
export type Job = {
	/** Unique over all hosts. */
	readonly id: string;
	/** Host that sent the request. */
	readonly host: string;
	/** Upstream that answers. */
	readonly upstream: string;
	/** Other engines that prefill a part of the prompt. */
	readonly helpers: readonly string[];
	/** Length of the prompt and maximum length of the answer, in tokens. */
	readonly prompt: number;
	readonly answer: number;
	/** Whether the memory of the request is split evenly into holds at the upstream and the helpers. */
	readonly isHeld: boolean;
	/** Prefill time at each of the engines, at the speed that its configuration states. */
	readonly read: number;
	/** Longest part of the prefill within one engine iteration. */
	readonly readPerPass: number;
	/** Longest pause between events that meets the latency target, if there is one for pauses. */
	readonly pause?: number;
	/** Rank in the queue of the upstream; 0 is first. */
	readonly urgency?: number;
	/** How much the request counts, relative to a usual one. */
	readonly weight: number;
	readonly placing: PlacementKind;
	/** Tag of the organisation that the request counts toward; only set on the first job of a request. */
	readonly organisation?: string;
	/** Whether the request is delayed because the upstreams of its service are full. */
	readonly isDelayed?: boolean;
	/** Whether every host receives the job, also those outside the group of its upstream; set if the host that sent it says so. */
	readonly isForAll?: boolean;
	readonly began: number;
	/** When the first byte is due. */
	readonly due: number;
	/** When the request times out. */
	readonly deadline: number;
	readonly firstByte?: number;
};

/**
 * @param job - Job.
 * @returns Ids of the engines that answer it or help with it.
 */
export function listEngines(job: Job): readonly string[] {
	return [job.upstream, ...job.helpers];
}

/**
 * @param job - Job.
 * @param upstream - Engine that answers it or helps with it.
 * @param model - Performance model of the engine.
 * @returns KV memory in tokens that the job takes there.
 */
export function memoryAt(job: Job, upstream: string, model: EngineModel): number {
	const whole = footprint(model, job.prompt, job.answer);
	if (job.isHeld) {
		return computePartMemory(model, whole, job.helpers.length + 1);
	}

	return job.upstream === upstream ? whole : 0;
}

/**
 * @param job - Job.
 * @param upstream - Engine that answers it or helps with it.
 * @returns Context length in tokens that it adds to the engine's iterations.
 */
export function contextAt(job: Job, upstream: string): number {
	if (job.isHeld) {
		return job.prompt / (job.helpers.length + 1);
	}

	return job.upstream === upstream ? job.prompt : 0;
}

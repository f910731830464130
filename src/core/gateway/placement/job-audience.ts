/** Decides which groups of hosts receive a job. */
import {footprint} from '../engines/engine.js';
import {type Job} from '../engines/load.js';
import {isEngineOf, type HostGroup} from '../registry/host-groups.js';
import {type EngineModel} from '../types.js';
import {disruptivePrefillMs} from './rerouting.js';

/** Share of an engine's memory from which a job counts as long. */
const longMemoryShare = 1 / 16;

/** Largest share of an engine's memory that unknown jobs are assumed to take: an engine with many slots would otherwise never look free. */
const maxUnknownShare = 1 / 2;

/** What a host knows of upstreams that decides who receives a job. */
export type JobContext = {
	/** Performance model of an engine; undefined for upstreams of plain services and unknown ones. */
	readonly modelAt: (upstream: string) => EngineModel | undefined;
	/** Whether the hosts together count the requests at an upstream, as it is cold or limits their rate. */
	readonly isCounted: (upstream: string) => boolean;
};

/**
 * Long jobs are received by every host, as they matter for placements at any engine. So are retries, which the hosts of a failure domain
 * count against their budget; jobs at upstreams whose requests the fleet counts; and those of plain services, which have few upstreams.
 *
 * @param job - Job of any host.
 * @param context - What this host knows of its upstream.
 * @returns Whether every host receives the job.
 */
export function isForAllGroups(job: Job, {modelAt, isCounted}: JobContext): boolean {
	if (job.isForAll === true || job.placing === 'retry' || job.isHeld || job.helpers.length > 0 || job.readPerPass >= disruptivePrefillMs) {
		return true;
	}

	const model = modelAt(job.upstream);
	return model === undefined || footprint(model, job.prompt, job.answer) >= model.memory * longMemoryShare || isCounted(job.upstream);
}

/**
 * @param job - Job that isn't for all groups.
 * @param isOfMember - Whether a host of the group sent it. Its group receives it too, so that no host gets its own jobs in sums.
 * @param group - Group.
 * @returns Whether the hosts of the group receive the job.
 */
export function isForGroup({upstream}: Pick<Job, 'upstream'>, isOfMember: boolean, group: HostGroup): boolean {
	return isOfMember || isEngineOf(upstream, group);
}

/**
 * Bounds the memory that unknown jobs take at an engine outside a host's group: as many as it has slots left, each just shorter than a long
 * one.
 *
 * @param model - Engine.
 * @param known - Number of known jobs that it answers.
 * @returns Tokens of KV memory.
 */
export function computeUnknownMemory({memory, slots}: Pick<EngineModel, 'memory' | 'slots'>, known: number): number {
	return Math.min(Math.max(slots - known, 0) * longMemoryShare, maxUnknownShare) * memory;
}

/**
 * Sums of jobs that a relay leaves out of what it sends to a group of hosts. Shares of organisations and retry budgets count the requests
 * of the whole fleet or failure domain, whatever their upstream.
 */
import {type Job} from '../engines/load.js';

/** Sums kept at once; further ones lose their organisation, and their requests still count toward the retry budget. */
const maxSums = 2048;

/**
 * Oldest job, in milliseconds, that is counted. Jobs arrive within 100 ms of their start; older ones are sent again to a new relay, and the
 * previous one has counted them.
 */
export const maxSummedJobAgeMs = 500;

/** Jobs of one service and organisation. */
export type JobSum = {
	readonly service: string;
	/** Tag of the organisation; absent if the jobs have none. */
	readonly organisation?: string;
	/** Number of the jobs, and of those that are delayed because the upstreams are full. */
	readonly count: number;
	readonly delayed: number;
	/** Sum of their weights. */
	readonly weight: number;
	/** Number of first placements by hosts of this failure domain. */
	readonly requests: number;
};

/** Sums for one group. Times are monotonic, in milliseconds. */
export class JobSums {
	#sums = new Map<string, JobSum>();

	/** Whether there is nothing to send. */
	get isEmpty(): boolean {
		return this.#sums.size === 0;
	}

	/**
	 * @param job - New job of any host.
	 * @param service - Its service.
	 * @param isOfDomain - Whether a host of this failure domain sent it.
	 * @param now - Time.
	 */
	add(job: Pick<Job, 'began' | 'isDelayed' | 'organisation' | 'placing' | 'weight'>, service: string, isOfDomain: boolean, now: number): void {
		if (now - job.began > maxSummedJobAgeMs) {
			return;
		}

		const organisation = this.#sums.size < maxSums || this.#sums.has(keyOf(service, job.organisation)) ? job.organisation : undefined;
		const key = keyOf(service, organisation);
		const sum = this.#sums.get(key) ?? {
			service, organisation, count: 0, delayed: 0, weight: 0, requests: 0,
		};
		this.#sums.set(key, {
			...sum,
			count: sum.count + 1,
			delayed: sum.delayed + (job.isDelayed === true ? 1 : 0),
			weight: sum.weight + job.weight,
			requests: sum.requests + (isOfDomain && job.placing === 'first' ? 1 : 0),
		});
	}

	/** @returns The sums since the last call. */
	take(): readonly JobSum[] {
		const sums = [...this.#sums.values()];
		this.#sums = new Map();
		return sums;
	}
}

function keyOf(service: string, organisation: string | undefined): string {
	return `${organisation ?? ''} ${service}`;
}

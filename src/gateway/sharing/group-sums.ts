/** Sums, as a relay, the jobs that each group of hosts doesn't receive, and sends the sums at intervals. */
import {JobSums} from '../../core/gateway/limits/job-sums.js';
import {type Job} from '../../core/gateway/engines/load.js';
import {type Peers} from '../peers/peers.js';
import {type DomainGroups, keyOf} from './domain-groups.js';
import {type JobAudience} from './job-audience.js';
import {encodeSums} from './load-encoding.js';

/** Time over which jobs are summed: a quarter of the time over which the present use of an organisation is measured. */
const sumIntervalMs = 500;

export type GroupSumsOptions = {
	readonly self: string;
	readonly failureDomain: string;
	readonly peers: Peers;
	readonly groups: DomainGroups;
	readonly audience: JobAudience;
	readonly now: () => number;
	/** Returns the service of an upstream, if it is known. */
	readonly findService: (upstream: string) => string | undefined;
};

export class GroupSums {
	readonly #options: GroupSumsOptions;
	/** By key of the group. */
	readonly #sums = new Map<string, JobSums>();
	#timer: NodeJS.Timeout | undefined;

	constructor(options: GroupSumsOptions) {
		this.#options = options;
	}

	/**
	 * @param jobs - New jobs of any host.
	 */
	add(jobs: readonly Job[]): void {
		const {self, failureDomain, peers, groups, audience} = this.#options;
		const domainHosts = new Set([self, ...peers.listDomainHosts(failureDomain)]);
		for (const {group} of groups.receivers) {
			for (const job of jobs) {
				if (!audience.includes(job, group)) {
					this.#addTo(keyOf(group), job, domainHosts.has(job.host));
				}
			}
		}
	}

	/** Sends all sums now. */
	flush(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		const {peers, groups} = this.#options;
		for (const {group, hosts} of groups.receivers) {
			const sums = this.#sums.get(keyOf(group));
			if (sums?.isEmpty === false) {
				peers.sendToHosts(hosts, encodeSums(sums.take()));
			}
		}

		this.#sums.clear();
	}

	#addTo(key: string, job: Job, isOfDomain: boolean): void {
		const {findService, now} = this.#options;
		const service = findService(job.upstream);
		if (service === undefined) {
			return;
		}

		const sums = this.#sums.get(key) ?? new JobSums();
		this.#sums.set(key, sums);
		sums.add(job, service, isOfDomain, now());
		this.#timer ??= setTimeout(() => {
			this.flush();
		}, sumIntervalMs);
	}
}

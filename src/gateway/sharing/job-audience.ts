/** Selects from the changes of jobs those that a group of hosts receives. */
import {type Job} from '../../core/gateway/engines/load.js';
import {isForAllGroups, isForGroup, type JobContext} from '../../core/gateway/placement/job-audience.js';
import {type HostGroup} from '../../core/gateway/registry/host-groups.js';
import {type DomainGroups} from './domain-groups.js';
import {type LoadChanges} from './load-batch.js';

export class JobAudience {
	readonly #groups: DomainGroups;
	readonly #context: JobContext;

	/**
	 * @param groups - Groups of this failure domain.
	 * @param context - What this host knows of upstreams.
	 */
	constructor(groups: DomainGroups, context: JobContext) {
		this.#groups = groups;
		this.#context = context;
	}

	/**
	 * @param job - Job of any host.
	 * @param group - Group; undefined for hosts that receive everything.
	 * @returns Whether its hosts receive the job.
	 */
	includes(job: Job, group: HostGroup | undefined): boolean {
		return group === undefined || isForAllGroups(job, this.#context) || isForGroup(job, this.#groups.isMember(job.host, group), group);
	}

	/**
	 * @param changes - Changes of jobs. Those of a job that isn't known here are for everyone.
	 * @param group - Group.
	 * @returns The changes that its hosts receive; undefined if there are none.
	 */
	select(changes: LoadChanges, group: HostGroup): LoadChanges | undefined {
		const leftOut = new Set([...changes.began, ...changes.changed].filter(job => !this.includes(job, group)).map(({id}) => id));
		const isReceived = (id: string) => !leftOut.has(id);
		const selected = {
			...changes,
			began: changes.began.filter(({id}) => isReceived(id)),
			progressed: changes.progressed.filter(id => isReceived(id)),
			ended: changes.ended.filter(id => isReceived(id)),
		};
		const {began, progressed, ended, absences, returns, reports, paces, claims} = selected;
		return [began, progressed, ended, absences, returns, reports, paces, claims].some(list => list.length > 0) ? selected : undefined;
	}
}

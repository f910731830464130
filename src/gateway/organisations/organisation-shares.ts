/** Use of each service by organisations: counted from the jobs of all hosts, and the requests that give way. */
import {createHash} from 'node:crypto';
import {overheadMs} from '../../core/gateway/engines/losses.js';
import {type Job} from '../../core/gateway/engines/load.js';
import {type JobSum} from '../../core/gateway/limits/job-sums.js';
import {type Placement} from '../../core/gateway/placement/placement.js';
import {toPriorityShift} from '../../core/gateway/limits/priority.js';
import {type ShareHistory} from '../../core/gateway/limits/share-history.js';
import {Shares, type Excess} from '../../core/gateway/limits/shares.js';
import {
	type Demand, type GatewayConfiguration, type GatewayUpstream, type Route,
} from '../../core/gateway/types.js';
import {LogLimiter} from '../../core/utils/log-limiter.js';
import {type Log} from '../../entry/logs.js';

/** Length of a tag in characters of six bits each: of 32,000 organisations, few pairs have the same one. */
const tagLength = 6;

/** Oldest job, in milliseconds, whose use is counted: hosts that are linked again send all their jobs, which may have been counted before. */
const maxJobAgeMs = 2000;

export type OrganisationSharesOptions = {
	readonly log: Pick<Log, 'write'>;
	readonly now: () => number;
	readonly findUpstream: (id: string) => GatewayUpstream | undefined;
	/** Number of known requests that an upstream answers. */
	readonly countRequests: (upstream: string) => number;
};

function createTag(kind: 'organisation' | 'route', name: string): string {
	return createHash('sha256').update(`${kind} ${name}`).digest('base64url').slice(0, tagLength);
}

/** Share that the use of a request counts toward. */
export type CountedShare = {
	/** Tag of the organisation. */
	readonly organisation: string;
	/** Whether no upstream could take the request as it arrived. */
	readonly hasWaited: boolean;
};

/** Use of one service as known to a host. */
export type ServiceHistory = ShareHistory & {readonly service: string};

export class OrganisationShares {
	readonly #options: OrganisationSharesOptions;
	readonly #services = new Map<string, Shares>();
	readonly #limiter = new LogLimiter();
	#tags = new Map<string, string>();
	#configuration: GatewayConfiguration | undefined;

	constructor(options: OrganisationSharesOptions) {
		this.#options = options;
	}

	/**
	 * @param configuration - Configuration in force.
	 * @param route - Route of a request.
	 * @param organisation - Name of the organisation of its caller, if known.
	 * @returns Tag that its use counts toward; undefined if the configuration has no organisations.
	 */
	findTag(configuration: GatewayConfiguration | undefined, route: Route, organisation: string | undefined): string | undefined {
		if (configuration?.organisations === undefined || configuration.organisations.length === 0) {
			return undefined;
		}

		if (this.#configuration !== configuration) {
			this.#configuration = configuration;
			this.#tags = new Map();
		}

		const hasOrganisation = organisation !== undefined && organisation !== '';
		const kind = hasOrganisation ? 'organisation' : 'route';
		const name = hasOrganisation ? organisation : route.name;
		const key = `${kind} ${name}`;
		const tag = this.#tags.get(key) ?? createTag(kind, name);
		this.#tags.set(key, tag);
		return tag;
	}

	/**
	 * @param job - New job of any host.
	 */
	countJob({organisation, isDelayed, upstream, weight, began}: Job): void {
		if (organisation === undefined && isDelayed !== true) {
			return;
		}

		const now = this.#options.now();
		const service = this.#options.findUpstream(upstream)?.service;
		if (service === undefined || now - began > maxJobAgeMs) {
			return;
		}

		const shares = this.#sharesOf(service);
		if (organisation !== undefined && began >= shares.learnedAt) {
			shares.count(organisation, weight, now);
		}

		if (isDelayed === true) {
			shares.recordPressure(now);
		}
	}

	/**
	 * Counts jobs of other hosts that were reported together; each counts with their mean weight.
	 *
	 * @param sum - Jobs of one service and organisation.
	 */
	countSum({service, organisation, count, delayed, weight}: JobSum): void {
		if (organisation === undefined && delayed === 0) {
			return;
		}

		const now = this.#options.now();
		const shares = this.#sharesOf(service);
		if (organisation !== undefined) {
			shares.count(organisation, weight / count, now, count);
		}

		if (delayed > 0) {
			shares.recordPressure(now);
		}
	}

	/**
	 * @param demand - Request.
	 * @param placement - Its placement.
	 * @returns Whether it is delayed because the upstreams are full, and not by its own length.
	 */
	isDelayed(demand: Demand, {upstream, prefill, pace, firstByte}: Placement): boolean {
		if (pace === undefined) {
			return this.#options.countRequests(upstream.id) >= Math.max(upstream.slots, 1);
		}

		const time = demand.due - this.#options.now() - overheadMs;
		return firstByte > time && prefill.total / pace.prefill <= time;
	}

	/**
	 * Decides whether a request that has not been sent gives way.
	 *
	 * @param tag - Tag that its use counts toward.
	 * @param demand - Request.
	 * @param placement - Its placement, if there is one.
	 * @returns By how much its organisation exceeds its share; undefined if the request is served like any other.
	 */
	findExcess(tag: string, demand: Demand, placement: Placement | undefined): Excess | undefined {
		const now = this.#options.now();
		const shares = this.#sharesOf(demand.service);
		if (placement === undefined || this.isDelayed(demand, placement)) {
			shares.recordPressure(now);
		}

		return shares.findExcess(tag, now, toPriorityShift(demand.organisationPriority));
	}

	/** What this host knows of the use of services, for a host that has started. */
	get histories(): readonly ServiceHistory[] {
		const now = this.#options.now();
		return [...this.#services].flatMap(([service, shares]) => {
			const history = shares.summarize(now);
			return history === undefined ? [] : [{service, ...history}];
		});
	}

	/**
	 * @param history - Use of a service as known to a peer.
	 * @returns Whether it was taken over: this host knew no usual use of the service.
	 */
	learn({service, ...history}: ServiceHistory): boolean {
		return this.#sharesOf(service).learn(history, this.#options.now());
	}

	/** Number of services whose upstreams were full a short time ago. */
	get pressedCount(): number {
		const now = this.#options.now();
		let count = 0;
		for (const shares of this.#services.values()) {
			count += shares.isPressed(now) ? 1 : 0;
		}

		return count;
	}

	/** Number of organisations whose use is kept, over all services. */
	get size(): number {
		let size = 0;
		for (const shares of this.#services.values()) {
			size += shares.size;
		}

		return size;
	}

	/**
	 * @param peer - Host that sent jobs with invalid tags; they count toward no organisation.
	 */
	reportInvalidTag(peer: string): void {
		if (this.#limiter.admit('organisation-tag-invalid', this.#options.now())) {
			this.#options.log.write({event: 'organisation-tag-invalid', peer}, 'warn');
		}
	}

	#sharesOf(service: string): Shares {
		const known = this.#services.get(service) ?? new Shares();
		this.#services.set(service, known);
		return known;
	}
}

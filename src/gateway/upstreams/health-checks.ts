/** Sends the health checks by which this host learns of cold upstreams while its view of the registrations isn't confirmed, and logs them. */
import {ColdChecks, type CheckTarget} from '../../core/gateway/limits/cold-checks.js';
import {type Obstacle} from '../../core/gateway/placement/eligibility.js';
import {type GatewayService, type GatewayUpstream} from '../../core/gateway/types.js';
import {type Log} from '../../entry/logs.js';
import {type HealthClient, type HealthResult} from '../platform-adapter.js';
import {type ColdUpstreams} from './cold-starts.js';

export type HealthChecksOptions = {
	/** Name of this host. */
	readonly self: string;
	readonly failureDomain: string;
	readonly client: HealthClient;
	readonly coldStarts: Pick<ColdUpstreams, 'countCheck' | 'getEnd' | 'recordHealth'>;
	readonly log: Pick<Log, 'write'>;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** Returns the milliseconds since the registrations were last confirmed. */
	readonly confirmedAge: () => number;
	/** Returns the hosts of this failure domain that may check, as far as they are linked, this one included if it is one of them. */
	readonly listHosts: () => readonly string[];
	readonly listUpstreams: () => readonly GatewayUpstream[];
	readonly findService: (name: string) => GatewayService | undefined;
	/** Returns what keeps an upstream from accepting a request at present. */
	readonly findObstacle: (upstream: GatewayUpstream) => Obstacle | undefined;
	/** Returns the failure domains that can't be reached at present. */
	readonly findUnreachableDomains: () => ReadonlySet<string>;
	/** Called with each check that is sent. */
	readonly onSent: (upstream: GatewayUpstream) => void;
	/** Called with the result of each check that was due. */
	readonly onResult: (result: HealthResult['type'] | 'skipped') => void;
};

/** How many checks were sent since checking began. */
type Period = {
	readonly since: number;
	sent: number;
};

export class HealthChecks {
	readonly #options: HealthChecksOptions;
	readonly #checks: ColdChecks;
	/** Upstreams whose response hasn't arrived yet. */
	readonly #pending = new Set<string>();
	/** Why the last response of an upstream was ignored, by upstream; removed by a valid response. */
	readonly #ignored = new Map<string, string>();
	/** Undefined while nothing is checked. */
	#period: Period | undefined;

	/**
	 * @param options - This host, its upstreams, and the client that sends the checks.
	 */
	constructor(options: HealthChecksOptions) {
		this.#options = options;
		this.#checks = new ColdChecks(options.self, options.failureDomain);
	}

	/** Whether checking has begun and not ended. */
	get isActive(): boolean {
		return this.#period !== undefined;
	}

	/** Sends the checks that are due; to be called several times a second while a service has a limit for cold upstreams, or checking is active. */
	update(): void {
		const {now, confirmedAge, listHosts, onResult} = this.#options;
		this.#checks.update({now: now(), confirmedAge: confirmedAge(), hosts: listHosts()});
		this.#checks.removeEnded();
		const assigned = this.#checks.isUnconfirmed ? this.#findAssigned() : [];
		const period = this.#updatePeriod(assigned.length);
		if (period === undefined) {
			return;
		}

		const unreachable = this.#options.findUnreachableDomains();
		const byId = new Map(assigned.filter(({id}) => !this.#pending.has(id)).map(upstream => [upstream.id, upstream]));
		const {sent, skipped} = this.#checks.takeDue([...byId.values()].map(upstream => this.#createTarget(upstream, unreachable)));
		for (const _ of skipped) {
			onResult('skipped');
		}

		period.sent += sent.length;
		for (const id of sent) {
			void this.#check(byId.get(id)!);
		}
	}

	/** Returns the upstreams with a limit while they are cold that this host is to check. */
	#findAssigned(): readonly GatewayUpstream[] {
		const {listUpstreams, findService} = this.#options;
		return listUpstreams().filter(({id, service}) => (findService(service)?.coldStart?.rate ?? 0) > 0 && this.#checks.isAssigned(id));
	}

	#createTarget(upstream: GatewayUpstream, unreachable: ReadonlySet<string>): CheckTarget {
		const {coldStarts, findObstacle} = this.#options;
		return {
			upstream: upstream.id,
			coldUntil: coldStarts.getEnd(upstream),
			obstacle: findObstacle(upstream),
			isReachable: !unreachable.has(upstream.failureDomain),
		};
	}

	/** Logs when checking begins and ends. Returns the present period; undefined if nothing is checked. */
	#updatePeriod(assignedCount: number): Period | undefined {
		const {log, now, confirmedAge} = this.#options;
		if (this.#period === undefined && assignedCount > 0) {
			this.#period = {since: now(), sent: 0};
			const age = confirmedAge();
			log.write({event: 'cold-checks', upstreams: assignedCount, confirmedAge: Number.isFinite(age) ? Math.round(age) : undefined}, 'warn');
		} else if (this.#period !== undefined && assignedCount === 0) {
			log.write({event: 'cold-checks-ended', sent: this.#period.sent, took: Math.round(now() - this.#period.since)});
			this.#period = undefined;
			this.#ignored.clear();
		}

		return this.#period;
	}

	async #check(upstream: GatewayUpstream): Promise<void> {
		const {client, coldStarts, findService, now, onSent, onResult} = this.#options;
		const {id, service, address} = upstream;
		const at = now();
		const isCounted = coldStarts.countCheck(upstream);
		onSent(upstream);
		this.#pending.add(id);
		const result = await client.check({upstream: id, address, path: findService(service)?.healthPath ?? '/'});
		this.#pending.delete(id);
		onResult(result.type);
		this.#logIgnored(id, result);
		if (result.type === 'cold') {
			coldStarts.recordHealth(upstream, result.remaining, isCounted ? undefined : at);
		}
	}

	/** Logs each reason once until a valid response arrives: an upstream without responses is checked every second. */
	#logIgnored(upstream: string, result: HealthResult): void {
		if (result.type !== 'ignored') {
			this.#ignored.delete(upstream);
		} else if (this.#ignored.get(upstream) !== result.reason) {
			this.#ignored.set(upstream, result.reason);
			this.#options.log.write({
				event: 'cold-check-ignored', upstream, reason: result.reason, value: result.value,
			}, 'warn');
		}
	}
}

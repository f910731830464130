/** The usable upstreams, as registered at present. */
import {dropOldest} from '../../core/utils/bounded.js';
import {type StorePosition} from '../../core/gateway/registry/position.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {type Log} from '../../entry/logs.js';

export type UpstreamEvents = {
	/** Another process has registered under the id. */
	readonly restarted: (id: string) => void;
	readonly removed: (id: string) => void;
	/** A registration was read, after `restarted` if that applies. */
	readonly registered?: (upstream: GatewayUpstream, previous: GatewayUpstream | undefined, source: RegistrationSource) => void;
};

/** Origin of a registration or removal, with its position in the history of the store. */
export type RegistrationSource
	= | StorePosition & {readonly type: 'peer'; readonly peer: string}
		| StorePosition & {readonly type: 'store'};

/** Upstreams that are no longer registered and of which the last registration is kept: their responses may still be under way. */
const maxFormer = 512;

const noUpstreams: readonly GatewayUpstream[] = [];

/**
 * @param source - Origin of a change.
 * @returns Its fields in log lines.
 */
export function describeSource(source: RegistrationSource): Readonly<Record<string, unknown>> {
	return {source: source.type === 'store' ? 'store' : source.peer, era: source.era, revision: source.revision};
}

export class Upstreams {
	readonly #log: Pick<Log, 'write'>;
	readonly #events: UpstreamEvents;
	readonly #byId = new Map<string, GatewayUpstream>();
	/** Last registrations of upstreams that are no longer registered, the oldest first. */
	readonly #former = new Map<string, GatewayUpstream>();
	readonly #byAddress = new Map<string, GatewayUpstream>();
	readonly #byService = new Map<string, GatewayUpstream[]>();
	/** Whether the indexes by address and service reflect all registrations. */
	#isIndexed = true;
	#changeCount = 0;

	/**
	 * @param log - Log of all changes.
	 * @param events - Listeners.
	 */
	constructor(log: Pick<Log, 'write'>, events: UpstreamEvents) {
		this.#log = log;
		this.#events = events;
	}

	/** Number of changes so far. */
	get changeCount(): number {
		return this.#changeCount;
	}

	get size(): number {
		return this.#byId.size;
	}

	get all(): readonly GatewayUpstream[] {
		return [...this.#byId.values()];
	}

	/**
	 * @param id - Upstream.
	 * @returns The upstream, if it is registered.
	 */
	get(id: string): GatewayUpstream | undefined {
		return this.#byId.get(id);
	}

	/**
	 * @param id - Upstream.
	 * @returns Its registration, or the last one that it had.
	 */
	getLast(id: string): GatewayUpstream | undefined {
		return this.#byId.get(id) ?? this.#former.get(id);
	}

	/**
	 * @param address - Host and port, as text.
	 * @returns The upstream at the address, if there is one.
	 */
	findByAddress(address: string): GatewayUpstream | undefined {
		this.#updateIndexes();
		return this.#byAddress.get(address);
	}

	/**
	 * @param service - Service.
	 * @returns Upstreams of the service.
	 */
	listByService(service: string): readonly GatewayUpstream[] {
		this.#updateIndexes();
		return this.#byService.get(service) ?? noUpstreams;
	}

	/**
	 * @param upstream - Current registration of an upstream.
	 * @param source - Origin of the registration.
	 */
	register(upstream: GatewayUpstream, source: RegistrationSource): void {
		const previous = this.#byId.get(upstream.id);
		this.#byId.set(upstream.id, upstream);
		this.#isIndexed = false;
		this.#changeCount++;
		if (previous !== undefined && previous.started !== upstream.started) {
			this.#log.write({event: 'upstream-restarted', upstream: upstream.id, ...describeSource(source)});
			this.#events.restarted(upstream.id);
		} else if (previous?.isDraining !== upstream.isDraining) {
			this.#log.write({
				event: 'upstream', upstream: upstream.id, service: upstream.service, domain: upstream.failureDomain, draining: upstream.isDraining, ...describeSource(source),
			});
		}

		this.#events.registered?.(upstream, previous, source);
	}

	/**
	 * @param id - Upstream whose registration is gone.
	 * @param source - Origin of the removal.
	 */
	unregister(id: string, source: RegistrationSource): void {
		const upstream = this.#byId.get(id);
		if (upstream !== undefined) {
			this.#byId.delete(id);
			this.#former.delete(id);
			this.#former.set(id, upstream);
			dropOldest(this.#former, maxFormer);
			this.#isIndexed = false;
			this.#changeCount++;
			this.#log.write({event: 'upstream-gone', upstream: id, ...describeSource(source)});
			this.#events.removed(id);
		}
	}

	/** Rebuilds the indexes once for all changes since they were last used: hundreds of upstreams may register at once. */
	#updateIndexes(): void {
		if (this.#isIndexed) {
			return;
		}

		this.#isIndexed = true;
		this.#byService.clear();
		this.#byAddress.clear();
		for (const upstream of this.#byId.values()) {
			this.#byAddress.set(`${upstream.address.host}:${upstream.address.port}`, upstream);
			const siblings = this.#byService.get(upstream.service) ?? [];
			siblings.push(upstream);
			this.#byService.set(upstream.service, siblings);
		}
	}
}

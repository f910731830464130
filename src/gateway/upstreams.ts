/** The upstreams that may be used, as they are registered now. */
import {type GatewayUpstream} from '../core/gateway/types.js';
import {type Log} from '../entry/logs.js';

export type UpstreamEvents = {
	/** It is another process than before. */
	readonly restarted: (id: string) => void;
	readonly gone: (id: string) => void;
};

/** Who told of a registration or its end, as of a revision of the store. */
export type Source
	= | {readonly type: 'peer'; readonly peer: string; readonly revision: number}
		| {readonly type: 'store'; readonly revision: number};

const none: readonly GatewayUpstream[] = [];

function describe(source: Source): Readonly<Record<string, unknown>> {
	return {source: source.type === 'store' ? 'store' : source.peer, revision: source.revision};
}

export class Upstreams {
	readonly #log: Pick<Log, 'write'>;
	readonly #events: UpstreamEvents;
	readonly #byId = new Map<string, GatewayUpstream>();
	readonly #byAddress = new Map<string, GatewayUpstream>();
	readonly #byService = new Map<string, GatewayUpstream[]>();
	/** Whether registrations have changed since the tables by address and service were made. */
	#isIndexed = true;

	/**
	 * @param log - Told of what changes.
	 * @param events - Told of upstreams that are not what they were.
	 */
	constructor(log: Pick<Log, 'write'>, events: UpstreamEvents) {
		this.#log = log;
		this.#events = events;
	}

	get size(): number {
		return this.#byId.size;
	}

	get all(): readonly GatewayUpstream[] {
		return [...this.#byId.values()];
	}

	/**
	 * @param id - Upstream.
	 * @returns The upstream, while it is registered.
	 */
	get(id: string): GatewayUpstream | undefined {
		return this.#byId.get(id);
	}

	/**
	 * @param address - Host and port, as text.
	 * @returns The upstream there.
	 */
	at(address: string): GatewayUpstream | undefined {
		this.#index();
		return this.#byAddress.get(address);
	}

	/**
	 * @param service - Service.
	 * @returns Its upstreams.
	 */
	of(service: string): readonly GatewayUpstream[] {
		this.#index();
		return this.#byService.get(service) ?? none;
	}

	/**
	 * @param upstream - Upstream as it is registered now.
	 * @param source - Who told.
	 */
	register(upstream: GatewayUpstream, source: Source): void {
		const before = this.#byId.get(upstream.id);
		this.#byId.set(upstream.id, upstream);
		this.#isIndexed = false;
		if (before !== undefined && before.started !== upstream.started) {
			this.#log.write({event: 'upstream-restarted', upstream: upstream.id, ...describe(source)});
			this.#events.restarted(upstream.id);
		} else if (before?.isDraining !== upstream.isDraining) {
			this.#log.write({
				event: 'upstream', upstream: upstream.id, service: upstream.service, domain: upstream.failureDomain, draining: upstream.isDraining, ...describe(source),
			});
		}
	}

	/**
	 * @param id - Upstream that is registered no more.
	 * @param source - Who told.
	 */
	unregister(id: string, source: Source): void {
		if (this.#byId.delete(id)) {
			this.#isIndexed = false;
			this.#log.write({event: 'upstream-gone', upstream: id, ...describe(source)});
			this.#events.gone(id);
		}
	}

	/** Makes the tables anew once for all changes since they were last used: hundreds of upstreams are registered at once. */
	#index(): void {
		if (this.#isIndexed) {
			return;
		}

		this.#isIndexed = true;
		this.#byService.clear();
		this.#byAddress.clear();
		for (const upstream of this.#byId.values()) {
			this.#byAddress.set(`${upstream.address.host}:${upstream.address.port}`, upstream);
			const known = this.#byService.get(upstream.service) ?? [];
			known.push(upstream);
			this.#byService.set(upstream.service, known);
		}
	}
}

/** Keeps the usable upstreams in sync with the platform's registry, as read from its store or received from peers. */
import {StoreOutages} from '../core/gateway/store-outages.js';
import {
	noDifference, Registry, type RegistryChange, type RegistryDifference,
} from '../core/gateway/registry.js';
import {type GatewayUpstream} from '../core/gateway/types.js';
import {type Log} from '../entry/logs.js';
import {type RegistrationSource, type Upstreams} from './upstreams.js';

export type RegistrationsOptions = {
	readonly upstreams: Upstreams;
	readonly log: Pick<Log, 'write'>;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
};

/** State of the registry that hosts send each other. */
export type RegistryUpdate = {
	/** Revision of the store up to which the sender knows every change. */
	readonly revision: number;
	/** Revision of the last change. */
	readonly changed: number;
	/** All upstreams registered as of the revision; absent if the receiver has the same. */
	readonly upstreams?: readonly GatewayUpstream[];
	/** Upstreams whose registration is gone and that the sender keeps in use, as it may merely have expired; absent means none. */
	readonly kept?: readonly string[];
};

/** An upstream whose registration is gone, perhaps only because it could not be renewed during an outage of the store. */
type ExpiringRegistration = {
	readonly source: RegistrationSource;
	readonly timer: NodeJS.Timeout;
};

const noIds: readonly string[] = [];

export class Registrations implements Disposable {
	readonly #options: RegistrationsOptions;
	readonly #registry = new Registry();
	readonly #expiryGrace = new StoreOutages();
	/** Upstreams kept in use until they register again or the grace period ends, by id. */
	readonly #expiring = new Map<string, ExpiringRegistration>();

	constructor(options: RegistrationsOptions) {
		this.#options = options;
	}

	/** Revision of the store up to which every change is known; 0 if none is. */
	get revision(): number {
		return this.#registry.revision;
	}

	/**
	 * @param revision - Revision of a peer's registry.
	 * @returns Update for the peer.
	 */
	createUpdate(revision: number): RegistryUpdate {
		const kept = this.#expiring.size === 0 ? undefined : [...this.#expiring.keys()];
		return this.#registry.isCurrent(revision)
			? {revision: this.#registry.revision, changed: this.#registry.changed, kept}
			: {...this.#registry.snapshot, kept};
	}

	/**
	 * Applies the next changes of the store.
	 *
	 * @param changes - Changes in the order of their revisions.
	 * @param revision - Revision of the store after them.
	 */
	applyChanges(changes: readonly RegistryChange[], revision: number): void {
		for (const change of changes) {
			const source = {type: 'store', revision: change.revision} as const;
			if (!this.#registry.apply(change)) {
				continue;
			}

			if (change.type === 'written') {
				this.#register(change.upstream, source);
			} else {
				this.#unregisterOrKeep(change.id, source);
			}
		}

		this.#registry.advance(revision);
	}

	/**
	 * Replaces the registry by a listing of the store.
	 *
	 * @param upstreams - All upstreams in the store.
	 * @param revision - Revision of the store that was listed.
	 */
	replaceAll(upstreams: readonly GatewayUpstream[], revision: number): void {
		const source = {type: 'store', revision} as const;
		const {written, removed} = this.#registry.reset({upstreams, revision, changed: revision});
		for (const id of removed) {
			this.#unregisterOrKeep(id, source);
		}

		this.#registerAll(written, source);
	}

	/**
	 * Merges an update of a peer into the registry.
	 *
	 * @param peer - Peer.
	 * @param update - Update.
	 */
	applyUpdate(peer: string, update: RegistryUpdate): void {
		const source = {type: 'peer', peer, revision: update.revision} as const;
		const kept = update.kept ?? noIds;
		const {written, removed} = this.#mergeUpdate(update);
		for (const id of removed) {
			if (kept.includes(id)) {
				this.#unregisterOrKeep(id, source);
			} else {
				this.#unregister(id, source);
			}
		}

		this.#registerAll(written, source);
		this.#unregisterUnkept(kept, source);
	}

	/** Records that the store doesn't answer. */
	recordStoreLost(): void {
		this.#expiryGrace.markLost();
	}

	/** Records that the store answers again. */
	recordStoreRegained(): void {
		this.#expiryGrace.markRegained(this.#options.now());
	}

	[Symbol.dispose](): void {
		for (const {timer} of this.#expiring.values()) {
			clearTimeout(timer);
		}
	}

	#mergeUpdate({upstreams, revision, changed}: RegistryUpdate): RegistryDifference {
		if (upstreams === undefined) {
			this.#registry.advance(revision);
			return noDifference;
		}

		return this.#registry.merge({upstreams, revision, changed});
	}

	#registerAll(upstreams: readonly GatewayUpstream[], source: RegistrationSource): void {
		for (const upstream of upstreams) {
			this.#register(upstream, source);
		}
	}

	#register(upstream: GatewayUpstream, source: RegistrationSource): void {
		this.#cancelExpiry(upstream.id);
		this.#options.upstreams.register(upstream, source);
	}

	#unregisterOrKeep(id: string, source: RegistrationSource): void {
		const {log, now} = this.#options;
		const delay = this.#expiryGrace.removalDelay(now());
		if (delay === 0) {
			this.#unregister(id, source);
		} else if (!this.#expiring.has(id)) {
			log.write({
				event: 'upstream-lapsing', upstream: id, revision: source.revision, wait: Math.round(delay),
			});
			const timer = setTimeout(() => {
				this.#unregister(id, source);
			}, delay);
			this.#expiring.set(id, {source, timer});
		}
	}

	/** Unregisters kept upstreams that a peer which knows of their removal doesn't keep: their registrations did not merely expire. */
	#unregisterUnkept(kept: readonly string[], source: RegistrationSource): void {
		for (const [id, expiring] of this.#expiring) {
			if (source.revision >= expiring.source.revision && !kept.includes(id)) {
				this.#unregister(id, source);
			}
		}
	}

	#unregister(id: string, source: RegistrationSource): void {
		this.#cancelExpiry(id);
		this.#options.upstreams.unregister(id, source);
	}

	/** Ends the grace period of an upstream, if one is running. */
	#cancelExpiry(id: string): void {
		clearTimeout(this.#expiring.get(id)?.timer);
		this.#expiring.delete(id);
	}
}

/** Keeps the usable upstreams in sync with the platform's registry, as read from its store or received from peers. */
import {findLastChanges} from '../../core/gateway/registry/registry-changes.js';
import {type StorePosition} from '../../core/gateway/registry/position.js';
import {StoreOutages} from '../../core/gateway/registry/store-outages.js';
import {
	noDifference, Registry, type RegistryChange, type RegistryDifference,
} from '../../core/gateway/registry/registry.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {type Log} from '../../entry/logs.js';
import {EvacuationReporter} from './evacuation-reporter.js';
import {ExpiringRegistrations} from './expiring-registrations.js';
import {type RegistryUpdate} from './registry-update.js';
import {StoreEras} from './store-eras.js';
import {type RegistrationSource, type Upstreams} from './upstreams.js';

export type RegistrationsOptions = {
	readonly upstreams: Upstreams;
	readonly log: Pick<Log, 'write'>;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** Called when the evacuation of a failure domain has ended. */
	readonly onEvacuationEnded?: (domain: string) => void;
};

/**
 * How long a registration is withheld that a backup of the store brought back after its removal. The platform removes one that isn't
 * renewed sooner.
 */
const withholdingMs = 8000;

const noIds: readonly string[] = [];

export class Registrations implements Disposable {
	readonly #options: RegistrationsOptions;
	readonly #registry = new Registry();
	readonly #expiryGrace = new StoreOutages();
	readonly #expiring: ExpiringRegistrations;
	readonly #eras: StoreEras;
	readonly #evacuations: EvacuationReporter;
	readonly #restoredListeners: Array<() => void> = [];
	/** Since when registrations are withheld; undefined if none are. */
	#withheldSince: number | undefined;

	constructor(options: RegistrationsOptions) {
		this.#options = options;
		this.#eras = new StoreEras(options.now);
		this.#expiring = new ExpiringRegistrations(options.log, (id, source) => {
			this.#unregister(id, source);
		});
		this.#evacuations = new EvacuationReporter({
			registry: this.#registry, upstreams: options.upstreams, log: options.log, onEnded: options.onEvacuationEnded,
		});
	}

	/** Failure domains that the operator has evacuated. */
	get evacuatedDomains(): readonly string[] {
		return this.#registry.evacuated;
	}

	/**
	 * @param domain - Failure domain.
	 * @returns Whether the operator has evacuated it.
	 */
	isEvacuated(domain: string): boolean {
		return this.#registry.isEvacuated(domain);
	}

	/** Position of the store up to which every change is known; its revision is 0 if none is. */
	get position(): StorePosition {
		return this.#registry.position;
	}

	/** Highest era of the store that is known, which the registry may not have reached yet. */
	get era(): number {
		return this.#eras.era;
	}

	/**
	 * Era to assume for a peer that reports none: the present one, until the store returns from a backup, which such a peer doesn't notice.
	 */
	get assumedEra(): number {
		return this.#expiryGrace.hasBeenRestored ? 0 : this.#eras.era;
	}

	/** Milliseconds since the highest era was first known, here or at the peer that reported it; undefined if the store reports none. */
	get eraAge(): number | undefined {
		return this.#eras.age;
	}

	/** Whether the registry is as of an earlier era of the store, so that its content must be read again. */
	get isFromEarlierEra(): boolean {
		return this.#registry.position.era < this.#eras.era;
	}

	/**
	 * Records an era of the store. A higher one than before means that the store has returned from a backup, and may lack what it
	 * acknowledged last.
	 *
	 * @param era - Era in an answer of the store or in a message of a peer.
	 * @param source - Where it was found, for the log.
	 * @param age - Milliseconds for which the source has known it.
	 */
	recordEra(era: number, source: string, age = 0): void {
		const previous = this.#eras.era;
		if (!this.#eras.record(era, age) || this.#registry.position.revision === 0) {
			return;
		}

		this.#options.log.write({
			event: 'store-restored', era, before: previous, revision: this.#registry.position.revision, source,
		}, 'warn');
		this.#expiryGrace.markRestored(this.#eras.since);
		this.#withheldSince = undefined;
		for (const listener of this.#restoredListeners) {
			listener();
		}
	}

	/**
	 * @param listener - Called whenever the store has returned from a backup.
	 */
	onRestored(listener: () => void): void {
		this.#restoredListeners.push(listener);
	}

	/**
	 * @param at - Monotonic time in milliseconds.
	 * @returns Whether the store was still missing, at that time, what is written to it again after its return from a backup.
	 */
	isStoreBeingRewritten(at: number): boolean {
		return this.#expiryGrace.isBeingRewritten(at);
	}

	/**
	 * @param position - Position of a peer's registry.
	 * @returns Update for the peer.
	 */
	createUpdate(position: StorePosition): RegistryUpdate {
		const {ids} = this.#expiring;
		const kept = ids.length === 0 ? undefined : ids;
		return this.#registry.isCurrent(position)
			? {
				...this.#registry.position, eraAge: this.eraAge, changed: this.#registry.changed, kept,
			}
			: {...this.#registry.snapshot, eraAge: this.eraAge, kept};
	}

	/**
	 * Applies the next changes of the store: of each upstream and failure domain the last one, so that none is used for a moment that is
	 * already over.
	 *
	 * @param changes - Changes in the order of their revisions.
	 * @param position - Position of the store after them.
	 */
	applyChanges(changes: readonly RegistryChange[], position: StorePosition): void {
		for (const change of findLastChanges(changes)) {
			const source = {type: 'store', era: change.era, revision: change.revision} as const;
			if (!this.#registry.apply(change)) {
				continue;
			}

			if (change.type === 'written') {
				this.#register(change.upstream, source);
			} else if (change.type === 'removed') {
				this.#unregisterOrKeep(change.id, source, false);
			}
		}

		this.#registry.advance(position);
		this.#releaseOverdue({type: 'store', ...position});
		this.#updateEvacuations({type: 'store', ...position});
		this.#evacuations.reportExcess(changes.flatMap(change => change.type === 'evacuated' ? [change.domain] : []));
	}

	/**
	 * Replaces the registry by a listing of the store.
	 *
	 * @param upstreams - All upstreams in the store.
	 * @param position - Position of the store that was listed.
	 * @param evacuated - Evacuated failure domains in the store.
	 */
	replaceAll(upstreams: readonly GatewayUpstream[], position: StorePosition, evacuated: readonly string[] = []): void {
		this.recordEra(position.era, 'store');
		const source = {type: 'store', ...position} as const;
		const {isFromEarlierEra} = this;
		const {written, removed} = this.#registry.reset({
			...position, upstreams, evacuated, changed: position.revision,
		});
		for (const id of removed) {
			this.#unregisterOrKeep(id, source, isFromEarlierEra);
		}

		this.#registerAll(written, source);
		this.#releaseOverdue(source);
		this.#updateEvacuations(source);
		this.#evacuations.reportExcess(evacuated);
	}

	/**
	 * Merges an update of a peer into the registry.
	 *
	 * @param peer - Peer.
	 * @param update - Update.
	 * @returns Whether it is as of the present era of the store. One of an earlier era is ignored.
	 */
	applyUpdate(peer: string, update: RegistryUpdate): boolean {
		this.recordEra(update.era, peer, update.eraAge);
		const {isFromEarlierEra} = this;
		if (update.era < this.#eras.era || (isFromEarlierEra && update.upstreams === undefined)) {
			return false;
		}

		const source = {
			type: 'peer', peer, era: update.era, revision: update.revision,
		} as const;
		const kept = update.kept ?? noIds;
		const {written, removed} = this.#mergeUpdate(update);
		for (const id of removed) {
			if (isFromEarlierEra || kept.includes(id)) {
				this.#unregisterOrKeep(id, source, isFromEarlierEra);
			} else {
				this.#unregister(id, source);
			}
		}

		this.#registerAll(written, source);
		this.#unregisterUnkept(kept, source);
		this.#releaseOverdue(source);
		this.#updateEvacuations(source);
		return true;
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
		this.#evacuations[Symbol.dispose]();
		this.#expiring[Symbol.dispose]();
	}

	#updateEvacuations(source: RegistrationSource): void {
		this.#evacuations.update(source, this.#expiryGrace.restoredRemovalDelay(this.#options.now()));
	}

	#mergeUpdate(update: RegistryUpdate): RegistryDifference {
		const {upstreams} = update;
		if (upstreams === undefined) {
			this.#registry.advance(update);
			return noDifference;
		}

		return this.#registry.merge({...update, upstreams});
	}

	/** Makes withheld upstreams usable whose registrations are still there after a while. */
	#releaseOverdue(source: RegistrationSource): void {
		if (!this.#registry.hasWithheld) {
			this.#withheldSince = undefined;
			return;
		}

		this.#withheldSince ??= this.#options.now();
		if (this.#options.now() - this.#withheldSince > withholdingMs) {
			this.#registerAll(this.#registry.releaseWithheld(), source);
		}
	}

	#registerAll(upstreams: readonly GatewayUpstream[], source: RegistrationSource): void {
		for (const upstream of upstreams) {
			this.#register(upstream, source);
		}
	}

	#register(upstream: GatewayUpstream, source: RegistrationSource): void {
		this.#expiring.cancel(upstream.id);
		this.#options.upstreams.register(upstream, source);
	}

	#unregisterOrKeep(id: string, source: RegistrationSource, isFromEarlierEra: boolean): void {
		const now = this.#options.now();
		const delay = isFromEarlierEra ? this.#expiryGrace.restoredRemovalDelay(now) : this.#expiryGrace.removalDelay(now);
		if (delay === 0) {
			this.#unregister(id, source);
		} else {
			this.#expiring.keep({id, source, isFromEarlierEra}, delay);
		}
	}

	/** Unregisters kept upstreams that a peer which knows of their removal doesn't keep: their registrations did not merely expire. */
	#unregisterUnkept(kept: readonly string[], source: RegistrationSource): void {
		for (const id of this.#expiring.findUnkept(kept, source)) {
			this.#unregister(id, source);
		}
	}

	#unregister(id: string, source: RegistrationSource): void {
		this.#expiring.cancel(id);
		this.#options.upstreams.unregister(id, source);
	}
}

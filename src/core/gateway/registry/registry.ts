/** Replica of the platform's registry of upstreams, as of one position in the history of its store. */
import {type GatewayUpstream} from '../types.js';
import {Evacuations} from './evacuations.js';
import {isAfter, noPosition, type StorePosition} from './position.js';
import {isOutdatedRegistration} from './registration-order.js';
import {Removals} from './removals.js';

/** Write or removal of an upstream, or of the order to evacuate a failure domain, at a position of the store. */
export type RegistryChange
	= | StorePosition & {readonly type: 'evacuated'; readonly domain: string}
		| StorePosition & {readonly type: 'evacuation-ended'; readonly domain: string}
		| StorePosition & {readonly type: 'removed'; readonly id: string}
		| StorePosition & {readonly type: 'written'; readonly upstream: GatewayUpstream};

/** All registered upstreams as of a position. */
export type RegistrySnapshot = StorePosition & {
	readonly upstreams: readonly GatewayUpstream[];
	/** Registrations that a backup of the store brought back after their removal; absent means none. */
	readonly withheld?: readonly GatewayUpstream[];
	/** Evacuated failure domains; absent from a host that doesn't know of evacuations, which leaves those known here in effect. */
	readonly evacuated?: readonly string[];
	/** Revision of the last change, or a later one up to `revision`, in the same era. */
	readonly changed: number;
};

/** What a snapshot changed. */
export type RegistryDifference = {
	readonly written: readonly GatewayUpstream[];
	readonly removed: readonly string[];
};

export const noDifference: RegistryDifference = {written: [], removed: []};

/** An upstream may become cold again while it runs, for the same time as before. One that goes on stating an invalid time adds no information. */
function isEquallyCold(a: GatewayUpstream, b: GatewayUpstream): boolean {
	const isWarm = b.coldRemaining === undefined && b.isColdTimeUnknown !== true;
	const isRepeatedUnknown = a.isColdTimeUnknown === true && b.isColdTimeUnknown === true;
	return isWarm || isRepeatedUnknown || (a.coldRemaining === b.coldRemaining && a.isColdTimeUnknown === b.isColdTimeUnknown && a.sequence === b.sequence);
}

function isEqual(a: GatewayUpstream | undefined, b: GatewayUpstream): boolean {
	return a?.service === b.service
		&& a.address.host === b.address.host
		&& a.address.port === b.address.port
		&& a.failureDomain === b.failureDomain
		&& a.slots === b.slots
		&& a.isDraining === b.isDraining
		&& a.started === b.started
		&& isEquallyCold(a, b);
}

/**
 * Replica that only moves forward: changes and snapshots of peers that are not newer than its position are ignored, whichever host sent
 * them and whenever they were confirmed. When the store returns from a backup, the replica keeps what it knows to be newer: an upstream
 * that drains stays draining, and one that was removed is withheld, until they register again.
 */
export class Registry {
	readonly #upstreams = new Map<string, GatewayUpstream>();
	readonly #withheld = new Map<string, GatewayUpstream>();
	readonly #removals = new Removals();
	readonly #evacuations = new Evacuations();
	#position = noPosition;
	#changed = 0;
	/** Whether the store has returned from a backup, so that a listing may have outdated registrations. */
	#hasReturned = false;

	/** Position up to which every change is known. */
	get position(): StorePosition {
		return this.#position;
	}

	/** Revision of the last change. */
	get changed(): number {
		return this.#changed;
	}

	get snapshot(): RegistrySnapshot {
		return {
			...this.#position,
			changed: this.#changed,
			upstreams: [...this.#upstreams.values()],
			evacuated: this.#evacuations.ordered,
			...(this.hasWithheld && {withheld: [...this.#withheld.values()]}),
		};
	}

	/** Whether registrations are withheld. */
	get hasWithheld(): boolean {
		return this.#withheld.size > 0;
	}

	/** Evacuated failure domains. */
	get evacuated(): readonly string[] {
		return this.#evacuations.all;
	}

	/** Whether evacuations are in effect whose orders were lost when the store returned from a backup. */
	get hasRetainedEvacuations(): boolean {
		return this.#evacuations.hasRetained;
	}

	/**
	 * @param domain - Failure domain.
	 * @returns Whether it is evacuated.
	 */
	isEvacuated(domain: string): boolean {
		return this.#evacuations.has(domain);
	}

	/**
	 * @param position - Position of another host's registry.
	 * @returns Whether that registry includes the last change known here.
	 */
	isCurrent({era, revision}: StorePosition): boolean {
		return !isAfter({era: this.#position.era, revision: this.#changed}, {era, revision});
	}

	/**
	 * @param change - Next change in the history of the store. Ignored if it belongs to another era than the replica.
	 * @returns Whether it changed the usable upstreams.
	 */
	apply(change: RegistryChange): boolean {
		if (change.era !== this.#position.era || change.revision <= this.#position.revision) {
			return false;
		}

		if (change.type === 'evacuated' || change.type === 'evacuation-ended') {
			this.#applyEvacuation(change.domain, change.type === 'evacuated', change.revision);
			return false;
		}

		const wasWithheld = this.#withheld.delete(change.type === 'removed' ? change.id : change.upstream.id);
		const hasChanged = change.type === 'removed' ? this.#remove(change.id) : this.#write({...change.upstream, era: change.era === 0 ? undefined : change.era});
		if (hasChanged || wasWithheld) {
			this.#changed = change.revision;
		}

		return hasChanged;
	}

	/**
	 * @param position - Position up to which every change was applied. Ignored if it belongs to another era than the replica.
	 */
	advance({era, revision}: StorePosition): void {
		if (era === this.#position.era) {
			this.#position = {era, revision: Math.max(this.#position.revision, revision)};
		}
	}

	/**
	 * @param snapshot - Snapshot of a peer. Ignored if it is not newer.
	 * @returns What it changed here.
	 */
	merge(snapshot: RegistrySnapshot): RegistryDifference {
		return isAfter(snapshot, this.#position) ? this.#replace(snapshot) : noDifference;
	}

	/**
	 * @param snapshot - Content of the store. Ignored if it is older; but a store that reports no era may have gone back to a lower
	 * revision unnoticed, and its content replaces the replica.
	 * @returns What it changed here.
	 */
	reset(snapshot: RegistrySnapshot): RegistryDifference {
		const isWithoutEras = snapshot.era === 0 && this.#position.era === 0;
		return isWithoutEras || !isAfter(this.#position, snapshot) ? this.#replace(snapshot) : noDifference;
	}

	/**
	 * Makes withheld upstreams usable: the registration of one that has ended would have expired by now.
	 *
	 * @returns The upstreams.
	 */
	releaseWithheld(): readonly GatewayUpstream[] {
		const released = [...this.#withheld.values()];
		this.#withheld.clear();
		for (const upstream of released) {
			this.#write(upstream);
		}

		return released;
	}

	/** Ends the evacuations whose orders were not written again after the store's return from a backup. */
	endRetainedEvacuations(): void {
		this.#evacuations.endRetained();
	}

	#applyEvacuation(domain: string, isOrdered: boolean, revision: number): void {
		const hasChanged = isOrdered ? this.#evacuations.order(domain) : this.#evacuations.revoke(domain);
		if (hasChanged) {
			this.#changed = revision;
		}
	}

	#replace(snapshot: RegistrySnapshot): RegistryDifference {
		const listed = this.#reconcile(snapshot);
		const written = [...listed.values()].filter(upstream => !isEqual(this.#upstreams.get(upstream.id), upstream));
		const removed = [...this.#upstreams.values()].filter(({id}) => !listed.has(id));
		for (const upstream of removed) {
			this.#upstreams.delete(upstream.id);
			this.#removals.add(upstream, this.#withheld.has(upstream.id) ? snapshot.era - 1 : snapshot.era);
		}

		for (const upstream of listed.values()) {
			this.#write(upstream);
		}

		if (snapshot.evacuated !== undefined) {
			this.#evacuations.replace(snapshot.evacuated, snapshot.era !== this.#position.era);
		}

		this.#position = {era: snapshot.era, revision: snapshot.revision};
		this.#changed = snapshot.changed;
		return {written, removed: removed.map(({id}) => id)};
	}

	/** Returns the usable upstreams of a snapshot, each as known here if that is newer, and withholds the others. */
	#reconcile({era, upstreams, withheld = []}: RegistrySnapshot): ReadonlyMap<string, GatewayUpstream> {
		const isNewEra = era !== this.#position.era;
		this.#hasReturned ||= isNewEra && this.#position.revision > 0;
		const listed = new Map<string, GatewayUpstream>();
		this.#withheld.clear();
		for (const upstream of withheld) {
			this.#withheld.set(upstream.id, upstream);
		}

		for (const upstream of upstreams) {
			const known = this.#upstreams.get(upstream.id);
			if (known !== undefined) {
				const isOutdated = this.#hasReturned && isOutdatedRegistration(upstream, known, {era, isNewEra});
				listed.set(upstream.id, isOutdated ? known : upstream);
			} else if (this.#removals.isUndone(upstream, era)) {
				this.#withheld.set(upstream.id, upstream);
			} else {
				listed.set(upstream.id, upstream);
			}
		}

		return listed;
	}

	#remove(id: string): boolean {
		const upstream = this.#upstreams.get(id);
		if (upstream === undefined) {
			return false;
		}

		this.#removals.add(upstream, this.#position.era);
		return this.#upstreams.delete(id);
	}

	#write(upstream: GatewayUpstream): boolean {
		const hasChanged = !isEqual(this.#upstreams.get(upstream.id), upstream);
		this.#upstreams.set(upstream.id, upstream);
		this.#removals.delete(upstream.id);
		return hasChanged;
	}
}

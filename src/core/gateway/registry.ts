/** Replica of the platform's registry of upstreams, as of one revision of its store. */
import {type GatewayUpstream} from './types.js';

/** Write or removal of an upstream at a revision of the store. */
export type RegistryChange
	= | {readonly type: 'removed'; readonly id: string; readonly revision: number}
		| {readonly type: 'written'; readonly upstream: GatewayUpstream; readonly revision: number};

/** All registered upstreams as of a revision. */
export type RegistrySnapshot = {
	readonly upstreams: readonly GatewayUpstream[];
	readonly revision: number;
	/** Revision of the last change, or a later one up to `revision`. */
	readonly changed: number;
};

/** What a snapshot changed. */
export type RegistryDifference = {
	readonly written: readonly GatewayUpstream[];
	readonly removed: readonly string[];
};

export const noDifference: RegistryDifference = {written: [], removed: []};

function isEqual(a: GatewayUpstream | undefined, b: GatewayUpstream): boolean {
	return a?.service === b.service
		&& a.address.host === b.address.host
		&& a.address.port === b.address.port
		&& a.failureDomain === b.failureDomain
		&& a.slots === b.slots
		&& a.isDraining === b.isDraining
		&& a.started === b.started;
}

/**
 * Replica that only moves forward: changes and snapshots of peers that are not newer than its revision are ignored, whichever host sent
 * them and whenever they were confirmed.
 */
export class Registry {
	readonly #upstreams = new Map<string, GatewayUpstream>();
	#revision = 0;
	#changed = 0;

	/** Revision up to which every change is known; 0 initially. */
	get revision(): number {
		return this.#revision;
	}

	/** Revision of the last change. */
	get changed(): number {
		return this.#changed;
	}

	get snapshot(): RegistrySnapshot {
		return {upstreams: [...this.#upstreams.values()], revision: this.#revision, changed: this.#changed};
	}

	/**
	 * @param revision - Revision of another host's registry.
	 * @returns Whether that registry includes the last change known here.
	 */
	isCurrent(revision: number): boolean {
		return revision >= this.#changed;
	}

	/**
	 * @param change - Next change in the history of the store.
	 * @returns Whether it changed anything.
	 */
	apply(change: RegistryChange): boolean {
		if (change.revision <= this.#revision || !this.#write(change)) {
			return false;
		}

		this.#changed = change.revision;
		return true;
	}

	/**
	 * @param revision - Revision up to which every change was applied.
	 */
	advance(revision: number): void {
		this.#revision = Math.max(this.#revision, revision);
	}

	/**
	 * @param snapshot - Snapshot of a peer. Ignored if it is not newer.
	 * @returns What it changed here.
	 */
	merge(snapshot: RegistrySnapshot): RegistryDifference {
		return snapshot.revision > this.#revision ? this.reset(snapshot) : noDifference;
	}

	/**
	 * @param snapshot - Content of the store. Replaces the replica even if its revision is older.
	 * @returns What it changed here.
	 */
	reset({upstreams, revision, changed}: RegistrySnapshot): RegistryDifference {
		const ids = new Set(upstreams.map(upstream => upstream.id));
		const written = upstreams.filter(upstream => !isEqual(this.#upstreams.get(upstream.id), upstream));
		const removed = [...this.#upstreams.keys()].filter(id => !ids.has(id));
		for (const upstream of written) {
			this.#upstreams.set(upstream.id, upstream);
		}

		for (const id of removed) {
			this.#upstreams.delete(id);
		}

		this.#revision = revision;
		this.#changed = changed;
		return {written, removed};
	}

	#write(change: RegistryChange): boolean {
		if (change.type === 'removed') {
			return this.#upstreams.delete(change.id);
		}

		const {upstream} = change;
		if (isEqual(this.#upstreams.get(upstream.id), upstream)) {
			return false;
		}

		this.#upstreams.set(upstream.id, upstream);
		return true;
	}
}

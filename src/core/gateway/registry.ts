/** The upstreams that are registered at the platform, as of one revision of its store. */
import {type GatewayUpstream} from './types.js';

/** An upstream that was written or removed at a revision of the store. */
export type RegistryChange
	= | {readonly type: 'removed'; readonly id: string; readonly revision: number}
		| {readonly type: 'written'; readonly upstream: GatewayUpstream; readonly revision: number};

/** All that was registered as of a revision. */
export type RegistrySnapshot = {
	readonly upstreams: readonly GatewayUpstream[];
	readonly revision: number;
	/** Revision of the last change, or a later one that is not after `revision`. */
	readonly changed: number;
};

/** What a snapshot changes. */
export type RegistryDifference = {
	readonly written: readonly GatewayUpstream[];
	readonly removed: readonly string[];
};

/** What changes nothing. */
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
 * A replica that only moves forward: what is not newer than its revision changes nothing, whoever tells it and whenever that was
 * confirmed.
 */
export class Registry {
	readonly #upstreams = new Map<string, GatewayUpstream>();
	#revision = 0;
	#changed = 0;

	/** Revision up to which each change is known; 0 before anything is. */
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
	 * @param revision - Revision that another host's registry has.
	 * @returns Whether that registry holds the same upstreams, as far as this one knows.
	 */
	isCurrent(revision: number): boolean {
		return revision >= this.#changed;
	}

	/**
	 * @param change - Next change in the history of the store.
	 * @returns Whether it changes anything.
	 */
	apply(change: RegistryChange): boolean {
		if (change.revision <= this.#revision || !this.#write(change)) {
			return false;
		}

		this.#changed = change.revision;
		return true;
	}

	/**
	 * @param revision - Revision up to which each change was applied.
	 */
	advance(revision: number): void {
		this.#revision = Math.max(this.#revision, revision);
	}

	/**
	 * @param snapshot - What a peer has.
	 * @returns What it changes here: nothing if it is not newer.
	 */
	merge(snapshot: RegistrySnapshot): RegistryDifference {
		return snapshot.revision > this.#revision ? this.reset(snapshot) : noDifference;
	}

	/**
	 * @param snapshot - What the store holds, which counts whatever was known.
	 * @returns What it changes here.
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

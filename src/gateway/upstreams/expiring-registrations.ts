/**
 * Keeps upstreams in use for a while whose registration is gone, perhaps only because it could not be renewed during an outage of the store.
 */
import {isAfter, type StorePosition} from '../../core/gateway/registry/position.js';
import {type Log} from '../../entry/logs.js';
import {type RegistrationSource} from './upstreams.js';

type ExpiringRegistration = {
	readonly source: RegistrationSource;
	/** Whether it is missing from a backup, so that a peer that lacks it may never have known it. */
	readonly isFromEarlierEra: boolean;
	readonly timer: NodeJS.Timeout;
};

/** A registration that is gone. */
export type MissingRegistration = {
	readonly id: string;
	/** Origin of its removal. */
	readonly source: RegistrationSource;
	/** Whether it is missing from a backup of the store. */
	readonly isFromEarlierEra: boolean;
};

export class ExpiringRegistrations implements Disposable {
	readonly #log: Pick<Log, 'write'>;
	readonly #onExpired: (id: string, source: RegistrationSource) => void;
	/** Upstreams kept in use until they register again or the grace period ends, by id. */
	readonly #expiring = new Map<string, ExpiringRegistration>();

	/**
	 * @param log - Log of the upstreams that are kept.
	 * @param onExpired - Called at the end of the grace period of an upstream that has not registered again.
	 */
	constructor(log: Pick<Log, 'write'>, onExpired: (id: string, source: RegistrationSource) => void) {
		this.#log = log;
		this.#onExpired = onExpired;
	}

	/** Ids of the upstreams that are kept in use. */
	get ids(): readonly string[] {
		return [...this.#expiring.keys()];
	}

	/**
	 * Keeps an upstream in use; no effect if it is kept already.
	 *
	 * @param missing - Its registration.
	 * @param delay - Grace period in milliseconds.
	 */
	keep({id, source, isFromEarlierEra}: MissingRegistration, delay: number): void {
		if (this.#expiring.has(id)) {
			return;
		}

		this.#log.write({
			event: 'upstream-lapsing', upstream: id, era: source.era, revision: source.revision, wait: Math.round(delay),
		});
		const timer = setTimeout(() => {
			this.#expiring.delete(id);
			this.#onExpired(id, source);
		}, delay);
		this.#expiring.set(id, {source, isFromEarlierEra, timer});
	}

	/**
	 * @param kept - Upstreams that a peer keeps in use.
	 * @param position - Position of the peer's registry.
	 * @returns The upstreams that only this host keeps though the peer knows of their removal: their registrations did not merely expire.
	 */
	findUnkept(kept: readonly string[], position: StorePosition): readonly string[] {
		return [...this.#expiring]
			.filter(([id, {source, isFromEarlierEra}]) => !isFromEarlierEra && !isAfter(source, position) && !kept.includes(id))
			.map(([id]) => id);
	}

	/**
	 * Ends the grace period of an upstream, if one is running.
	 *
	 * @param id - Upstream.
	 */
	cancel(id: string): void {
		clearTimeout(this.#expiring.get(id)?.timer);
		this.#expiring.delete(id);
	}

	[Symbol.dispose](): void {
		for (const {timer} of this.#expiring.values()) {
			clearTimeout(timer);
		}
	}
}

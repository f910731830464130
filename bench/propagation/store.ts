/**
 * The platform's store in virtual time: upstreams register, write heartbeats and leave; hosts read them unless it rejects their calls. It
 * may return from a backup, and upstreams then write their registrations again.
 */
import {registrationPrefix} from '../../platform/registration.js';
import {raise, type Random} from '../../src/core/index.js';
import {
	responseTimeoutMs, type Change, type Page, type WatchResult,
} from '../../platform/store.js';

export const answerTimeMs = 4;
const historyTimeMs = 20_000;
const heartbeatIntervalMs = 1200;

/** Time after the return from a backup within which everything is written again. */
const rewriteTimeMs = 2000;

/** A restored registration that is not renewed is removed after this time. */
const expiryMs = 3 * heartbeatIntervalMs;

type Registration = {
	isDraining: boolean;
	/** Number of writes so far. */
	sequence: number;
	timer: NodeJS.Timeout;
};

type HistoryEntry = {
	readonly at: number;
	readonly change: Change;
	/** Item that the change replaced. */
	readonly previous?: Change;
};

/** Resolves after some milliseconds of virtual time. */
export async function wait(time: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, time);
	});
}

export class SimulatedStore {
	/** How calls fail while the store is away; undefined while it serves. */
	absence: 'rejecting' | 'silent' | undefined;
	/** Rises with each return from a backup. */
	era = 1;
	/** When the store acknowledged that an upstream drains or is removed, by id. */
	readonly left = new Map<string, number>();
	/** When the store acknowledged that an upstream is ready, by id. */
	readonly ready = new Map<string, number>();
	readonly #items = new Map<string, Change>();
	readonly #registrations = new Map<string, Registration>();
	#history: HistoryEntry[] = [];
	#revision = 100;

	/**
	 * @param id - Upstream that registers and writes heartbeats from now on.
	 */
	register(id: string): void {
		const timer = setInterval(() => {
			this.#write(id);
		}, heartbeatIntervalMs);
		this.#registrations.set(id, {
			isDraining: false, sequence: 0, timer,
		});
		this.#write(id);
		this.ready.set(id, performance.now());
	}

	/**
	 * @param id - Upstream that registers as draining and continues to write heartbeats.
	 */
	drain(id: string): void {
		const registration = this.#registrations.get(id);
		if (registration !== undefined && !registration.isDraining) {
			registration.isDraining = true;
			this.#write(id);
			this.left.set(id, performance.now());
			this.ready.delete(id);
		}
	}

	/**
	 * @param id - Upstream whose registration is deleted.
	 */
	remove(id: string): void {
		const registration = this.#registrations.get(id);
		if (registration === undefined) {
			return;
		}

		clearInterval(registration.timer);
		this.#registrations.delete(id);
		this.#delete(registrationPrefix + id);
		this.ready.delete(id);
		if (!this.left.has(id)) {
			this.left.set(id, performance.now());
		}
	}

	/**
	 * Returns from a backup in a new era. Upstreams write their registrations again in any order; those that have left are removed again
	 * or expire.
	 *
	 * @param backupAge - Milliseconds since the backup was made.
	 * @param random - Chooses when each key is written again.
	 */
	restore(backupAge: number, random: Random): void {
		const now = performance.now();
		const backupAt = now - backupAge;
		while (this.#history.length > 0 && this.#history.at(-1)!.at > backupAt) {
			this.#undo(this.#history.pop()!);
		}

		this.era++;
		const rewrites = new Map([...this.#registrations.keys()].map(id => [id, random.integer(1, rewriteTimeMs)]));
		for (const [id, delay] of rewrites) {
			setTimeout(() => {
				this.#write(id);
			}, delay);
		}

		for (const key of this.#items.keys()) {
			const id = key.slice(registrationPrefix.length);
			if (!this.#registrations.has(id)) {
				const delay = random.integer(0, 1) === 0 ? expiryMs : random.integer(1, rewriteTimeMs);
				rewrites.set(id, delay);
				setTimeout(() => {
					this.#delete(key);
				}, delay);
			}
		}

		for (const acknowledged of [this.left, this.ready]) {
			for (const [id, at] of acknowledged) {
				if (at > backupAt) {
					acknowledged.set(id, now + (rewrites.get(id) ?? 0));
				}
			}
		}
	}

	/**
	 * @param prefix - Prefix of the keys to read.
	 * @returns All of their items, in one page.
	 */
	async range(prefix: string): Promise<Page> {
		await wait(answerTimeMs / 2);
		await this.#checkServing(0);
		const page = {
			items: [...this.#items.values()].filter(item => item.key.startsWith(prefix)), hasMore: false, revision: this.#revision, era: this.era,
		};
		await wait(answerTimeMs / 2);
		return page;
	}

	/**
	 * @param after - Revision after which changes are returned.
	 * @param maxWait - Milliseconds to wait for the first change.
	 * @returns The changes.
	 */
	async watch(after: number, maxWait: number): Promise<WatchResult> {
		await wait(answerTimeMs / 2);
		await this.#checkServing(maxWait);
		const oldest = performance.now() - historyTimeMs;
		const compactedRevision = this.#history.findLast(({at}) => at < oldest)?.change.revision ?? 0;
		if (after < compactedRevision || after > this.#revision) {
			return {type: 'compacted', era: this.era};
		}

		const {era} = this;
		const end = performance.now() + maxWait;
		while (this.#revision <= after && this.era === era && performance.now() < end) {
			await wait(10);
			await this.#checkServing(maxWait);
		}

		if (this.era !== era) {
			return raise('storeUnavailable', 'connection reset');
		}

		const changes = this.#history.map(({change}) => change).filter(change => change.revision > after);
		const watched: WatchResult = {
			type: 'changes', changes, revision: this.#revision, era,
		};
		await wait(answerTimeMs / 2);
		return watched;
	}

	/** Stops the heartbeats. */
	stop(): void {
		for (const {timer} of this.#registrations.values()) {
			clearInterval(timer);
		}
	}

	#write(id: string): void {
		const registration = this.#registrations.get(id);
		if (registration === undefined || this.absence !== undefined) {
			return;
		}

		registration.sequence++;
		const key = registrationPrefix + id;
		const value = JSON.stringify({
			Service: 'model', Address: '127.0.0.1:9000', Zone: 'a', Slots: 8, State: registration.isDraining ? 'draining' : 'ready', born: 1, Sequence: registration.sequence,
		});
		const change: Change = {
			type: 'written', key, value, revision: this.#incrementRevision(),
		};
		const previous = this.#items.get(key);
		this.#items.set(key, change);
		this.#record(change, previous);
	}

	#delete(key: string): void {
		const previous = this.#items.get(key);
		if (previous !== undefined) {
			this.#items.delete(key);
			this.#record({type: 'deleted', key, revision: this.#incrementRevision()}, previous);
		}
	}

	#undo({change, previous}: HistoryEntry): void {
		this.#revision = change.revision - 1;
		if (previous === undefined) {
			this.#items.delete(change.key);
		} else {
			this.#items.set(change.key, previous);
		}
	}

	/** Fails a call while the store is away. */
	async #checkServing(maxWait: number): Promise<void> {
		if (this.absence === undefined) {
			return;
		}

		if (this.absence === 'silent') {
			await wait(maxWait + responseTimeoutMs);
		}

		raise('storeUnavailable', 'the store is away');
	}

	#incrementRevision(): number {
		this.#revision++;
		return this.#revision;
	}

	#record(change: Change, previous: Change | undefined): void {
		this.#history.push({at: performance.now(), change, previous});
		const oldest = performance.now() - (2 * historyTimeMs);
		this.#history = this.#history.filter(({at}) => at > oldest);
	}
}

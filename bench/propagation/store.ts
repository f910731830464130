/** The platform's store in virtual time: upstreams register, write heartbeats and leave; hosts read them unless it rejects their calls. */
import {raise} from '../../src/core/index.js';
import {type Change, type Page, type WatchResult} from '../../platform/store.js';

const answerTimeMs = 4;
const historyTimeMs = 20_000;
const heartbeatIntervalMs = 1200;

type Registration = {
	readonly key: string;
	isDraining: boolean;
	timer: NodeJS.Timeout;
};

type HistoryEntry = {readonly at: number; readonly change: Change};

async function wait(time: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, time);
	});
}

export class SimulatedStore {
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
		const key = `servers/${id}`;
		const timer = setInterval(() => {
			this.#write(id);
		}, heartbeatIntervalMs);
		this.#registrations.set(id, {key, isDraining: false, timer});
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
		this.#items.delete(registration.key);
		this.#record({type: 'deleted', key: registration.key, revision: this.#incrementRevision()});
		this.ready.delete(id);
		if (!this.left.has(id)) {
			this.left.set(id, performance.now());
		}
	}

	/**
	 * @param prefix - Prefix of the keys to read.
	 * @returns All of their items, in one page.
	 */
	async range(prefix: string): Promise<Page> {
		await wait(answerTimeMs / 2);
		const page = {items: [...this.#items.values()].filter(item => item.key.startsWith(prefix)), hasMore: false, revision: this.#revision};
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
		const oldest = performance.now() - historyTimeMs;
		const compactedRevision = this.#history.findLast(({at}) => at < oldest)?.change.revision ?? 0;
		if (after < compactedRevision) {
			return {type: 'compacted'};
		}

		const end = performance.now() + maxWait;
		while (this.#revision <= after && performance.now() < end) {
			await wait(10);
		}

		const changes = this.#history.map(({change}) => change).filter(change => change.revision > after);
		const watched: WatchResult = {type: 'changes', changes, revision: this.#revision};
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
		if (registration === undefined) {
			return;
		}

		const value = JSON.stringify({
			Service: 'model', Address: '127.0.0.1:9000', Zone: 'a', Slots: 8, State: registration.isDraining ? 'draining' : 'ready', born: 1, Sequence: this.#revision,
		});
		const change: Change = {
			type: 'written', key: registration.key, value, revision: this.#incrementRevision(),
		};
		this.#items.set(registration.key, change);
		this.#record(change);
	}

	#incrementRevision(): number {
		this.#revision++;
		return this.#revision;
	}

	#record(change: Change): void {
		this.#history.push({at: performance.now(), change});
		const oldest = performance.now() - (2 * historyTimeMs);
		this.#history = this.#history.filter(({at}) => at > oldest);
	}
}

/** A host's client of the store: its calls may be rejected, and their results wait while the host is frozen. */
export class StoreClient implements AsyncDisposable {
	/** Whether calls fail. */
	isRejected = false;
	readonly #store: SimulatedStore;
	readonly #waitUntilRunning: () => Promise<void>;

	/**
	 * @param store - Store that it calls.
	 * @param waitUntilRunning - Resolves when the host is not frozen.
	 */
	constructor(store: SimulatedStore, waitUntilRunning: () => Promise<void>) {
		this.#store = store;
		this.#waitUntilRunning = waitUntilRunning;
	}

	async range(prefix: string): Promise<Page> {
		return this.#call(async () => this.#store.range(prefix));
	}

	async watch(_: string, after: number, maxWait: number): Promise<WatchResult> {
		return this.#call(async () => this.#store.watch(after, maxWait));
	}

	async [Symbol.asyncDispose](): Promise<void> {
		// Calls that are pending when the simulation ends are never answered.
	}

	async #call<T>(callStore: () => Promise<T>): Promise<T> {
		await this.#waitUntilRunning();
		if (this.isRejected) {
			await wait(answerTimeMs);
			return raise('storeUnavailable', 'call rejected');
		}

		const answer = await callStore();
		await this.#waitUntilRunning();
		return answer;
	}
}

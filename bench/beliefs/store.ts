/** The platform's store in virtual time: upstreams that come, leave and write heartbeats, read by hosts that it may turn away. */
import {raise} from '../../src/core/index.js';
import {type Change, type Page, type Watched} from '../../platform/store.js';

/** Milliseconds. */
const answerTime = 4;
const historyTime = 20_000;
const heartbeat = 1200;

type Registered = {
	readonly key: string;
	isDraining: boolean;
	timer: NodeJS.Timeout;
};

type Dated = {readonly at: number; readonly change: Change};

async function wait(time: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, time);
	});
}

export class PlayedStore {
	/** When the store acknowledged that an upstream leaves, and that one is ready, by id. */
	readonly left = new Map<string, number>();
	readonly ready = new Map<string, number>();
	readonly #items = new Map<string, Change>();
	readonly #registered = new Map<string, Registered>();
	#history: Dated[] = [];
	#revision = 100;

	/**
	 * @param id - Upstream that registers itself and writes heartbeats from then on.
	 */
	register(id: string): void {
		const key = `servers/${id}`;
		const timer = setInterval(() => {
			this.#write(id);
		}, heartbeat);
		this.#registered.set(id, {key, isDraining: false, timer});
		this.#write(id);
		this.ready.set(id, performance.now());
	}

	/**
	 * @param id - Upstream that says that it leaves; it goes on writing.
	 */
	drain(id: string): void {
		const registered = this.#registered.get(id);
		if (registered !== undefined && !registered.isDraining) {
			registered.isDraining = true;
			this.#write(id);
			this.left.set(id, performance.now());
			this.ready.delete(id);
		}
	}

	/**
	 * @param id - Upstream whose registration goes.
	 */
	remove(id: string): void {
		const registered = this.#registered.get(id);
		if (registered === undefined) {
			return;
		}

		clearInterval(registered.timer);
		this.#registered.delete(id);
		this.#items.delete(registered.key);
		this.#record({type: 'deleted', key: registered.key, revision: this.#next()});
		this.ready.delete(id);
		if (!this.left.has(id)) {
			this.left.set(id, performance.now());
		}
	}

	/**
	 * @param prefix - Keys wanted.
	 * @returns All of them; one page is enough here.
	 */
	async range(prefix: string): Promise<Page> {
		await wait(answerTime / 2);
		const page = {items: [...this.#items.values()].filter(item => item.key.startsWith(prefix)), hasMore: false, revision: this.#revision};
		await wait(answerTime / 2);
		return page;
	}

	/**
	 * @param after - Revision from which on changes are wanted.
	 * @param longest - Milliseconds to wait for the first one.
	 * @returns What has changed.
	 */
	async watch(after: number, longest: number): Promise<Watched> {
		await wait(answerTime / 2);
		const oldest = performance.now() - historyTime;
		const forgotten = this.#history.findLast(({at}) => at < oldest)?.change.revision ?? 0;
		if (after < forgotten) {
			return {type: 'compacted'};
		}

		const end = performance.now() + longest;
		while (this.#revision <= after && performance.now() < end) {
			await wait(10);
		}

		const changes = this.#history.map(({change}) => change).filter(change => change.revision > after);
		const watched: Watched = {type: 'changes', changes, revision: this.#revision};
		await wait(answerTime / 2);
		return watched;
	}

	/** Stops the heartbeats. */
	stop(): void {
		for (const {timer} of this.#registered.values()) {
			clearInterval(timer);
		}
	}

	#write(id: string): void {
		const registered = this.#registered.get(id);
		if (registered === undefined) {
			return;
		}

		const value = JSON.stringify({
			Service: 'model', Address: '127.0.0.1:9000', Zone: 'a', Slots: 8, State: registered.isDraining ? 'draining' : 'ready', born: 1, Sequence: this.#revision,
		});
		const change: Change = {
			type: 'written', key: registered.key, value, revision: this.#next(),
		};
		this.#items.set(registered.key, change);
		this.#record(change);
	}

	#next(): number {
		this.#revision++;
		return this.#revision;
	}

	#record(change: Change): void {
		this.#history.push({at: performance.now(), change});
		const oldest = performance.now() - (2 * historyTime);
		this.#history = this.#history.filter(({at}) => at > oldest);
	}
}

/** A host's way to the store: it may be turned away, and answers wait while the host stands still. */
export class StoreWay implements AsyncDisposable {
	/** Whether calls fail. */
	isTurnedAway = false;
	readonly #store: PlayedStore;
	readonly #awake: () => Promise<void>;

	/**
	 * @param store - The store.
	 * @param awake - Settles when the host runs.
	 */
	constructor(store: PlayedStore, awake: () => Promise<void>) {
		this.#store = store;
		this.#awake = awake;
	}

	async range(prefix: string): Promise<Page> {
		return this.#call(async () => this.#store.range(prefix));
	}

	async watch(_: string, after: number, longest: number): Promise<Watched> {
		return this.#call(async () => this.#store.watch(after, longest));
	}

	async [Symbol.asyncDispose](): Promise<void> {
		// Calls of a world that has ended are never answered.
	}

	async #call<T>(ask: () => Promise<T>): Promise<T> {
		await this.#awake();
		if (this.isTurnedAway) {
			await wait(answerTime);
			return raise('storeUnavailable', 'turned away');
		}

		const answer = await ask();
		await this.#awake();
		return answer;
	}
}

/** Keeps the upstreams that may be used in step with the platform's registry, read from its store or told by peers. */
import {Lapses} from '../core/gateway/lapses.js';
import {
	Registry, type RegistryChange, type RegistryDifference, type RegistrySnapshot,
} from '../core/gateway/registry.js';
import {type GatewayUpstream} from '../core/gateway/types.js';
import {type Log} from '../entry/logs.js';
import {type Source, type Upstreams} from './upstreams.js';

export type RegistrationsOptions = {
	readonly upstreams: Upstreams;
	readonly log: Pick<Log, 'write'>;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
};

export class Registrations implements Disposable {
	readonly #options: RegistrationsOptions;
	readonly #registry = new Registry();
	readonly #lapses = new Lapses();
	/** Upstreams that are registered no more and may only have lapsed, until they are dropped. */
	readonly #lapsing = new Map<string, NodeJS.Timeout>();

	/**
	 * @param options - Upstreams to keep.
	 */
	constructor(options: RegistrationsOptions) {
		this.#options = options;
	}

	/** Revision of the store up to which each change is known; 0 before anything is. */
	get revision(): number {
		return this.#registry.revision;
	}

	/** What is told to peers. An upstream that is kept as it may only have lapsed is no part of it: each host judges that by itself. */
	get snapshot(): RegistrySnapshot {
		return this.#registry.snapshot;
	}

	/**
	 * @param revision - Revision that a peer's registry has.
	 * @returns Whether it need not be told of upstreams.
	 */
	isCurrent(revision: number): boolean {
		return this.#registry.isCurrent(revision);
	}

	/**
	 * @param changes - Next changes in the history of the store, in their order.
	 * @param revision - Revision that they lead to.
	 */
	follow(changes: readonly RegistryChange[], revision: number): void {
		for (const change of changes) {
			const source = {type: 'store', revision: change.revision} as const;
			if (!this.#registry.apply(change)) {
				continue;
			}

			if (change.type === 'written') {
				this.#use(change.upstream, source);
			} else {
				this.#drop(change.id, source);
			}
		}

		this.#registry.advance(revision);
	}

	/**
	 * @param upstreams - All that the store holds.
	 * @param revision - Revision as of which it was read.
	 */
	list(upstreams: readonly GatewayUpstream[], revision: number): void {
		this.#change(this.#registry.reset({upstreams, revision, changed: revision}), {type: 'store', revision});
	}

	/**
	 * @param peer - Peer that told.
	 * @param snapshot - What it has; without upstreams where they are the same as here.
	 */
	take(peer: string, {upstreams, revision, changed}: Omit<RegistrySnapshot, 'upstreams'> & Partial<RegistrySnapshot>): void {
		if (upstreams === undefined) {
			this.#registry.advance(revision);
		} else {
			this.#change(this.#registry.merge({upstreams, revision, changed}), {type: 'peer', peer, revision});
		}
	}

	/** The store does not answer. */
	lost(): void {
		this.#lapses.lost();
	}

	/** The store answers again. */
	regained(): void {
		this.#lapses.regained(this.#options.now());
	}

	[Symbol.dispose](): void {
		for (const timer of this.#lapsing.values()) {
			clearTimeout(timer);
		}
	}

	#change({written, removed}: RegistryDifference, source: Source): void {
		for (const id of removed) {
			this.#drop(id, source);
		}

		for (const upstream of written) {
			this.#use(upstream, source);
		}
	}

	#use(upstream: GatewayUpstream, source: Source): void {
		this.#settle(upstream.id);
		this.#options.upstreams.register(upstream, source);
	}

	#drop(id: string, source: Source): void {
		const {upstreams, log, now} = this.#options;
		const delay = this.#lapses.delay(now());
		if (delay === 0) {
			this.#settle(id);
			upstreams.unregister(id, source);
		} else if (!this.#lapsing.has(id)) {
			log.write({
				event: 'upstream-lapsing', upstream: id, revision: source.revision, wait: Math.round(delay),
			});
			this.#lapsing.set(id, setTimeout(() => {
				this.#lapsing.delete(id);
				upstreams.unregister(id, source);
			}, delay));
		}
	}

	/** Its registration is there, or its absence is settled: nothing is left to wait for. */
	#settle(id: string): void {
		clearTimeout(this.#lapsing.get(id));
		this.#lapsing.delete(id);
	}
}

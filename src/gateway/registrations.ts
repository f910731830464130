/** Keeps the upstreams that may be used in step with the platform's registry, read from its store or told by peers. */
import {Lapses} from '../core/gateway/lapses.js';
import {
	noDifference, Registry, type RegistryChange, type RegistryDifference,
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

/** What hosts tell each other of the registry. */
export type RegistryNews = {
	/** Revision of the store up to which the teller knows each change, and that of the last one. */
	readonly revision: number;
	readonly changed: number;
	/** All that were registered as of the revision; absent where the receiver has the same. */
	readonly upstreams?: readonly GatewayUpstream[];
	/** Upstreams that are registered no more and that the teller keeps, as they may only have lapsed; none if absent. */
	readonly kept?: readonly string[];
};

/** An upstream that is registered no more and may only have lapsed. */
type Lapsing = {
	readonly source: Source;
	readonly timer: NodeJS.Timeout;
};

const none: readonly string[] = [];

export class Registrations implements Disposable {
	readonly #options: RegistrationsOptions;
	readonly #registry = new Registry();
	readonly #lapses = new Lapses();
	/** What is kept until its registration is back or can be back no more. */
	readonly #lapsing = new Map<string, Lapsing>();

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

	/**
	 * @param revision - Revision that a peer's registry has.
	 * @returns What it is told.
	 */
	newsFor(revision: number): RegistryNews {
		const kept = this.#lapsing.size === 0 ? undefined : [...this.#lapsing.keys()];
		return this.#registry.isCurrent(revision)
			? {revision: this.#registry.revision, changed: this.#registry.changed, kept}
			: {...this.#registry.snapshot, kept};
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
				this.#dropOrKeep(change.id, source);
			}
		}

		this.#registry.advance(revision);
	}

	/**
	 * @param upstreams - All that the store holds.
	 * @param revision - Revision as of which it was read.
	 */
	list(upstreams: readonly GatewayUpstream[], revision: number): void {
		const source = {type: 'store', revision} as const;
		const {written, removed} = this.#registry.reset({upstreams, revision, changed: revision});
		for (const id of removed) {
			this.#dropOrKeep(id, source);
		}

		this.#useAll(written, source);
	}

	/**
	 * @param peer - Peer that told.
	 * @param news - What it knows.
	 */
	take(peer: string, news: RegistryNews): void {
		const source = {type: 'peer', peer, revision: news.revision} as const;
		const kept = news.kept ?? none;
		const {written, removed} = this.#learn(news);
		for (const id of removed) {
			if (kept.includes(id)) {
				this.#dropOrKeep(id, source);
			} else {
				this.#drop(id, source);
			}
		}

		this.#useAll(written, source);
		this.#dropUnkept(kept, source);
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
		for (const {timer} of this.#lapsing.values()) {
			clearTimeout(timer);
		}
	}

	#learn({upstreams, revision, changed}: RegistryNews): RegistryDifference {
		if (upstreams === undefined) {
			this.#registry.advance(revision);
			return noDifference;
		}

		return this.#registry.merge({upstreams, revision, changed});
	}

	#useAll(upstreams: readonly GatewayUpstream[], source: Source): void {
		for (const upstream of upstreams) {
			this.#use(upstream, source);
		}
	}

	#use(upstream: GatewayUpstream, source: Source): void {
		this.#settle(upstream.id);
		this.#options.upstreams.register(upstream, source);
	}

	#dropOrKeep(id: string, source: Source): void {
		const {log, now} = this.#options;
		const delay = this.#lapses.delay(now());
		if (delay === 0) {
			this.#drop(id, source);
		} else if (!this.#lapsing.has(id)) {
			log.write({
				event: 'upstream-lapsing', upstream: id, revision: source.revision, wait: Math.round(delay),
			});
			const timer = setTimeout(() => {
				this.#drop(id, source);
			}, delay);
			this.#lapsing.set(id, {source, timer});
		}
	}

	/** A peer as recent as a removal that does not keep the upstream knows that its registration has not just lapsed. */
	#dropUnkept(kept: readonly string[], source: Source): void {
		for (const [id, lapsing] of this.#lapsing) {
			if (source.revision >= lapsing.source.revision && !kept.includes(id)) {
				this.#drop(id, source);
			}
		}
	}

	#drop(id: string, source: Source): void {
		this.#settle(id);
		this.#options.upstreams.unregister(id, source);
	}

	/** Its registration is there, or its absence is settled: nothing is left to wait for. */
	#settle(id: string): void {
		clearTimeout(this.#lapsing.get(id)?.timer);
		this.#lapsing.delete(id);
	}
}

/** Memory reserved at several engines for one prompt: all of it or none, renewed while it is used, released at the end. */
import {messageOf, type Address} from '../core/index.js';
import {type Log} from '../entry/logs.js';
import {type Orders} from './dialect.js';
import {type GatewayMetrics} from './metrics.js';

/**
 * Milliseconds of one lease. If this host dies the engines have the memory back after it at the latest; the longest pass
 * of an engine is under 2 s, and a renewal that is lost is sent again twice within the lease.
 */
const lease = 3600;
const renewalInterval = 1100;

/** Renewals in a row that an engine leaves unanswered, after which its memory counts as lost. */
const missedRenewals = 2;

/** Tries to release a hold, the pause between them in milliseconds; after that its lease ends it. */
const releaseTries = 3;
const releasePause = 300;

/** One engine's part. */
export type HoldPart = {
	readonly upstream: string;
	readonly address: Address;
	readonly tokens: number;
};

type Grant = 'granted' | 'refused' | 'unanswered';

export class Hold implements AsyncDisposable {
	readonly name: string;
	readonly #parts: readonly HoldPart[];
	readonly #orders: Orders;
	readonly #log: Pick<Log, 'write'>;
	/** Renewals in a row that each engine has left unanswered. */
	readonly #missed = new Map<string, number>();
	#timer: NodeJS.Timeout | undefined;
	#onLost: (() => void) | undefined;

	constructor(name: string, parts: readonly HoldPart[], orders: Orders, log: Pick<Log, 'write'>) {
		this.name = name;
		this.#parts = parts;
		this.#orders = orders;
		this.#log = log;
	}

	/**
	 * Reserves all parts.
	 *
	 * @returns The engines that did not grant theirs; empty if the hold is complete.
	 */
	async acquire(): Promise<readonly string[]> {
		const refused: string[] = [];
		await Promise.all(this.#parts.map(async part => {
			if (await this.#reserve(part) !== 'granted') {
				refused.push(part.upstream);
			}
		}));
		if (refused.length === 0) {
			this.#timer = setInterval(() => {
				// Engines are not waited for in turn: a silent one must not delay the renewal at the others.
				for (const part of this.#parts) {
					void this.#renew(part);
				}
			}, renewalInterval);
		}

		return refused;
	}

	/**
	 * @param onLost - Called when an engine no longer answers: its memory goes with its lease, and what uses the hold is cut off.
	 */
	watch(onLost: () => void): void {
		this.#onLost = onLost;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		clearInterval(this.#timer);
		this.#onLost = undefined;
		await Promise.all(this.#parts.map(async part => this.#release(part)));
	}

	async #renew(part: HoldPart): Promise<void> {
		const {upstream} = part;
		const grant = await this.#reserve(part);
		const missed = grant === 'unanswered' ? (this.#missed.get(upstream) ?? 0) + 1 : 0;
		this.#missed.set(upstream, missed);
		if (missed === missedRenewals) {
			this.#onLost?.();
		}
	}

	async #reserve(part: HoldPart): Promise<Grant> {
		try {
			const isGranted = await this.#orders.reserve(part.address, this.name, part.tokens, lease);
			return isGranted ? 'granted' : 'refused';
		} catch (error) {
			this.#log.write({
				event: 'reserve-failed', hold: this.name, upstream: part.upstream, detail: messageOf(error),
			}, 'warn');
			return 'unanswered';
		}
	}

	async #release(part: HoldPart): Promise<void> {
		for (let tries = 0; tries < releaseTries; tries++) {
			try {
				await this.#orders.release(part.address, this.name);
				return;
			} catch (error) {
				this.#log.write({
					event: 'release-failed', hold: this.name, upstream: part.upstream, detail: messageOf(error),
				}, 'warn');
				await new Promise(resolve => {
					setTimeout(resolve, releasePause);
				});
			}
		}
	}
}

/** Makes holds with names that no other host uses. */
export class Holds {
	readonly #orders: Orders;
	readonly #log: Pick<Log, 'write'>;
	readonly #metrics: GatewayMetrics;
	readonly #prefix: string;
	#count = 0;

	/**
	 * @param orders - How engines are told.
	 * @param log - Told of orders that failed.
	 * @param metrics - Counts holds.
	 * @param prefix - Begins the names of this process's holds; other than before a restart.
	 */
	constructor(orders: Orders, log: Log, metrics: GatewayMetrics, prefix: string) {
		this.#orders = orders;
		this.#log = log;
		this.#metrics = metrics;
		this.#prefix = prefix;
	}

	/**
	 * @param parts - Engines and the memory wanted of each.
	 * @returns A hold that is not acquired yet.
	 */
	prepare(parts: readonly HoldPart[]): Hold {
		this.#count++;
		return new Hold(`${this.#prefix}.${this.#count}`, parts, this.#orders, this.#log);
	}

	/**
	 * @param isGranted - Whether a hold was acquired.
	 */
	count(isGranted: boolean): void {
		this.#metrics.holds.inc({result: isGranted ? 'granted' : 'refused'});
	}
}

/** Reserves KV memory at one or several engines for one prompt, all or nothing. Holds are renewed while in use and released at the end. */
import {messageOf} from '../../core/index.js';
import {type PlannedReservation} from '../../core/gateway/engines/memory-reservation.js';
import {type Log} from '../../entry/logs.js';
import {type EngineControl, type EngineProcess} from '../platform-adapter.js';
import {type GatewayMetrics} from '../metrics.js';

/**
 * If this host dies, engines free the memory after one lease at the latest. The lease outlasts the longest engine iteration, which is
 * under 2 s, and leaves time to repeat a lost renewal twice.
 */
const leaseMs = 3600;
const renewalIntervalMs = 1100;

/** Consecutive unanswered renewals after which an engine's memory counts as lost. */
const maxMissedRenewals = 2;

/** Attempts to release a hold and the delay between them; after the last one the engine frees the memory when the lease ends. */
const maxReleaseAttempts = 3;
const releaseRetryDelayMs = 300;

/** Memory reserved at one engine. */
export type HoldPart = EngineProcess & {
	readonly tokens: number;
};

type Grant = 'granted' | 'refused' | 'unanswered';

export class Hold implements AsyncDisposable {
	readonly name: string;
	#parts: readonly HoldPart[];
	readonly #engineControl: EngineControl;
	readonly #log: Pick<Log, 'write'>;
	/** Parts that an engine has granted, or may have granted as it didn't answer. */
	readonly #asked: HoldPart[] = [];
	readonly #unanswered: string[] = [];
	/** Consecutive unanswered renewals, by upstream. */
	readonly #missedRenewals = new Map<string, number>();
	#timer: NodeJS.Timeout | undefined;
	#lossHandler: (() => void) | undefined;

	constructor(name: string, parts: readonly HoldPart[], engineControl: EngineControl, log: Pick<Log, 'write'>) {
		this.name = name;
		this.#parts = parts;
		this.#engineControl = engineControl;
		this.#log = log;
	}

	/** Engines that did not answer when they were asked for their part. */
	get unanswered(): readonly string[] {
		return this.#unanswered;
	}

	/** Number of parts that were granted, or may have been. */
	get askedParts(): number {
		return this.#asked.length;
	}

	/**
	 * @param upstream - Engine.
	 * @returns Whether a part of the memory is reserved there.
	 */
	hasPart(upstream: string): boolean {
		return this.#parts.some(part => part.upstream === upstream);
	}

	/**
	 * Reserves the missing parts one after another, in the order of the engines' ids, and renews them until the hold is released. Stops at the first
	 * part that isn't granted: of two hosts that compete for the same engines, one gets them all and the other mostly holds none.
	 *
	 * @returns The engine that did not grant its part; empty if the hold is complete.
	 */
	async acquire(): Promise<readonly string[]> {
		this.#timer ??= setInterval(() => {
			// Renews in parallel: an unresponsive engine must not delay the renewal at the others.
			for (const part of this.#asked) {
				void this.#renew(part);
			}
		}, renewalIntervalMs);
		const missing = this.#parts.filter(part => !this.#asked.includes(part));
		for (const part of missing.toSorted((a, b) => a.upstream < b.upstream ? -1 : 1)) {
			const grant = await this.#reserve(part);
			if (grant === 'unanswered') {
				this.#unanswered.push(part.upstream);
			}

			if (grant !== 'refused') {
				this.#asked.push(part);
			}

			if (grant !== 'granted') {
				return [part.upstream];
			}
		}

		return [];
	}

	/**
	 * Replaces a part that was refused; the parts that were granted stay.
	 *
	 * @param refusing - Engine that refused its part.
	 * @param part - Part at another engine, to be acquired next.
	 */
	replace(refusing: string, part: HoldPart): void {
		this.#parts = this.#parts.map(each => each.upstream === refusing ? part : each);
	}

	/**
	 * @param lossHandler - Called when an engine stops responding, and again as long as it does: its memory ends with the lease.
	 */
	setLossHandler(lossHandler: () => void): void {
		this.#lossHandler = lossHandler;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		clearInterval(this.#timer);
		this.#lossHandler = undefined;
		await Promise.all(this.#asked.map(async part => this.#release(part)));
	}

	async #renew(part: HoldPart): Promise<void> {
		const {upstream} = part;
		const grant = await this.#reserve(part);
		const missedRenewals = grant === 'unanswered' ? (this.#missedRenewals.get(upstream) ?? 0) + 1 : 0;
		this.#missedRenewals.set(upstream, missedRenewals);
		if (missedRenewals >= maxMissedRenewals) {
			this.#lossHandler?.();
		}
	}

	async #reserve(part: HoldPart): Promise<Grant> {
		try {
			const isGranted = await this.#engineControl.reserve(part, this.name, part.tokens, leaseMs);
			return isGranted ? 'granted' : 'refused';
		} catch (error) {
			this.#log.write({
				event: 'reserve-failed', hold: this.name, upstream: part.upstream, detail: messageOf(error),
			}, 'warn');
			return 'unanswered';
		}
	}

	async #release(part: HoldPart): Promise<void> {
		for (let attempt = 0; attempt < maxReleaseAttempts; attempt++) {
			try {
				await this.#engineControl.release(part, this.name);
				return;
			} catch (error) {
				this.#log.write({
					event: 'release-failed', hold: this.name, upstream: part.upstream, detail: messageOf(error),
				}, 'warn');
				await new Promise(resolve => {
					setTimeout(resolve, releaseRetryDelayMs);
				});
			}
		}
	}
}

/** Creates holds with names that are unique among all hosts. */
export class Holds {
	readonly #engineControl: EngineControl;
	readonly #log: Pick<Log, 'write'>;
	readonly #metrics: GatewayMetrics;
	readonly #prefix: string;
	#holdCount = 0;

	/**
	 * @param engineControl - Reserves and releases memory at engines.
	 * @param log - Receives failures of reservations and releases.
	 * @param metrics - Metrics that count holds.
	 * @param prefix - Prefix of the names of this process's holds; must differ after a restart.
	 */
	constructor(engineControl: EngineControl, log: Log, metrics: GatewayMetrics, prefix: string) {
		this.#engineControl = engineControl;
		this.#log = log;
		this.#metrics = metrics;
		this.#prefix = prefix;
	}

	/**
	 * @param parts - Engines and the memory to reserve at each.
	 * @returns A hold that is not acquired yet.
	 */
	prepare(parts: readonly HoldPart[]): Hold {
		this.#holdCount++;
		return new Hold(`${this.#prefix}.${this.#holdCount}`, parts, this.#engineControl, this.#log);
	}

	/**
	 * Counts the result of acquiring a hold.
	 *
	 * @param isGranted - Whether all engines granted the memory.
	 * @param askedParts - Number of parts that were granted.
	 * @param reason - Why the memory was reserved.
	 */
	count(isGranted: boolean, askedParts: number, reason: PlannedReservation['type']): void {
		const refusal = askedParts === 0 ? 'refused' : 'unused';
		this.#metrics.holds.inc({result: isGranted ? 'granted' : refusal, reason});
	}
}

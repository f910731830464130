/**
 * Tells engines that are silent alone from engines that fell silent together. An engine that sends nothing looks the same whether it has
 * failed, is paused for a second, or is out of reach; what the others do meanwhile tells these apart.
 */
import {dropOldest} from '../../utils/bounded.js';

/** Time in milliseconds without a sign of life, beyond what an iteration of the engine may take, after which it counts as silent. */
export const silenceMs = 500;

/** Time in milliseconds for which a sign of life shows that an engine can take over an answer. */
const livenessMs = 500;

/** Silent engines from which on their silence may have one cause. */
const minCommonSilences = 2;

/** Time in milliseconds for which an engine that gave no answer to a check counts as silent. */
const checkMemoryMs = 500;

/** Time in milliseconds after a silence of all engines in which events that they have held back arrive. */
const settleMs = 250;

/** Time in milliseconds after it in which engines work off the requests that have queued meanwhile. */
const queueSettleMs = 2000;

/** Engines whose last sign of life is kept. */
const maxEngines = 4096;

/** Engine that runs an attempt. */
export type WatchedEngine = {
	readonly id: string;
	readonly service: string;
	readonly failureDomain: string;
};

/** Engines of a service, as far as they are in use or were checked lately. */
export type SilenceView = {
	/** They owe an event, or an answer to a check, and send nothing on any connection. */
	readonly silent: ReadonlySet<string>;
	/** They have sent something a moment ago. */
	readonly live: ReadonlySet<string>;
	/**
	 * Whether silence says nothing of a single engine, as most engines are silent in each failure domain that has silent ones. A domain that is
	 * silent as a whole beside another one that isn't is out of reach.
	 */
	readonly isCommon: boolean;
};

type Expectation = {
	readonly engine: WatchedEngine;
	/** Time in milliseconds by which the next event is due. */
	due: number;
};

type Sign = {
	readonly engine: WatchedEngine;
	readonly at: number;
};

type DomainCounts = {
	silent: number;
	live: number;
};

export class Silences<Attempt> {
	readonly #expectations = new Map<Attempt, Expectation>();
	/** Last signs of life, by engine; the oldest first. */
	readonly #lives = new Map<string, Sign>();
	readonly #failedChecks = new Map<string, Sign>();
	/** Times of the last signs of life of any engine, by service. */
	readonly #livedAt = new Map<string, number>();
	/** When an answer last had no live engine to go to, by service. */
	readonly #strandedAt = new Map<string, number>();
	readonly #forecastIterationTime: (engine: string) => number;

	/**
	 * @param forecastIterationTime - Forecasts the milliseconds that an iteration of an engine may take now.
	 */
	constructor(forecastIterationTime: (engine: string) => number) {
		this.#forecastIterationTime = forecastIterationTime;
	}

	/**
	 * @param attempt - Attempt in progress.
	 * @param engine - Its engine.
	 * @param due - Time in milliseconds by which it should send something; infinite while nothing is read from it.
	 */
	expect(attempt: Attempt, engine: WatchedEngine, due: number): void {
		const known = this.#expectations.get(attempt);
		if (known === undefined) {
			this.#expectations.set(attempt, {engine, due});
		} else {
			known.due = due;
		}
	}

	/**
	 * @param attempt - Attempt that has ended, or whose silence isn't that of its engine.
	 */
	end(attempt: Attempt): void {
		this.#expectations.delete(attempt);
	}

	/**
	 * @param engine - Engine that has sent something.
	 * @param now - Time in milliseconds.
	 */
	recordLife(engine: WatchedEngine, now: number): void {
		const {service} = engine;
		// The first one to send again after a silence of all.
		if (now - (this.#livedAt.get(service) ?? Number.NEGATIVE_INFINITY) > silenceMs && this.#findSilent(service, now).size > 0) {
			this.recordStranded(service, now);
		}

		this.#livedAt.set(service, now);
		this.#failedChecks.delete(engine.id);
		this.#lives.delete(engine.id);
		this.#lives.set(engine.id, {engine, at: now});
		dropOldest(this.#lives, maxEngines);
	}

	/**
	 * @param engine - Engine that gave no answer to a health check in time.
	 * @param now - Time in milliseconds.
	 */
	recordFailedCheck(engine: WatchedEngine, now: number): void {
		this.#failedChecks.set(engine.id, {engine, at: now});
		dropOldest(this.#failedChecks, maxEngines);
	}

	/**
	 * @param service - Service of an answer that has no live engine to go to.
	 * @param now - Time in milliseconds.
	 */
	recordStranded(service: string, now: number): void {
		this.#strandedAt.set(service, now);
	}

	/**
	 * @param engine - Id of an engine.
	 * @param now - Time in milliseconds.
	 * @returns Whether it has sent something a moment ago.
	 */
	isLive(engine: string, now: number): boolean {
		return now - (this.#lives.get(engine)?.at ?? Number.NEGATIVE_INFINITY) < livenessMs;
	}

	/**
	 * @param engine - Id of an engine.
	 * @returns Whether an attempt that is read waits for something from it.
	 */
	isAwaited(engine: string): boolean {
		return [...this.#expectations.values()].some(each => each.engine.id === engine && each.due < Number.POSITIVE_INFINITY);
	}

	/**
	 * @param service - Service.
	 * @param now - Time in milliseconds.
	 * @param isQueued - Whether it is about a request that may wait for its turn at an engine that sends to others.
	 * @returns Whether what its engines have held back together has arrived by now.
	 */
	isSettled(service: string, now: number, isQueued: boolean): boolean {
		return now - (this.#strandedAt.get(service) ?? Number.NEGATIVE_INFINITY) >= (isQueued ? queueSettleMs : settleMs);
	}

	/**
	 * @param service - Service.
	 * @param now - Time in milliseconds.
	 * @returns What its engines do.
	 */
	view(service: string, now: number): SilenceView {
		const silent = this.#findSilent(service, now);
		const live = new Map<string, WatchedEngine>();
		for (const {engine} of this.#lives.values()) {
			if (engine.service === service && this.isLive(engine.id, now) && !silent.has(engine.id)) {
				live.set(engine.id, engine);
			}
		}

		return {silent: new Set(silent.keys()), live: new Set(live.keys()), isCommon: isCommon([...silent.values()], [...live.values()])};
	}

	#findSilent(service: string, now: number): ReadonlyMap<string, WatchedEngine> {
		const silent = new Map<string, WatchedEngine>();
		for (const {engine, at} of this.#failedChecks.values()) {
			if (engine.service === service && now - at < checkMemoryMs) {
				silent.set(engine.id, engine);
			}
		}

		for (const {engine, due} of this.#expectations.values()) {
			if (engine.service === service && now > due && !silent.has(engine.id) && this.#isSilent(engine.id, due, now)) {
				silent.set(engine.id, engine);
			}
		}

		return silent;
	}

	#isSilent(engine: string, due: number, now: number): boolean {
		const lifeAt = this.#lives.get(engine)?.at ?? Number.NEGATIVE_INFINITY;
		if (now - lifeAt <= silenceMs) {
			return false;
		}

		const patience = this.#forecastIterationTime(engine);
		return now > due + patience && now - lifeAt > silenceMs + patience;
	}
}

/**
 * @param isQueued - Whether the request waits for its turn at an engine that sends to others.
 * @param slotWait - Predicted milliseconds until the other engine has a free slot; undefined for plain services.
 * @returns Whether another engine may take over: one that has a queue, too, would hardly answer sooner, and each of its places is another's.
 */
export function mayTakeOver(isQueued: boolean, slotWait: number | undefined): boolean {
	return !isQueued || (slotWait ?? 0) === 0;
}

function isCommon(silent: readonly WatchedEngine[], live: readonly WatchedEngine[]): boolean {
	if (silent.length < minCommonSilences) {
		return false;
	}

	const byDomain = new Map<string, DomainCounts>();
	for (const {failureDomain} of silent) {
		countIn(byDomain, failureDomain).silent++;
	}

	for (const {failureDomain} of live) {
		countIn(byDomain, failureDomain).live++;
	}

	return [...byDomain.values()].every(counts => counts.silent > counts.live);
}

function countIn(byDomain: Map<string, DomainCounts>, failureDomain: string): DomainCounts {
	const counts = byDomain.get(failureDomain) ?? {silent: 0, live: 0};
	byDomain.set(failureDomain, counts);
	return counts;
}

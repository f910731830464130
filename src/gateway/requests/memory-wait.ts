/** The wait of one request for KV memory: when it tries again, and what the log and the metrics say of it. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Eligibility} from '../../core/gateway/placement/attempts.js';
import {type Demand} from '../../core/gateway/types.js';
import {type GatewayServices} from '../services.js';
import {type RequestTrace} from './trace.js';

/** Interval in which a waiting request notices that memory became free, that its caller has left or that this host stops. */
const checkIntervalMs = 20;

/** Longest time until a waiting request tries again although no job has ended: claims of other hosts lapse. */
const retryIntervalMs = 200;

export type MemoryWaitResult
	/** Memory may be free now, or the request is over. */
	= | {readonly type: 'retry'}
	/** The memory will not be free in time; `wait` is in milliseconds. */
		| {readonly type: 'refused'; readonly wait: number}
		| {readonly type: 'stopping'};

export class MemoryWait implements Disposable {
	readonly #services: GatewayServices;
	readonly #trace: RequestTrace;
	readonly #id: string;
	#startedAt: number | undefined;

	/**
	 * @param services - Services shared by all requests.
	 * @param id - Request.
	 * @param trace - Records the wait.
	 */
	constructor(services: GatewayServices, id: string, trace: RequestTrace) {
		this.#services = services;
		this.#id = id;
		this.#trace = trace;
	}

	/**
	 * Waits until a request without a placement may find one.
	 *
	 * @param demand - Request.
	 * @param eligibility - Upstreams that it may be sent to.
	 * @param isOver - Whether the request has ended in the meantime.
	 * @returns How the wait ended; undefined if the request doesn't wait for memory.
	 */
	async wait(demand: Demand, eligibility: Eligibility, isOver: () => boolean): Promise<MemoryWaitResult | undefined> {
		const {gateway, metrics, clock, findStop} = this.#services;
		const decision = gateway.placements.considerMemory(demand, eligibility);
		if (decision === undefined) {
			return undefined;
		}

		if (decision.type === 'refused') {
			this.#trace.write('memory-refused', {waited: this.#waited, returnAfter: decision.wait === undefined ? undefined : Math.round(decision.wait)});
			metrics.memoryWaits.inc({result: 'refused'});
			this.#startedAt = undefined;
			return {type: 'refused', wait: decision.wait ?? 0};
		}

		if (findStop() !== undefined) {
			return {type: 'stopping'};
		}

		const {plan} = decision;
		if (this.#startedAt === undefined) {
			this.#startedAt = clock.now();
			this.#trace.write('memory-wait', {
				tokens: demand.prompt?.tokens ?? 0, expected: Math.round(plan.wait), engines: plan.engines, waiting: gateway.memoryQueue.size, left: Math.round(demand.deadline - clock.now()),
			});
		}

		await this.#sleepUntilChange(isOver);
		return {type: 'retry'};
	}

	/** Records that the request has got its memory. */
	grant(): void {
		if (this.#startedAt === undefined) {
			return;
		}

		this.#trace.write('memory-granted', {waited: this.#waited});
		this.#services.metrics.memoryWaits.inc({result: 'granted'});
		this.#startedAt = undefined;
		this.#services.gateway.memoryQueue.leave(this.#id);
	}

	/** Ends the wait of a request that ended otherwise: its caller has left, or its time is over. */
	[Symbol.dispose](): void {
		if (this.#startedAt !== undefined) {
			this.#startedAt = undefined;
			this.#services.metrics.memoryWaits.inc({result: 'ended'});
			this.#services.gateway.memoryQueue.leave(this.#id);
		}
	}

	get #waited(): number {
		const now = this.#services.clock.now();
		return Math.round(now - (this.#startedAt ?? now));
	}

	/** Waits until a job has ended, and then for the turn of the request. */
	async #sleepUntilChange(isOver: () => boolean): Promise<void> {
		const {gateway, clock, findStop} = this.#services;
		const {removals} = gateway.load;
		const lastRetryAt = clock.now() + retryIntervalMs;
		let retryAt: number | undefined;
		do {
			await sleep(checkIntervalMs);
			if (gateway.load.removals !== removals || clock.now() >= lastRetryAt) {
				retryAt ??= clock.now() + gateway.memoryQueue.computeTurnDelay(this.#id);
			}
		} while ((retryAt === undefined || clock.now() < retryAt) && !isOver() && findStop() === undefined);
	}
}

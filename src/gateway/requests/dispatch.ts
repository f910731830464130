/** Places a request at one upstream after another, as far as retries are allowed, until its caller has an answer or a refusal. */
import {setTimeout as sleep} from 'node:timers/promises';
import {assertNever} from '../../core/index.js';
import {listCauses} from '../../core/gateway/suspicion/causes.js';
import {type Placement} from '../../core/gateway/placement/placement.js';
import {type AttemptEnding} from '../../core/gateway/limits/retries.js';
import {type Eligibility} from '../../core/gateway/placement/attempts.js';
import {computeFingerprint} from '../callers/admission.js';
import {selectAnswer} from '../callers/answers.js';
import {type CallerResponse, type StopReason} from '../callers/caller-response.js';
import {type GatewayServices} from '../services.js';
import {RequestState, type AdmittedRequest} from './request-state.js';
import {MemoryWait} from './memory-wait.js';
import {Refusals} from './refusals.js';
import {RequestSuspicion} from './request-suspicion.js';
import {ReservedAttempt} from './reserved-attempt.js';
import {Sender} from './sender.js';
import {type Run} from './run.js';
import {Succession} from './succession.js';
import {type RequestTrace} from './trace.js';

/** Longest time, in milliseconds, until a waiting request notices that its caller has left. */
const maxSleepMs = 100;

const anyUpstream: Eligibility = {excluded: new Set()};

export class Dispatch {
	readonly #state: RequestState;
	readonly #memoryWait: MemoryWait;
	readonly #refusals: Refusals;
	readonly #suspicion: RequestSuspicion;
	readonly #sender: Sender;
	/** Reserves memory for attempts that replace none. */
	readonly #reservedAttempt: ReservedAttempt;
	#succession: Succession | undefined;
	/** Whether the request was placed again as an upstream accepted it just after none did. */
	#hasRetriedPlacement = false;

	/**
	 * @param services - Services shared by all requests.
	 * @param request - Request to send.
	 * @param callerResponse - Response to its caller.
	 * @param trace - Records each decision.
	 */
	constructor(services: GatewayServices, request: AdmittedRequest, callerResponse: CallerResponse, trace: RequestTrace) {
		this.#state = new RequestState(services, request, callerResponse, trace);
		const parts = request.demand.prompt?.parts;
		const fingerprint = computeFingerprint(request.incoming, request.organisation, request.body, parts);
		const causes = listCauses(fingerprint, parts);
		this.#suspicion = new RequestSuspicion(this.#state, causes);
		this.#memoryWait = new MemoryWait(services, request.demand.id, trace);
		this.#refusals = new Refusals(this.#state);
		this.#sender = new Sender(this.#state, {fingerprint, causes, suspicion: this.#suspicion}, this.#memoryWait);
		this.#reservedAttempt = this.#createReservedAttempt();
		trace.attempts = this.#state.attempts;
	}

	/** Resolves when the caller has its answer or the request was given up. */
	async run(): Promise<void> {
		try {
			await this.#serve();
			await this.#state.callerResponse.concluded;
		} finally {
			this.#memoryWait[Symbol.dispose]();
		}
	}

	/**
	 * Cancels the current attempt and prevents further ones.
	 *
	 * @param reason - Why the request is cancelled.
	 */
	cancel(reason: StopReason): void {
		this.#state.stopReason = reason;
		this.#succession?.cancel(reason);
	}

	async #serve(): Promise<void> {
		const {services: {gateway, clock}, request, attempts, callerResponse, trace} = this.#state;
		for (;;) {
			await gateway.loadUpdates.refresh();
			// The deadline's timer may not have fired yet: after a stall of the process, or while this loop repeats without waiting.
			if (this.#state.isOver || request.demand.deadline <= clock.now()) {
				callerResponse.conclude('deadlinePassed', this.#state.stopReason);
				return;
			}

			if (this.#suspicion.refuseIfConvicted()) {
				return;
			}

			const placement = this.#reservedAttempt.takeMemoryShortage() ? undefined : this.#suspicion.place();
			if (this.#refusals.refuseIfExcessive(placement)) {
				return;
			}

			if (placement === undefined) {
				if (await this.#waitForMemory() ?? await this.#waitOrConclude()) {
					continue;
				}

				return;
			}

			if (this.#refusals.refuseIfUnfinishable(placement) || this.#refusals.refuseIfHarmful(placement)) {
				return;
			}

			const {sent} = attempts;
			const ending = await this.#attempt(placement);
			if (ending.type === 'answered') {
				trace.finish('answered');
				return;
			}

			const canRepeat = this.#canRepeat(ending);
			// Other hosts may have found out more in the meantime.
			if (canRepeat && this.#suspicion.refuseIfConvicted()) {
				return;
			}

			// An attempt that reached no upstream, for example as its reservation was refused, has used nothing of the retry budget.
			if (!canRepeat || (attempts.sent > sent && !this.#isRetryAllowed())) {
				callerResponse.conclude(selectAnswer(ending), this.#state.stopReason, this.#computeServiceWait());
				return;
			}
		}
	}

	/** Sends the request, and further attempts in place of one that is unresponsive or better off elsewhere. */
	async #attempt(first: Placement): Promise<AttemptEnding> {
		this.#succession = new Succession({
			state: this.#state,
			suspicion: this.#suspicion,
			send: async (placement, run) => this.#send(placement, run, placement === first ? this.#reservedAttempt : this.#createReservedAttempt()),
			onEnded: ending => {
				this.#noteEnded(ending);
			},
		});
		return this.#succession.run(first);
	}

	async #send(placement: Placement, run: Run, reservedAttempt: ReservedAttempt): Promise<AttemptEnding> {
		const {services: {gateway}, demand} = this.#state;
		const plan = gateway.placements.planReservation(demand, placement);
		return plan.type === 'none' ? this.#sender.send(placement, run) : reservedAttempt.run(placement, plan, run);
	}

	#createReservedAttempt(): ReservedAttempt {
		return new ReservedAttempt(this.#state, async (placement, run, reservation) => this.#sender.send(placement, run, reservation));
	}

	/** Returns the milliseconds until some upstream of the service accepts requests of this host. */
	#computeServiceWait(): number {
		const {services: {gateway}, request: {demand}} = this.#state;
		return gateway.placements.computeWait(demand.service, anyUpstream) ?? 0;
	}

	/**
	 * Lets a request without a placement wait for memory, or refuses it if that will not be free in time.
	 *
	 * @returns Whether to try again; undefined if it isn't memory that the request lacks.
	 */
	async #waitForMemory(): Promise<boolean | undefined> {
		const {attempts, callerResponse} = this.#state;
		const result = await this.#memoryWait.wait(this.#state.demand, attempts.eligibility, () => this.#state.isOver);
		switch (result?.type) {
			case undefined: {
				return undefined;
			}

			case 'retry': {
				return true;
			}

			case 'refused': {
				callerResponse.conclude('overloaded', this.#state.stopReason, result.wait);
				return false;
			}

			case 'stopping': {
				callerResponse.conclude('leaving', this.#state.stopReason);
				return false;
			}

			default: {
				return assertNever(result);
			}
		}
	}

	/**
	 * Handles a request that was not placed. One whose caller has part of its answer waits, any other ends at once.
	 *
	 * @returns Whether to try again.
	 */
	async #waitOrConclude(): Promise<boolean> {
		const {services: {gateway}, request: {demand}, attempts, callerResponse, stopReason} = this.#state;
		const shortestWait = gateway.placements.computeWait(demand.service, attempts.eligibility);
		// What kept an upstream from accepting the request may have ended since. Only once, as it may also lack something else.
		if (shortestWait === 0 && !this.#hasRetriedPlacement) {
			this.#hasRetriedPlacement = true;
			return true;
		}

		const wait = shortestWait ?? 0;
		if (wait > 0 && callerResponse.hasBegun) {
			await sleep(Math.min(wait, maxSleepMs));
			return true;
		}

		this.#logObstacles(wait);
		callerResponse.conclude(wait > 0 ? 'overloaded' : 'noUpstream', stopReason, wait);
		return false;
	}

	/** Logs what keeps the upstreams of the service from accepting the request, if that is known. */
	#logObstacles(wait: number): void {
		const {services: {gateway}, request: {demand: {service}}, trace} = this.#state;
		const obstacles = gateway.placements.countObstacles(service);
		if (Object.keys(obstacles).length > 0) {
			trace.write('not-accepted', {service, obstacles, wait: Math.round(wait)});
		}
	}

	#noteEnded(ending: AttemptEnding): void {
		const isReplaced = ending.type === 'cancelled' && !this.#state.isOver;
		if (ending.type === 'unknown' || ending.type === 'failed' || isReplaced) {
			this.#state.callerResponse.noteMayHaveRun();
		}

		if (ending.type === 'unknown') {
			this.#suspicion.excuseCrashes();
		}
	}

	/** Whether the request may be sent again, apart from the retry budget. */
	#canRepeat(ending: AttemptEnding): boolean {
		const {attempts, isOver, callerResponse} = this.#state;
		return !isOver && callerResponse.canContinue && attempts.canRetryAfter(ending);
	}

	/** Checks the retry budget that all hosts share. */
	#isRetryAllowed(): boolean {
		const {services: {gateway, clock, metrics}, request: {demand: {service}}, trace} = this.#state;
		const isAllowed = gateway.canRetry(service, this.#suspicion.isSuspected);
		metrics.retries.inc({service, allowed: String(isAllowed)});
		if (isAllowed) {
			gateway.retries.countRetry(service, clock.now());
		} else {
			trace.write('retry-denied', {service, hosts: gateway.peers.fleetSize});
		}

		return isAllowed;
	}
}

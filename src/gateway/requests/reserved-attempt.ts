/** Reserves the memory of a request at its engines before it is sent, and replaces engines that refuse. */
import {type Job} from '../../core/gateway/engines/load.js';
import {type PlannedReservation} from '../../core/gateway/engines/memory-reservation.js';
import {type AttemptEnding} from '../../core/gateway/limits/retries.js';
import {type Placement} from '../../core/gateway/placement/placement.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {type RequestState} from './request-state.js';
import {type Run} from './run.js';
import {type Hold, type HoldPart} from './holds.js';

/** Engines that may be replaced during one reservation, so that it ends long before the leases of its first parts. */
const maxSubstitutions = 4;

/** Refusals after which a prompt that fits one engine waits for its turn before it tries another one. */
const refusalsBeforeWait = 4;

/** Memory that was reserved for an attempt, and the job that was published for it. */
export type Reservation = {
	readonly hold: Hold;
	readonly job: Job;
	readonly plan: PlannedReservation;
};

/** Sends a request whose memory is reserved. */
export type ReservedSender = (placement: Placement, run: Run, reservation: Reservation) => Promise<AttemptEnding>;

function toHoldPart({id, started, address}: GatewayUpstream, tokens: number): HoldPart {
	return {
		upstream: id, started, address, tokens,
	};
}

function listHolders({upstream, helpers}: Placement, {type}: PlannedReservation): readonly GatewayUpstream[] {
	return type === 'split' ? [upstream, ...helpers] : [upstream];
}

export class ReservedAttempt {
	readonly #state: RequestState;
	readonly #send: ReservedSender;
	/** Whether an engine has just refused memory that was forecast to be free. */
	#isMemoryShort = false;
	/** Refusals of a prompt that fits one engine. */
	#refusalCount = 0;

	/**
	 * @param state - Request.
	 * @param send - Sends the request once its memory is reserved.
	 */
	constructor(state: RequestState, send: ReservedSender) {
		this.#state = state;
		this.#send = send;
	}

	/**
	 * @returns Whether the request should wait for its turn before it is placed again; false until an engine has refused memory once more.
	 */
	takeMemoryShortage(): boolean {
		const isMemoryShort = this.#isMemoryShort;
		this.#isMemoryShort = false;
		return isMemoryShort;
	}

	/**
	 * Reserves memory and sends the request. Its job is published before, and ends after the memory is released: other
	 * requests, of this host and of others, would find the same memory free.
	 *
	 * @param first - Placement of the request.
	 * @param plan - Memory to reserve.
	 * @param run - Attempt among those of the request.
	 * @returns How the attempt ended.
	 */
	async run(first: Placement, plan: PlannedReservation, run: Run): Promise<AttemptEnding> {
		const {services: {gateway, holds}, trace} = this.#state;
		let placement = first;
		let job = this.#beginJob(placement);
		try {
			const holders = listHolders(placement, plan);
			await using hold = holds.prepare(holders.map(engine => toHoldPart(engine, plan.tokens)));
			gateway.coldStarts.countReservation(holders.map(each => each.id));
			let refused = await hold.acquire();
			for (let substitutions = 0; refused.length > 0 && substitutions < maxSubstitutions && !this.#state.isOver && !run.isDropped; substitutions++) {
				const changed = this.#substitute(hold, placement, refused[0]!, plan);
				if (changed === undefined) {
					break;
				}

				gateway.loadUpdates.end(job.id);
				placement = changed;
				job = this.#beginJob(placement);
				refused = await hold.acquire();
			}

			holds.count(refused.length === 0, hold.askedParts, plan.type);
			if (run.isDropped) {
				return {type: 'not-run', reason: 'no longer needed', isShed: false};
			}

			if (refused.length > 0 || this.#state.isOver) {
				this.#recordRefusedHold(hold, refused, plan);
				return {type: 'not-run', reason: 'memory not granted', isShed: true};
			}

			// The order may have arrived while the engines reserved the memory.
			const evacuated = gateway.placements.findEvacuated(placement);
			if (evacuated.length > 0) {
				trace.write('hold-unused', {hold: hold.name, reason: plan.type, evacuated});
				return {type: 'not-run', reason: 'evacuated', isShed: true};
			}

			// Awaited before returning, because the hold must not be released before the attempt ends.
			const ending = await this.#send(placement, run, {hold, job, plan});
			return ending;
		} finally {
			gateway.loadUpdates.end(job.id);
		}
	}

	#beginJob(placement: Placement): Job {
		return this.#state.beginJob(placement, this.#state.attempts.placementKind);
	}

	/** Asks another engine for the part that one refused. A prompt that fits one engine is placed again instead. */
	#substitute(hold: Hold, placement: Placement, refusing: string, {type, tokens}: PlannedReservation): Placement | undefined {
		const {services: {gateway}, request: {demand}, attempts, trace} = this.#state;
		if (type === 'contested' || hold.unanswered.length > 0 || !gateway.placements.mayWaitForMemory(demand)) {
			return undefined;
		}

		gateway.memoryQueue.noteRefusal(refusing);
		const changed = gateway.placements.substitute(placement, refusing, demand, attempts.eligibility);
		if (changed !== undefined) {
			const known = new Set([placement.upstream.id, ...placement.helpers.map(each => each.id)]);
			const added = [changed.upstream, ...changed.helpers].find(each => !known.has(each.id))!;
			trace.write('hold-replaced', {hold: hold.name, refused: refusing, by: added.id});
			hold.replace(refusing, toHoldPart(added, tokens));
			gateway.coldStarts.countReservation([added.id]);
		}

		return changed;
	}

	#recordRefusedHold(hold: Hold, refused: readonly string[], {type}: PlannedReservation): void {
		const {services: {gateway}, attempts, trace} = this.#state;
		trace.write('hold-refused', {hold: hold.name, reason: type, refused});
		if (hold.unanswered.length > 0) {
			attempts.recordRefusedHold(refused);
			return;
		}

		for (const upstream of refused) {
			gateway.memoryQueue.noteRefusal(upstream);
		}

		this.#refusalCount++;
		this.#isMemoryShort = type === 'split' || this.#refusalCount % refusalsBeforeWait === 0;
		attempts.recordMemoryShortage();
	}
}

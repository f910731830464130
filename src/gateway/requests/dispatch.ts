/** Sends a request to one upstream after another, as far as retries are allowed, and forwards their responses to the caller. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {assertNever} from '../../core/index.js';
import {type Job} from '../../core/gateway/engines/load.js';
import {computeWeight} from '../../core/gateway/engines/losses.js';
import {type Placement} from '../../core/gateway/placement/placement.js';
import {defaultPolicy} from '../../core/gateway/placement/policy.js';
import {isHarmful, estimateRetryDelay} from '../../core/gateway/placement/refusal.js';
import {type AttemptEnding} from '../../core/gateway/limits/retries.js';
import {type PaceSampler} from '../../core/gateway/engines/pace-sampler.js';
import {Attempts, type Eligibility} from '../../core/gateway/placement/attempts.js';
import {computeReturnDelay} from '../../core/gateway/limits/shares.js';
import {type Demand, type GatewayUpstream, type Route} from '../../core/gateway/types.js';
import {roundDownTo, roundTo, roundUpTo} from '../../core/utils/numbers.js';
import {computeFingerprint} from '../callers/admission.js';
import {selectAnswer} from '../callers/answers.js';
import {Attempt} from '../upstreams/attempt.js';
import {type CallerResponse, type StopReason} from '../callers/caller-response.js';
import {type GatewayServices} from '../services.js';
import {AttemptVerdicts} from '../upstreams/attempt-verdicts.js';
import {StallDetector} from '../upstreams/stall-detector.js';
import {listHelpers} from './helpers.js';
import {MemoryWait} from './memory-wait.js';
import {type Hold, type HoldPart} from './holds.js';
import {Rerouter} from './rerouter.js';
import {type RequestTrace} from './trace.js';

/** Longest time, in milliseconds, until a waiting request notices that its caller has left. */
const maxSleepMs = 100;

/** Engines that may be replaced during one reservation, so that it ends long before the leases of its first parts. */
const maxSubstitutions = 4;

function toHoldPart({id, started, address}: GatewayUpstream, {holdTokens}: Placement): HoldPart {
	return {
		upstream: id, started, address, tokens: holdTokens,
	};
}

const anyUpstream: Eligibility = {excluded: new Set()};

/** An admitted request. */
export type AdmittedRequest = {
	readonly incoming: IncomingMessage;
	readonly body: Buffer;
	readonly route: Route;
	readonly organisation: string | undefined;
	/** Tag that its use counts toward; absent if the configuration has no organisations. */
	readonly tag?: string;
	readonly demand: Demand;
};

/** Notified of the events of an attempt. */
type EventObservers = {
	readonly stallDetector: StallDetector;
	readonly paceSampler: PaceSampler | undefined;
};

export class Dispatch {
	readonly #services: GatewayServices;
	readonly #request: AdmittedRequest;
	readonly #callerResponse: CallerResponse;
	readonly #trace: RequestTrace;
	readonly #attempts: Attempts;
	readonly #fingerprint: string;
	readonly #verdicts: AttemptVerdicts;
	readonly #rerouter: Rerouter;
	readonly #memoryWait: MemoryWait;
	/** Whether an engine has just refused memory that was forecast to be free: the request waits for its turn before it tries again. */
	#isMemoryShort = false;
	/** Tag that the use of the request counts toward, until it is counted with its first job. */
	#uncountedTag: string | undefined;
	/** Whether the share of its organisation was checked: a request that waits afterwards keeps its turn. */
	#isShareChecked = false;
	/** Whether no upstream could take the request as it arrived. */
	#hasWaited = false;
	#currentAttempt: Attempt | undefined;
	#stopReason: StopReason | undefined;

	/**
	 * @param services - Services shared by all requests.
	 * @param request - Request to send.
	 * @param callerResponse - Response to its caller.
	 * @param trace - Records each decision.
	 */
	constructor(services: GatewayServices, request: AdmittedRequest, callerResponse: CallerResponse, trace: RequestTrace) {
		this.#services = services;
		this.#request = request;
		this.#callerResponse = callerResponse;
		this.#trace = trace;
		this.#attempts = new Attempts(request.route);
		this.#uncountedTag = request.tag;
		this.#fingerprint = computeFingerprint(request.incoming, request.organisation, request.body);
		this.#verdicts = new AttemptVerdicts(services.gateway, this.#attempts, this.#fingerprint);
		this.#rerouter = new Rerouter(services.gateway, this.#attempts, trace);
		this.#memoryWait = new MemoryWait(services, request.demand.id, trace);
		trace.attempts = this.#attempts;
	}

	/** Resolves when the caller has its answer or the request was given up. */
	async run(): Promise<void> {
		try {
			await this.#serve();
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
		this.#stopReason = reason;
		if (this.#currentAttempt !== undefined && reason === 'time over') {
			this.#callerResponse.noteMayHaveRun();
		}

		this.#currentAttempt?.cancel(reason);
	}

	async #serve(): Promise<void> {
		const {gateway, clock} = this.#services;
		if (gateway.convictions.isConvicted(this.#fingerprint)) {
			this.#callerResponse.refuse('convicted');
			return;
		}

		for (;;) {
			await gateway.loadUpdates.refresh();
			// The deadline's timer may not have fired yet: after a stall of the process, or while this loop repeats without waiting.
			if (this.#isOver || this.#request.demand.deadline <= clock.now()) {
				this.#callerResponse.conclude('deadlinePassed', this.#stopReason);
				return;
			}

			const placement = this.#isMemoryShort ? undefined : gateway.placements.place(this.#currentDemand, this.#attempts.eligibility);
			this.#isMemoryShort = false;
			if (this.#refuseIfExcessive(placement)) {
				return;
			}

			if (placement === undefined) {
				if (await this.#waitForMemory() ?? await this.#waitOrConclude()) {
					continue;
				}

				return;
			}

			if (this.#refuseIfHarmful(placement)) {
				return;
			}

			const ending = placement.holdTokens === 0 ? await this.#send(placement) : await this.#attemptWithHold(placement);
			if (ending.type === 'answered') {
				gateway.convictions.acquit(this.#fingerprint);
				this.#trace.finish('answered');
				return;
			}

			this.#notePossibleRun(ending);
			if (!this.#canAttemptAgain(ending)) {
				this.#callerResponse.conclude(selectAnswer(ending), this.#stopReason, this.#computeServiceWait());
				return;
			}
		}
	}

	/** Demand of the next attempt: once an answer has begun, its next event is due within the pause limit of the route. */
	get #currentDemand(): Demand {
		const {demand} = this.#request;
		const {lastEventAt} = this.#trace;
		return lastEventAt === undefined || demand.pause === undefined ? demand : {...demand, due: lastEventAt + demand.pause, hasBegun: true};
	}

	get #isOver(): boolean {
		return this.#stopReason !== undefined || this.#callerResponse.isClosed;
	}

	/** Returns the milliseconds until some upstream of the service accepts requests of this host. */
	#computeServiceWait(): number {
		return this.#services.gateway.placements.computeWait(this.#request.demand.service, anyUpstream) ?? 0;
	}

	/**
	 * Lets a request without a placement wait for memory, or refuses it if that will not be free in time.
	 *
	 * @returns Whether to try again; undefined if it isn't memory that the request lacks.
	 */
	async #waitForMemory(): Promise<boolean | undefined> {
		const result = await this.#memoryWait.wait(this.#currentDemand, this.#attempts.eligibility, () => this.#isOver);
		switch (result?.type) {
			case undefined: {
				return undefined;
			}

			case 'retry': {
				return true;
			}

			case 'refused': {
				this.#callerResponse.conclude('overloaded', this.#stopReason, result.wait);
				return false;
			}

			case 'stopping': {
				this.#callerResponse.conclude('leaving', this.#stopReason);
				return false;
			}

			default: {
				return assertNever(result);
			}
		}
	}

	/**
	 * Handles a request that no upstream accepts now. One whose caller has part of its answer waits, any other ends at once.
	 *
	 * @returns Whether to try again.
	 */
	async #waitOrConclude(): Promise<boolean> {
		const wait = this.#services.gateway.placements.computeWait(this.#request.demand.service, this.#attempts.eligibility) ?? 0;
		if (wait > 0 && this.#callerResponse.hasBegun) {
			await sleep(Math.min(wait, maxSleepMs));
			return true;
		}

		this.#logObstacles(wait);
		this.#callerResponse.conclude(wait > 0 ? 'overloaded' : 'noUpstream', this.#stopReason, wait);
		return false;
	}

	/** Refuses a request that has not been sent yet if upstreams are full and its organisation uses far more than its usual share. */
	#refuseIfExcessive(placement: Placement | undefined): boolean {
		const {gateway, metrics, random} = this.#services;
		const {demand, tag, organisation, route} = this.#request;
		if (tag === undefined || this.#isShareChecked) {
			return false;
		}

		this.#isShareChecked = true;
		this.#hasWaited = placement === undefined;
		const excess = gateway.shares.findExcess(tag, demand, placement);
		if (excess === undefined) {
			return false;
		}

		const returnAfter = computeReturnDelay(excess, random());
		metrics.shareRefusals.inc({service: demand.service});
		// Rounded apart: a use that exceeds its share by little must not look equal to it.
		this.#trace.write('share-exceeded', {
			organisation, route: route.name, priority: demand.organisationPriority, use: roundUpTo(excess.use, 2), share: roundDownTo(excess.share, 2), returnAfter: Math.round(returnAfter),
		});
		this.#callerResponse.refuse('overloaded', returnAfter / 1000);
		return true;
	}

	/** Refuses a request that has not been sent yet if serving it would cost other requests more than its weight. */
	#refuseIfHarmful(placement: Placement): boolean {
		const {gateway, random} = this.#services;
		const {demand} = this.#request;
		const model = gateway.service(demand.service)?.engine;
		if (model === undefined || demand.prompt === undefined || this.#attempts.sent > 0) {
			return false;
		}

		const weight = computeWeight(model, demand.prompt);
		if (!isHarmful(placement, weight, defaultPolicy)) {
			return false;
		}

		const returnAfter = estimateRetryDelay(placement, model, random());
		this.#trace.write('not-placed', {
			upstream: placement.upstream.id,
			tokens: demand.prompt.tokens,
			predicted: Math.round(placement.firstByte),
			loss: roundTo(placement.loss, 3),
			weight: roundTo(weight, 2),
			returnAfter: Math.round(returnAfter),
		});
		this.#callerResponse.refuse('overloaded', returnAfter / 1000);
		return true;
	}

	#notePossibleRun(ending: AttemptEnding): void {
		const isRerouted = ending.type === 'cancelled' && !this.#isOver;
		if (ending.type === 'unknown' || ending.type === 'failed' || isRerouted) {
			this.#callerResponse.noteMayHaveRun();
		}
	}

	#canAttemptAgain(ending: AttemptEnding): boolean {
		if (this.#isOver || !this.#attempts.canRetryAfter(ending)) {
			return false;
		}

		// A request that hasn't reached any upstream yet is not a retry.
		return this.#attempts.sent === 0 || this.#isRetryAllowed();
	}

	/** Checks the retry budget that all hosts share. */
	#isRetryAllowed(): boolean {
		const {gateway, clock, metrics} = this.#services;
		const {service} = this.#request.demand;
		const isAllowed = gateway.canRetry(service);
		metrics.retries.inc({service, allowed: String(isAllowed)});
		if (isAllowed) {
			gateway.retries.countRetry(service, clock.now());
		} else {
			this.#trace.write('retry-denied', {service, hosts: gateway.peers.fleetSize});
		}

		return isAllowed;
	}

	/**
	 * Reserves memory at several engines and sends the request. Its job is published before, and ends after the memory is released: other
	 * requests, of this host and of others, would find the same memory free.
	 */
	async #attemptWithHold(first: Placement): Promise<AttemptEnding> {
		const {gateway, holds} = this.#services;
		let placement = first;
		let job = this.#beginJob(placement);
		try {
			await using hold = holds.prepare([placement.upstream, ...placement.helpers].map(engine => toHoldPart(engine, placement)));
			gateway.coldStarts.countReservation([placement.upstream.id, ...placement.helpers.map(each => each.id)]);
			let refused = await hold.acquire();
			for (let substitutions = 0; refused.length > 0 && substitutions < maxSubstitutions && !this.#isOver; substitutions++) {
				const changed = this.#substitute(hold, placement, refused[0]!);
				if (changed === undefined) {
					break;
				}

				gateway.loadUpdates.end(job.id);
				placement = changed;
				job = this.#beginJob(placement);
				refused = await hold.acquire();
			}

			holds.count(refused.length === 0, hold.askedParts);
			if (refused.length > 0 || this.#isOver) {
				this.#recordRefusedHold(hold, refused);
				return {type: 'not-run', reason: 'memory not granted', isShed: true};
			}

			// The order may have arrived while the engines reserved the memory.
			const evacuated = gateway.placements.findEvacuated(placement);
			if (evacuated.length > 0) {
				this.#trace.write('hold-unused', {hold: hold.name, evacuated});
				return {type: 'not-run', reason: 'evacuated', isShed: true};
			}

			// Awaited before returning, because the hold must not be released before the attempt ends.
			const ending = await this.#send(placement, {hold, job});
			return ending;
		} finally {
			gateway.loadUpdates.end(job.id);
		}
	}

	#beginJob(placement: Placement, placing = this.#attempts.placementKind): Job {
		const organisation = this.#uncountedTag;
		this.#uncountedTag = undefined;
		return this.#services.gateway.placements.beginJob(this.#request.demand, placement, placing, organisation === undefined ? undefined : {organisation, hasWaited: this.#hasWaited});
	}

	/** Asks another engine for the part that one refused. */
	#substitute(hold: Hold, placement: Placement, refusing: string): Placement | undefined {
		const {gateway} = this.#services;
		const {demand} = this.#request;
		if (hold.unanswered.length > 0 || !gateway.placements.mayWaitForMemory(demand)) {
			return undefined;
		}

		gateway.memoryQueue.noteRefusal(refusing);
		const changed = gateway.placements.substitute(placement, refusing, demand, this.#attempts.eligibility);
		if (changed !== undefined) {
			const known = new Set([placement.upstream.id, ...placement.helpers.map(each => each.id)]);
			const added = [changed.upstream, ...changed.helpers].find(each => !known.has(each.id))!;
			this.#trace.write('hold-replaced', {hold: hold.name, refused: refusing, by: added.id});
			hold.replace(refusing, toHoldPart(added, changed));
			gateway.coldStarts.countReservation([added.id]);
		}

		return changed;
	}

	#recordRefusedHold(hold: Hold, refused: readonly string[]): void {
		const {gateway} = this.#services;
		this.#trace.write('hold-refused', {hold: hold.name, refused});
		if (hold.unanswered.length > 0 || !gateway.placements.mayWaitForMemory(this.#request.demand)) {
			this.#attempts.recordRefusedHold(refused);
			return;
		}

		this.#isMemoryShort = true;
		this.#attempts.recordMemoryShortage();
		for (const upstream of refused) {
			gateway.memoryQueue.noteRefusal(upstream);
		}
	}

	async #send(placement: Placement, held?: {readonly hold: Hold; readonly job: Job}): Promise<AttemptEnding> {
		const {gateway, clock, metrics} = this.#services;
		const {demand} = this.#request;
		const remaining = demand.deadline - clock.now();
		if (remaining <= 0) {
			return {type: 'not-run', reason: 'no time left', isShed: false};
		}

		const {placementKind} = this.#attempts;
		const hold = held?.hold;
		this.#memoryWait.grant();
		this.#attempts.recordSent(placement.upstream.id);
		const job = held?.job ?? this.#beginJob(placement, placementKind);
		this.#logPlacement(placement, job, hold, remaining);
		const attempt = this.#createAttempt(placement, hold, remaining);
		this.#currentAttempt = attempt;
		if (this.#attempts.canFailOver && this.#request.route.kind === 'streaming') {
			this.#rerouter.watch({
				job: job.id, place: placement, attempt, demand: () => this.#currentDemand,
			});
		}

		hold?.setLossHandler(() => {
			attempt.cancel('memory lost');
		});
		const stallDetector = new StallDetector(attempt, this.#attempts.canFailOver, placement.firstByte, () => gateway.placements.forecastIterationTime(placement.upstream.id));
		try {
			const ending = await this.#finishAttempt(attempt, placement.upstream, job.id, {stallDetector, paceSampler: gateway.placements.createPaceSampler(demand, placement, job.id)});
			metrics.attempts.inc({service: demand.service, ending: ending.type});
			this.#logEnding(placement, job.id, ending);
			return ending;
		} finally {
			stallDetector.stop();
			this.#currentAttempt = undefined;
			if (held === undefined) {
				gateway.loadUpdates.end(job.id);
			}
		}
	}

	#createAttempt(placement: Placement, hold: Hold | undefined, remaining: number): Attempt {
		const {headerFormat, agent} = this.#services;
		const {incoming, body, demand, organisation} = this.#request;
		const headers = [...headerFormat.formatUpstreamHeaders(incoming.rawHeaders, {
			left: Math.floor(remaining),
			upstream: placement.upstream.id,
			organisation,
			urgency: placement.urgency,
			helpers: listHelpers(placement, hold),
			lastEventId: this.#callerResponse.lastEventId,
		})];
		if (body.length > 0 || incoming.headers['content-length'] !== undefined) {
			headers.push('Content-Length', String(body.length));
		}

		return new Attempt({
			id: demand.id,
			method: incoming.method ?? 'GET',
			path: incoming.url ?? '/',
			headers,
			body,
			address: placement.upstream.address,
		}, headerFormat, agent);
	}

	#logPlacement(placement: Placement, job: Job, hold: Hold | undefined, remaining: number): void {
		const {gateway} = this.#services;
		this.#trace.write('placed', {
			attempt: job.id,
			upstream: placement.upstream.id,
			helpers: placement.helpers.map(each => each.id),
			hold: hold?.name,
			tokens: this.#request.demand.prompt?.tokens ?? 0,
			predicted: Math.round(placement.firstByte),
			loss: roundTo(placement.loss, 3),
			weight: roundTo(job.weight, 2),
			jobs: gateway.load.size,
			left: Math.round(remaining),
			version: gateway.directory?.configuration.version,
			confirmedAge: Math.round(gateway.confirmedAge),
		});
	}

	/** Logs what keeps the upstreams of the service from accepting the request, if that is known. */
	#logObstacles(wait: number): void {
		const {service} = this.#request.demand;
		const obstacles = this.#services.gateway.placements.countObstacles(service);
		if (Object.keys(obstacles).length > 0) {
			this.#trace.write('not-accepted', {service, obstacles, wait: Math.round(wait)});
		}
	}

	#logEnding(placement: Placement, attempt: string, ending: AttemptEnding): void {
		const {type, ...details} = ending;
		this.#trace.write('attempt-ended', {
			attempt, upstream: placement.upstream.id, ending: type, ...details,
		});
	}

	async #finishAttempt(attempt: Attempt, {id: upstream, started}: GatewayUpstream, job: string, {stallDetector, paceSampler}: EventObservers): Promise<AttemptEnding> {
		const {gateway, clock} = this.#services;
		const sent = clock.now();
		const reply = await attempt.reply();
		if (reply.type === 'ended') {
			return this.#verdicts.recordUnanswered(reply, upstream);
		}

		if (!reply.metadata.isMisdirected) {
			gateway.selfReports.record({upstream, started}, reply.metadata.report, sent);
		}

		if (reply.metadata.isNotRun || reply.metadata.isMisdirected) {
			reply.body.resume();
			return this.#verdicts.recordNotRun(reply, upstream);
		}

		const forwarded = await this.#callerResponse.forward(reply, this.#request.route, {
			began: () => {
				this.#trace.noteFirstByte();
				gateway.loadUpdates.progress(job);
			},
			receivedEvents() {
				stallDetector.noteEvents();
				gateway.paces.recordSample(paceSampler?.noteEvents(clock.now()));
			},
			stopped() {
				// The next events may have arrived before they are read.
				paceSampler?.noteDelay();
				stallDetector.stop();
			},
			resumed() {
				stallDetector.noteEvents();
			},
		});
		const isCancelled = forwarded.type === 'unknown' && attempt.cancelled !== undefined;
		const ending: AttemptEnding = isCancelled ? {type: 'cancelled', reason: attempt.cancelled} : forwarded;
		this.#verdicts.recordEnding(ending, upstream);
		return ending;
	}
}

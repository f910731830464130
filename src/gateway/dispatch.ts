/** Sends a request to one upstream after another, as far as retries are allowed, and forwards their responses to the caller. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Job} from '../core/gateway/load.js';
import {computeWeight} from '../core/gateway/losses.js';
import {type Placement} from '../core/gateway/placement.js';
import {defaultPolicy} from '../core/gateway/policy.js';
import {isHarmful, estimateRetryDelay} from '../core/gateway/refusal.js';
import {type AttemptEnding} from '../core/gateway/retries.js';
import {type PaceSampler} from '../core/gateway/pace-sampler.js';
import {Attempts, type Eligibility} from '../core/gateway/attempts.js';
import {type Demand, type GatewayUpstream, type Route} from '../core/gateway/types.js';
import {roundTo} from '../core/utils/numbers.js';
import {computeFingerprint} from './admission.js';
import {selectAnswer} from './answers.js';
import {Attempt} from './attempt.js';
import {type CallerResponse, type StopReason} from './caller-response.js';
import {listHelpers} from './helpers.js';
import {type Hold} from './holds.js';
import {Rerouter} from './rerouter.js';
import {type GatewayServices} from './services.js';
import {type RequestTrace} from './trace.js';
import {AttemptVerdicts} from './attempt-verdicts.js';
import {StallDetector} from './stall-detector.js';

/** Longest time, in milliseconds, until a waiting request notices that its caller has left. */
const maxSleepMs = 100;

const anyUpstream: Eligibility = {excluded: new Set()};

/** An admitted request. */
export type AdmittedRequest = {
	readonly incoming: IncomingMessage;
	readonly body: Buffer;
	readonly route: Route;
	readonly organisation: string | undefined;
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
		this.#fingerprint = computeFingerprint(request.incoming, request.organisation, request.body);
		this.#verdicts = new AttemptVerdicts(services.gateway, this.#attempts, this.#fingerprint);
		this.#rerouter = new Rerouter(services.gateway, this.#attempts, trace);
		trace.attempts = this.#attempts;
	}

	/** Resolves when the caller has its answer or the request was given up. */
	async run(): Promise<void> {
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

			const placement = gateway.place(this.#currentDemand, this.#attempts.eligibility);
			if (placement === undefined) {
				if (await this.#waitOrConclude()) {
					continue;
				}

				return;
			}

			if (this.#refuseIfHarmful(placement)) {
				return;
			}

			const ending = await this.#attemptAt(placement);
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
		return this.#services.gateway.computeWait(this.#request.demand.service, anyUpstream) ?? 0;
	}

	/**
	 * Handles a request that no upstream accepts now. One whose caller has part of its answer waits, any other ends at once.
	 *
	 * @returns Whether to try again.
	 */
	async #waitOrConclude(): Promise<boolean> {
		const wait = this.#services.gateway.computeWait(this.#request.demand.service, this.#attempts.eligibility) ?? 0;
		if (wait > 0 && this.#callerResponse.hasBegun) {
			await sleep(Math.min(wait, maxSleepMs));
			return true;
		}

		this.#logObstacles(wait);
		this.#callerResponse.conclude(wait > 0 ? 'overloaded' : 'noUpstream', this.#stopReason, wait);
		return false;
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

	async #attemptAt(placement: Placement): Promise<AttemptEnding> {
		if (placement.holdTokens === 0) {
			return this.#send(placement, undefined);
		}

		const {gateway, holds} = this.#services;
		const engines = [placement.upstream, ...placement.helpers];
		await using hold = holds.prepare(engines.map(each => ({
			upstream: each.id, started: each.started, address: each.address, tokens: placement.holdTokens,
		})));
		gateway.coldStarts.countReservation(engines.map(each => each.id));
		const refused = await hold.acquire();
		holds.count(refused.length === 0);
		if (refused.length > 0 || this.#isOver) {
			this.#attempts.recordRefusedHold(refused);
			this.#trace.write('hold-refused', {hold: hold.name, refused});
			return {type: 'not-run', reason: 'memory not granted', isShed: true};
		}

		// The order may have arrived while the engines reserved the memory.
		const evacuated = gateway.findEvacuated(placement);
		if (evacuated.length > 0) {
			this.#trace.write('hold-unused', {hold: hold.name, evacuated});
			return {type: 'not-run', reason: 'evacuated', isShed: true};
		}

		// Awaited before returning, because the hold must not be released before the attempt ends.
		const ending = await this.#send(placement, hold);
		return ending;
	}

	async #send(placement: Placement, hold: Hold | undefined): Promise<AttemptEnding> {
		const {gateway, clock, metrics} = this.#services;
		const {demand} = this.#request;
		const remaining = demand.deadline - clock.now();
		if (remaining <= 0) {
			return {type: 'not-run', reason: 'no time left', isShed: false};
		}

		const {placementKind} = this.#attempts;
		this.#attempts.recordSent(placement.upstream.id);
		const job = gateway.beginJob(demand, placement, placementKind);
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
		const stallDetector = new StallDetector(attempt, this.#attempts.canFailOver, placement.firstByte, () => gateway.forecastIterationTime(placement.upstream.id));
		try {
			const ending = await this.#finishAttempt(attempt, placement.upstream, job.id, {stallDetector, paceSampler: gateway.createPaceSampler(demand, placement, job.id)});
			metrics.attempts.inc({service: demand.service, ending: ending.type});
			this.#logEnding(placement, job.id, ending);
			return ending;
		} finally {
			stallDetector.stop();
			this.#currentAttempt = undefined;
			gateway.loadUpdates.end(job.id);
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
		const obstacles = this.#services.gateway.countObstacles(service);
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

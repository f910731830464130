/** Sends a request to its placement, forwards the response to the caller and records how the attempt ended. */
import {type Job} from '../../core/gateway/engines/load.js';
import {type PaceSampler} from '../../core/gateway/engines/pace-sampler.js';
import {isIdempotent, type AttemptEnding} from '../../core/gateway/limits/retries.js';
import {type Placement} from '../../core/gateway/placement/placement.js';
import {isUpstreamsEnd} from '../../core/gateway/health/connection-ends.js';
import {type Cause} from '../../core/gateway/suspicion/causes.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {roundTo} from '../../core/utils/numbers.js';
import {discardBody} from '../../protocol/discard.js';
import {Attempt, type Reply} from '../upstreams/attempt.js';
import {type FollowedResponse, type ResponseOrigin} from '../upstreams/response-ends.js';
import {type RunningAttempt} from '../suspicion/running-attempts.js';
import {AttemptVerdicts} from '../upstreams/attempt-verdicts.js';
import {type RequestState} from './request-state.js';
import {listHelpers} from './helpers.js';
import {type Hold} from './holds.js';
import {type MemoryWait} from './memory-wait.js';
import {type RequestSuspicion} from './request-suspicion.js';
import {type Reservation} from './reserved-attempt.js';
import {Rerouter} from './rerouter.js';
import {type Run} from './run.js';

/** By which a request that crashes engines is recognised, and what is known against it. */
export type RequestIdentity = {
	readonly fingerprint: string;
	readonly causes: readonly Cause[];
	readonly suspicion: RequestSuspicion;
};

/** Notified of the events of an attempt. */
type EventObservers = {
	readonly run: Run;
	readonly paceSampler: PaceSampler | undefined;
};

/** The connection of an upstream that dies ends like that of a response without a length. */
function confirmEnd(reply: Reply, followed: FollowedResponse | undefined): Reply {
	return followed === undefined ? reply : {...reply, isComplete: async () => await reply.isComplete() && followed.isWhole()};
}

export class Sender {
	readonly #state: RequestState;
	readonly #memoryWait: MemoryWait;
	readonly #verdicts: AttemptVerdicts;
	readonly #rerouter: Rerouter;
	readonly #identity: RequestIdentity;

	/**
	 * @param state - Request.
	 * @param identity - By which a request that crashes engines is recognised.
	 * @param memoryWait - Wait of the request for memory, which ends as it is sent.
	 */
	constructor(state: RequestState, identity: RequestIdentity, memoryWait: MemoryWait) {
		const {services: {gateway}, attempts, trace} = state;
		this.#state = state;
		this.#memoryWait = memoryWait;
		this.#identity = identity;
		this.#verdicts = new AttemptVerdicts(gateway, attempts);
		this.#rerouter = new Rerouter(gateway, attempts, trace);
	}

	/**
	 * @param placement - Where to send the request.
	 * @param run - Attempt among those of the request.
	 * @param reservation - Its reserved memory and its job; without it, a job is published for the attempt.
	 * @returns How the attempt ended.
	 */
	async send(placement: Placement, run: Run, reservation?: Reservation): Promise<AttemptEnding> {
		const {services: {gateway, clock, metrics}, request: {demand, route}, attempts, callerResponse} = this.#state;
		const remaining = demand.deadline - clock.now();
		if (remaining <= 0) {
			return {type: 'not-run', reason: 'no time left', isShed: false};
		}

		if (run.isDropped) {
			return {type: 'not-run', reason: 'no longer needed', isShed: false};
		}

		const {placementKind} = attempts;
		const hold = reservation?.hold;
		this.#memoryWait.grant();
		attempts.recordSent(placement.upstream.id);
		// Before its job, which would not end if the request can't be sent.
		const attempt = this.#createAttempt(placement, hold, remaining, placementKind === 'retry');
		const job = reservation?.job ?? this.#state.beginJob(placement, placementKind);
		this.#logPlacement(placement, job, reservation, remaining);
		run.begin(attempt, placement);
		const {canMove} = attempts;
		this.#identity.suspicion.announce();
		const running = this.#createRunning(placement, job, attempt);
		using _ = gateway.convictions.track(running);
		if (canMove && route.kind === 'streaming' && !this.#identity.suspicion.isSuspected) {
			this.#rerouter.watch({
				job: job.id, place: placement, run, demand: () => this.#state.demand,
			});
		}

		hold?.setLossHandler(() => {
			run.requestSuccessor('memory lost');
		});
		gateway.stallDetectors.add({
			attempt,
			upstream: placement.upstream,
			predicted: placement.firstByte,
			canContinue: () => attempts.canFailOver && callerResponse.canContinue,
			onQuiet() {
				run.prepareSuccessor();
			},
			onStall() {
				run.requestSuccessor('silent');
			},
		});
		try {
			const ending = await this.#finishAttempt(attempt, running, placement.upstream, {run, paceSampler: gateway.placements.createPaceSampler(demand, placement, job.id)});
			if (run.isDropped && attempt.cancelled !== undefined) {
				this.#recordDropped(ending, placement.upstream.id);
			}

			metrics.attempts.inc({service: demand.service, ending: ending.type});
			this.#logEnding(placement, job.id, ending, attempt);
			return ending;
		} finally {
			gateway.stallDetectors.delete(attempt);
			if (reservation === undefined) {
				gateway.loadUpdates.end(job.id);
			}
		}
	}

	#recordDropped({type}: AttemptEnding, upstream: string): void {
		const {attempts} = this.#state;
		if (type === 'cancelled') {
			attempts.recordDropped(upstream);
		} else if (type === 'not-run') {
			attempts.recordUnsent(upstream);
		}
	}

	#createAttempt(placement: Placement, hold: Hold | undefined, remaining: number, isRetry: boolean): Attempt {
		const {
			services: {headerFormat, agent, responseBounds}, request: {
				incoming, body, demand, organisation, route,
			}, callerResponse,
		} = this.#state;
		const headers = [...headerFormat.formatUpstreamHeaders(incoming.rawHeaders, {
			left: Math.floor(remaining),
			upstream: placement.upstream.id,
			organisation,
			urgency: placement.urgency,
			helpers: listHelpers(placement, hold),
			lastEventId: callerResponse.lastEventId,
		})];
		if (body.length > 0 || incoming.headers['content-length'] !== undefined) {
			headers.push('Content-Length', String(body.length));
		}

		if (isRetry) {
			// Idle connections may have been reset as well, although this host hasn't received that yet.
			agent.closeIdle(placement.upstream.address);
		}

		return new Attempt({
			id: demand.id,
			method: incoming.method ?? 'GET',
			path: incoming.url ?? '/',
			headers,
			body,
			address: placement.upstream.address,
			isIdempotent: isIdempotent(route),
			maxInterimResponses: responseBounds.interim,
		}, headerFormat, agent);
	}

	#logPlacement(placement: Placement, job: Job, reservation: Reservation | undefined, remaining: number): void {
		const {services: {gateway}, request: {demand}, trace} = this.#state;
		trace.write('placed', {
			attempt: job.id,
			upstream: placement.upstream.id,
			helpers: placement.helpers.map(each => each.id),
			hold: reservation?.hold.name,
			holdReason: reservation?.plan.type,
			preference: placement.preference?.reason,
			isPreferred: placement.preference?.isMet,
			margin: reservation?.plan.type === 'contested' ? reservation.plan.margin : undefined,
			tokens: demand.prompt?.tokens ?? 0,
			predicted: Math.round(placement.firstByte),
			loss: roundTo(placement.loss, 3),
			weight: roundTo(job.weight, 2),
			jobs: gateway.load.size,
			left: Math.round(remaining),
			version: gateway.directory?.configuration.version,
			confirmedAge: Math.round(gateway.confirmedAge),
		});
	}

	#logEnding(placement: Placement, job: string, ending: AttemptEnding, {framing, tunnel}: Attempt): void {
		const {type, ...details} = ending;
		this.#state.trace.write('attempt-ended', {
			attempt: job, upstream: placement.upstream.id, ending: type, framing, tunnel: tunnel?.id, ...details,
		});
	}

	#createRunning({upstream, helpers}: Placement, {id}: Job, attempt: Attempt): RunningAttempt {
		const {services: {clock}, callerResponse} = this.#state;
		const {fingerprint, causes} = this.#identity;
		return {
			attempt: id,
			upstream: upstream.id,
			started: upstream.started,
			scope: {service: upstream.service, version: upstream.version ?? ''},
			causes,
			fingerprint,
			helpers: helpers.map(each => each.id),
			sent: clock.now(),
			hasBegun: () => callerResponse.hasBegun,
			cancel() {
				attempt.cancel('convicted');
			},
		};
	}

	async #finishAttempt(attempt: Attempt, running: RunningAttempt, target: GatewayUpstream, {run, paceSampler}: EventObservers): Promise<AttemptEnding> {
		const {services: {gateway, clock, responseBounds}, request: {route}, callerResponse, trace} = this.#state;
		const {isSuspected} = this.#identity.suspicion;
		const {id: upstream, started} = target;
		const sent = clock.now();
		const reply = await attempt.reply(() => {
			run.noteConnected();
		});
		if (reply.type === 'ended') {
			const ending = this.#verdicts.recordUnanswered(reply, upstream, isSuspected);
			await this.#recordBreak(ending, attempt, running, target);
			return ending;
		}

		if (attempt.tunnel === undefined) {
			gateway.tunnels.links.recordTraffic(target, clock.now());
		}

		if (!reply.metadata.isMisdirected) {
			gateway.selfReports.record({upstream, started}, reply.metadata.report, sent);
		}

		if (reply.verdict.type === 'not-run') {
			discardBody(reply.body);
			return this.#verdicts.recordNotRun(reply, upstream);
		}

		gateway.stallDetectors.recordLife(target);
		const origin: ResponseOrigin = {
			upstream: target, tunnel: attempt.tunnel, sent, isRepeatable: isIdempotent(route),
		};
		if (reply.verdict.type === 'failed') {
			if (reply.verdict.isKept) {
				void this.#keepFailure(reply, origin);
			} else {
				discardBody(reply.body);
			}

			const ending: AttemptEnding = {type: 'failed', status: reply.status};
			this.#verdicts.recordEnding(ending, upstream, isSuspected);
			return ending;
		}

		let isReadLate = false;
		using followed = this.#follow(reply, origin);
		const forwarded = await callerResponse.forward(confirmEnd(reply, followed), {
			get yielding() {
				return run.yielding;
			},
			maxEventBytes: responseBounds.eventBytes,
			maxBodyBytes: responseBounds.bodyBytes,
			leads: () => run.lead(),
			began() {
				trace.noteFirstByte();
				if (route.kind === 'streaming') {
					gateway.convictions.recordBegun(running);
				}

				gateway.loadUpdates.progress(running.attempt);
			},
			receivedEvents() {
				gateway.stallDetectors.noteEvents(attempt);
				if (!isReadLate) {
					gateway.stallDetectors.recordLife(target);
					gateway.convictions.noteLife(running);
				}

				gateway.paces.recordSample(paceSampler?.noteEvents(clock.now()));
			},
			stopped() {
				// The next events may have arrived before they are read.
				isReadLate = true;
				paceSampler?.noteDelay();
				gateway.stallDetectors.pause(attempt);
			},
			resumed() {
				gateway.stallDetectors.noteEvents(attempt);
			},
		});
		const isCancelled = forwarded.type === 'unknown' && attempt.cancelled !== undefined;
		const ending: AttemptEnding = isCancelled ? {type: 'cancelled', reason: attempt.cancelled} : forwarded;
		this.#verdicts.recordEnding(ending, upstream, isSuspected);
		await this.#recordBreak(ending, attempt, running, target);

		if (ending.type === 'answered') {
			gateway.answerTimes.record(route.name, clock.now() - sent);
			if (ending.status < 300) {
				gateway.convictions.recordAnswered(running);
			}
		}

		return ending;
	}

	/** Follows a response that ends with its connection. */
	#follow(reply: Reply, origin: ResponseOrigin): FollowedResponse | undefined {
		return reply.framing === 'connection' ? this.#state.services.responseEnds.follow(reply, origin) : undefined;
	}

	/** Lets a failure be read while other attempts run. */
	async #keepFailure(reply: Reply, origin: ResponseOrigin): Promise<void> {
		using followed = this.#follow(reply, origin);
		await this.#state.callerResponse.keepFailure(confirmEnd(reply, followed));
	}

	/** A connection that breaks is evidence of a crash if its upstream has ended it, rather than a link or the host that carried it. */
	async #recordBreak(ending: AttemptEnding, {tunnel, isMalformed}: Attempt, running: RunningAttempt, target: GatewayUpstream): Promise<void> {
		const {convictions, tunnels} = this.#state.services.gateway;
		if (ending.type !== 'unknown' || ending.isDisconnected !== true || isMalformed) {
			return;
		}

		if (tunnel === undefined) {
			tunnels.noteUnanswered(target, tunnel);
			if (tunnels.links.findRoute(target).type !== 'tunnel') {
				convictions.recordBroken(running);
			}
		} else if (isUpstreamsEnd(await tunnel.askEnd())) {
			convictions.recordBroken(running, true);
		} else {
			tunnels.noteUnanswered(target, tunnel);
		}
	}
}

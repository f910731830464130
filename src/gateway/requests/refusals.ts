/** Refuses requests that have not been sent yet: those beyond the share of their organisation, and those that cost others too much. */
import {computeReturnDelay} from '../../core/gateway/limits/shares.js';
import {computeWeight} from '../../core/gateway/engines/losses.js';
import {canFinish} from '../../core/gateway/limits/stop.js';
import {type Placement} from '../../core/gateway/placement/placement.js';
import {defaultPolicy} from '../../core/gateway/placement/policy.js';
import {isHarmful, estimateRetryDelay} from '../../core/gateway/placement/refusal.js';
import {roundDownTo, roundTo, roundUpTo} from '../../core/utils/numbers.js';
import {type RequestState} from './request-state.js';

export class Refusals {
	readonly #state: RequestState;
	/** Whether the share of its organisation was checked: a request that waits afterwards keeps its turn. */
	#isShareChecked = false;

	/**
	 * @param state - Request.
	 */
	constructor(state: RequestState) {
		this.#state = state;
	}

	/**
	 * Refuses the request if upstreams are full and its organisation uses far more than its usual share. Checks this once.
	 *
	 * @param placement - Placement of the request, if there is one.
	 * @returns Whether it was refused.
	 */
	refuseIfExcessive(placement: Placement | undefined): boolean {
		const {services: {gateway, metrics, random}, request: {demand, tag, organisation, route}, trace, callerResponse} = this.#state;
		if (tag === undefined || this.#isShareChecked) {
			return false;
		}

		this.#isShareChecked = true;
		this.#state.hasWaited = placement === undefined;
		const excess = gateway.shares.findExcess(tag, demand, placement);
		if (excess === undefined) {
			return false;
		}

		const returnAfter = computeReturnDelay(excess, random());
		metrics.shareRefusals.inc({service: demand.service});
		// Rounded apart: a use that exceeds its share by little must not look equal to it.
		trace.write('share-exceeded', {
			organisation, route: route.name, priority: demand.organisationPriority, use: roundUpTo(excess.use, 2), share: roundDownTo(excess.share, 2), returnAfter: Math.round(returnAfter),
		});
		callerResponse.refuse('overloaded', returnAfter / 1000);
		return true;
	}

	/**
	 * Refuses the request if this host is about to stop and would have to cut its answer.
	 *
	 * @param placement - Its placement.
	 * @returns Whether it was refused.
	 */
	refuseIfUnfinishable(placement: Placement): boolean {
		const {services: {gateway, clock, findStop, metrics}, request: {demand, route}, trace, callerResponse, stopReason} = this.#state;
		const stop = findStop();
		if (stop === undefined || callerResponse.hasBegun) {
			return false;
		}

		const now = clock.now();
		const expected = gateway.placements.estimateAnswerTime(demand, placement) ?? gateway.answerTimes.estimate(route.name) ?? demand.deadline - now;
		if (canFinish(stop, expected, now)) {
			return false;
		}

		metrics.stopRefusals.inc({service: demand.service});
		trace.write('unfinishable', {upstream: placement.upstream.id, expected: Math.round(expected), left: Math.round(stop.cutsAt - now)});
		callerResponse.conclude('leaving', stopReason);
		return true;
	}

	/**
	 * Refuses the request if serving it would cost other requests more than its weight.
	 *
	 * @param placement - Its placement.
	 * @returns Whether it was refused.
	 */
	refuseIfHarmful(placement: Placement): boolean {
		const {services: {gateway, random}, request: {demand}, attempts, trace, callerResponse} = this.#state;
		const model = gateway.service(demand.service)?.engine;
		if (model === undefined || demand.prompt === undefined || attempts.sent > 0) {
			return false;
		}

		const weight = computeWeight(model, demand.prompt);
		if (!isHarmful(placement, weight, defaultPolicy)) {
			return false;
		}

		const returnAfter = estimateRetryDelay(placement, model, random());
		trace.write('not-placed', {
			upstream: placement.upstream.id,
			tokens: demand.prompt.tokens,
			predicted: Math.round(placement.firstByte),
			loss: roundTo(placement.loss, 3),
			weight: roundTo(weight, 2),
			returnAfter: Math.round(returnAfter),
		});
		callerResponse.refuse('overloaded', returnAfter / 1000);
		return true;
	}
}

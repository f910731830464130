/** What is known against one request: refuses it if it crashes engines, and keeps it apart from others while that is open. */
import {assertNever} from '../../core/index.js';
import {type SilenceView} from '../../core/gateway/health/silences.js';
import {type Placement} from '../../core/gateway/placement/placement.js';
import {type Eligibility} from '../../core/gateway/placement/attempts.js';
import {type Cause} from '../../core/gateway/suspicion/causes.js';
import {type Assessment} from '../../core/gateway/suspicion/suspects.js';
import {type RequestState} from './request-state.js';

/** Numbers of engines among which a suspected request is placed in turn, until it is expected to be served in time. */
const engineCounts = [1, 3, Number.POSITIVE_INFINITY];

/** Milliseconds after which a request may come back that is refused until an operator lifts its conviction. */
const orderedWaitMs = 60_000;

export class RequestSuspicion {
	readonly #state: RequestState;
	readonly #causes: readonly Cause[];
	#assessment: Assessment = {type: 'unsuspected'};

	/**
	 * @param state - Request.
	 * @param causes - What may make it crash engines.
	 */
	constructor(state: RequestState, causes: readonly Cause[]) {
		this.#state = state;
		this.#causes = causes;
	}

	/** Whether it may crash the engine that it is sent to. */
	get isSuspected(): boolean {
		return this.#assessment.type !== 'unsuspected';
	}

	/**
	 * Refuses the request if it crashes engines.
	 *
	 * @returns Whether it was refused.
	 */
	refuseIfConvicted(): boolean {
		const {services: {gateway, clock}, request: {demand: {service}}, trace, callerResponse, stopReason} = this.#state;
		this.#assessment = gateway.convictions.assess({service, causes: this.#causes});
		if (this.#assessment.type !== 'convicted') {
			return false;
		}

		const {conviction: {causes, version, basis}, until} = this.#assessment;
		const wait = until === undefined ? orderedWaitMs : Math.max(until - clock.now(), 0);
		trace.write('refused-as-convicted', {
			causes, version, basis: basis.type, crashes: basis.type === 'crashes' ? basis.crashes.length : undefined, reason: basis.type === 'order' ? basis.order.reason : undefined, returnAfter: Math.round(wait),
		});
		callerResponse.conclude('convicted', stopReason, wait);
		return true;
	}

	/**
	 * @returns The placement of the request, at few engines if it is suspected; undefined if no upstream takes it now.
	 */
	place(): Placement | undefined {
		return this.#place(this.#state.attempts.eligibility);
	}

	/**
	 * @param eligibility - Upstreams that may get it.
	 * @param view - What the engines do; any of them may be used if absent.
	 * @returns The placement of an attempt that may replace one in progress; undefined if no other upstream takes it now.
	 */
	placeSuccessor(eligibility: Eligibility, view?: Pick<SilenceView, 'live' | 'silent'>): Placement | undefined {
		const {services: {gateway}, request: {demand: {service}}} = this.#state;
		this.#assessment = gateway.convictions.assess({service, causes: this.#causes});
		if (this.#assessment.type === 'convicted') {
			return undefined;
		}

		return this.#place(view === undefined
			? eligibility
			: {
				excluded: new Set([...eligibility.excluded, ...view.silent]),
				permitted: eligibility.permitted === undefined ? view.live : new Set([...view.live].filter(id => eligibility.permitted!.has(id))),
			});
	}

	/** Excuses attempts at engines that crashed under other requests: this one may be sent once more for each of them. */
	excuseCrashes(): void {
		const {services: {gateway}, attempts} = this.#state;
		for (const upstream of attempts.contacted) {
			if (gateway.convictions.hasCrashedUnderOthers(upstream, this.#causes)) {
				attempts.recordCrashed(upstream);
			}
		}
	}

	/** Logs that the request is sent apart from others, or to test its conviction, of which it notifies the other hosts. */
	announce(): void {
		const {services: {gateway}, trace} = this.#state;
		const assessment = this.#assessment;
		switch (assessment.type) {
			case 'trial': {
				trace.write('conviction-tested', {causes: assessment.conviction.causes, versions: assessment.versions});
				gateway.convictions.beginTrial(assessment);
				return;
			}

			case 'suspected': {
				trace.write('placed-apart', {cause: assessment.cause, crashes: assessment.crashes});
				return;
			}

			case 'unsuspected':
			case 'convicted': {
				return;
			}

			default: {
				assertNever(assessment);
			}
		}
	}

	/** Whether engines of some versions only may get it. */
	get #isBoundToVersions(): boolean {
		return this.#assessment.type !== 'convicted' && this.#assessment.versions !== undefined;
	}

	#place(eligibility: Eligibility): Placement | undefined {
		const {services: {gateway}, request: {demand: {service}}} = this.#state;
		const permitted = gateway.convictions.listPermitted(this.#assessment, service);
		if (permitted === undefined) {
			return this.#placeAmong(eligibility);
		}

		return this.#placeAmongFirst(permitted, eligibility) ?? (this.#isBoundToVersions ? undefined : this.#placeAmong(eligibility));
	}

	#placeAmongFirst(ranked: readonly string[], eligibility: Eligibility): Placement | undefined {
		const {services: {clock}} = this.#state;
		const {due} = this.#state.demand;
		const available = ranked.filter(id => !eligibility.excluded.has(id) && (eligibility.permitted?.has(id) ?? true));
		let placement: Placement | undefined;
		for (const count of engineCounts) {
			placement = this.#placeAmong({...eligibility, permitted: new Set(available.slice(0, count))}) ?? placement;
			if (placement !== undefined && clock.now() + placement.firstByte <= due) {
				return placement;
			}
		}

		return placement;
	}

	#placeAmong(eligibility: Eligibility): Placement | undefined {
		return this.#state.services.gateway.placements.place(this.#state.demand, eligibility);
	}
}

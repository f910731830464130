/**
 * Runs the attempts of one request. One that should be replaced goes on until its successor is secured: an engine takes it, and the retry
 * budget allows it. Without these there is no successor, and the attempt just goes on.
 */
import {messageOf} from '../../core/index.js';
import {type AttemptEnding, type SuccessionReason} from '../../core/gateway/limits/retries.js';
import {mayTakeOver} from '../../core/gateway/health/silences.js';
import {type Placement} from '../../core/gateway/placement/placement.js';
import {type StopReason} from '../callers/caller-response.js';
import {type RequestState} from './request-state.js';
import {type RequestSuspicion} from './request-suspicion.js';
import {Run} from './run.js';

/** Time in milliseconds until another successor may be sent after one that failed at its engine; doubles each time. */
const failureDelayMs = 250;

/** Time in milliseconds after its connection in which an engine refuses an attempt that it doesn't take. */
const refusalMs = 50;

/** Longest time in milliseconds, beyond twice the predicted one, for which events are held back for the first one of a successor. */
const yieldMarginMs = 250;

/** Why an attempt has no successor yet. */
type Obstacle = 'budget' | 'no engine' | 'no live engine' | 'no free engine';

/** Where a successor may be sent, or why none is. */
type Prospect
	= | {readonly type: 'secured'; readonly placement: Placement}
		| {readonly type: 'missing'; readonly obstacle: Obstacle};

/** What ends the earlier attempt. */
type HandoverEnd
	/** The engine of its successor has taken it: the earlier one would hold up others until then. */
	= | 'acceptance'
	/** Its successor has sent something first. */
		| 'event';

/** An attempt and its successor. */
type Handover = {
	readonly from: Run;
	readonly to: Run;
	readonly reason: SuccessionReason;
	readonly end: HandoverEnd;
};

export type SuccessionOptions = {
	readonly state: RequestState;
	readonly suspicion: RequestSuspicion;
	/** Sends an attempt; resolves with how it ended. */
	readonly send: (placement: Placement, run: Run) => Promise<AttemptEnding>;
	/** Called with the ending of each attempt. */
	readonly onEnded: (ending: AttemptEnding) => void;
};

function toMissing(obstacle: Obstacle): Prospect {
	return {type: 'missing', obstacle};
}

export class Succession {
	readonly #options: SuccessionOptions;
	/** Attempts that may still answer, in the order of their placement. */
	readonly #runs = new Set<Run>();
	#handovers: readonly Handover[] = [];
	#resolve: ((ending: AttemptEnding) => void) | undefined;
	#reject: ((error: unknown) => void) | undefined;
	#failures = 0;
	#retryAt = Number.NEGATIVE_INFINITY;
	#obstacle: Obstacle | undefined;

	/**
	 * @param options - Request, and how its attempts are sent.
	 */
	constructor(options: SuccessionOptions) {
		this.#options = options;
	}

	/**
	 * @param first - Placement of the first attempt.
	 * @returns How the last attempt ended.
	 */
	async run(first: Placement): Promise<AttemptEnding> {
		return new Promise((resolve, reject) => {
			this.#resolve = resolve;
			this.#reject = reject;
			this.#start(this.#createRun(first));
		});
	}

	/**
	 * Cancels all attempts.
	 *
	 * @param reason - Why they are cancelled.
	 */
	cancel(reason: StopReason): void {
		for (const run of this.#runs) {
			if (reason === 'time over' && run.isSent) {
				this.#options.state.callerResponse.noteMayHaveRun();
			}

			run.cancel(reason);
		}
	}

	#createRun(placement: Placement): Run {
		return new Run(placement, {
			noteConnected: run => {
				this.#noteConnected(run);
			},
			lead: run => this.#lead(run),
			prepare: run => {
				this.#prepare(run);
			},
			request: (run, reason, preferred) => this.#request(run, reason, preferred),
		});
	}

	#start(run: Run): void {
		this.#runs.add(run);
		void this.#finish(run);
	}

	/** Resolves the request once an attempt was answered, or none is left that may be. */
	async #finish(run: Run): Promise<void> {
		const {state: {trace}, send, onEnded} = this.#options;
		try {
			const ending = await send(run.placement, run);
			onEnded(ending);
			if (!run.isDropped) {
				this.#noteEnded(run, ending);
			}
		} catch (error) {
			trace.write('attempt-failed', {upstream: run.placement.upstream.id, detail: messageOf(error)});
			if (!run.isDropped) {
				this.#dropOthers(run);
				this.#reject?.(error);
			}
		}
	}

	#noteEnded(run: Run, ending: AttemptEnding): void {
		this.#runs.delete(run);
		if (ending.type === 'answered') {
			this.#dropOthers(run);
		}

		if (this.#runs.size === 0) {
			this.#resolve?.(ending);
			return;
		}

		const handover = this.#handovers.find(({to}) => to === run);
		handover?.from.endYielding();
		if (ending.type !== 'not-run' && handover !== undefined) {
			this.#retryAt = this.#options.state.services.clock.now() + (failureDelayMs * (2 ** this.#failures));
			this.#failures++;
		}
	}

	#noteConnected(run: Run): void {
		if (this.#handovers.some(({to, end}) => to === run && end === 'acceptance')) {
			setTimeout(() => {
				this.#accept(run);
			}, refusalMs);
		}
	}

	/** Ends the attempt whose successor was not refused. */
	#accept(run: Run): void {
		const from = this.#handovers.find(({to}) => to === run)?.from;
		if (from !== undefined && this.#runs.has(run) && this.#runs.has(from)) {
			this.#drop(from, run);
		}
	}

	#lead(leader: Run): boolean {
		this.#obstacle = undefined;
		this.#dropOthers(leader);
		return this.#runs.has(leader);
	}

	#prepare(run: Run): void {
		const {services: {gateway}, request: {demand: {service}}} = this.#options.state;
		if (this.#mayBeReplaced(run) && gateway.stallDetectors.view(service).live.size === 0) {
			this.#askEngines();
		}
	}

	#request(run: Run, reason: SuccessionReason, preferred: Placement | undefined): boolean {
		if (!this.#mayBeReplaced(run)) {
			return false;
		}

		const prospect = this.#findProspect(run, reason, preferred);
		switch (prospect.type) {
			case 'secured': {
				this.#replace(run, reason, prospect.placement);
				return true;
			}

			case 'missing': {
				this.#noteObstacle(run, reason, prospect.obstacle);
				return false;
			}
		}
	}

	#mayBeReplaced(run: Run): boolean {
		const {services: {clock}, callerResponse, attempts, isOver} = this.#options.state;
		// Only the latest attempt has none that may replace it.
		const isLatest = [...this.#runs].at(-1) === run;
		return isLatest && !isOver && clock.now() >= this.#retryAt && callerResponse.canContinue && attempts.canFailOver;
	}

	#findProspect(run: Run, reason: SuccessionReason, preferred: Placement | undefined): Prospect {
		const {state: {services: {gateway}, request: {demand: {service}}, attempts}, suspicion} = this.#options;
		if (!gateway.canRetry(service, suspicion.isSuspected)) {
			return toMissing('budget');
		}

		if (preferred !== undefined) {
			return gateway.stallDetectors.view(service).silent.has(preferred.upstream.id) ? toMissing('no live engine') : {type: 'secured', placement: preferred};
		}

		const isLinkCut = !run.isTunnelled && gateway.tunnels.links.findRoute(run.placement.upstream).type === 'tunnel';
		return isLinkCut ? this.#toProspect(suspicion.placeSuccessor(attempts.eligibility)) : this.#findLiveEngine(run, reason);
	}

	#findLiveEngine(run: Run, reason: SuccessionReason): Prospect {
		const {state: {services: {gateway: {stallDetectors}}, request: {demand: {service}}, attempts}, suspicion} = this.#options;
		const {silent, live} = stallDetectors.view(service);
		if (live.size === 0) {
			stallDetectors.recordStranded(service);
			this.#askEngines();
			return toMissing('no live engine');
		}

		if (!stallDetectors.isSettled(service, !silent.has(run.placement.upstream.id))) {
			return toMissing('no live engine');
		}

		// An engine where it has waited in vain before may keep it waiting again.
		const isQueued = this.#isQueued(run);
		const prospect = this.#toProspect(suspicion.placeSuccessor(isQueued ? attempts.untried : attempts.eligibility, {silent, live}));
		const isFree = prospect.type === 'missing' || reason !== 'silent' || mayTakeOver(isQueued, prospect.placement.slotWait);
		return isFree ? prospect : toMissing('no free engine');
	}

	#toProspect(placement: Placement | undefined): Prospect {
		if (placement === undefined) {
			this.#askEngines();
			return toMissing('no engine');
		}

		return {type: 'secured', placement};
	}

	/** Whether an attempt waits for its first event at an engine that sends on other connections. */
	#isQueued({placement: {upstream: {id, service}}}: Run): boolean {
		const {services: {gateway}, callerResponse} = this.#options.state;
		return !callerResponse.hasBegun && !gateway.stallDetectors.view(service).silent.has(id);
	}

	/** Asks some engines for a sign of life that could take the request and haven't sent anything lately. */
	#askEngines(): void {
		const {services: {gateway, engineChecks}, request: {demand: {service}}, attempts: {eligibility: {excluded, permitted}}} = this.#options.state;
		const {silent, live} = gateway.stallDetectors.view(service);
		engineChecks.ask(gateway.upstreams.listByService(service).filter(upstream => !excluded.has(upstream.id)
			&& permitted?.has(upstream.id) !== false
			&& !silent.has(upstream.id)
			&& !live.has(upstream.id)
			&& gateway.findObstacle(upstream) === undefined));
	}

	#replace(from: Run, reason: SuccessionReason, placement: Placement): void {
		const {services: {gateway, clock, metrics}, request: {demand: {service}}, callerResponse, trace} = this.#options.state;
		const {upstream} = from.placement;
		const {silent} = gateway.stallDetectors.view(service);
		gateway.retries.countRetry(service, clock.now());
		metrics.retries.inc({service, allowed: 'true'});
		trace.write('successor-sent', {
			from: upstream.id, to: placement.upstream.id, reason, silentEngines: silent.size,
		});
		if (reason === 'silent') {
			gateway.recordSilence(upstream, from.isTunnelled);
		}

		const to = this.#createRun(placement);
		this.#handovers = [...this.#handovers, {
			from, to, reason, end: reason === 'moved' && !callerResponse.hasBegun ? 'acceptance' : 'event',
		}];
		if (reason === 'moved' && callerResponse.hasBegun) {
			from.yieldFor((placement.firstByte * 2) + yieldMarginMs);
		}

		this.#start(to);
	}

	#dropOthers(leader: Run): void {
		for (const run of this.#runs) {
			if (run !== leader) {
				this.#drop(run, leader);
			}
		}
	}

	#drop(run: Run, leader: Run): void {
		const {services: {metrics}, request: {demand: {service}}, callerResponse} = this.#options.state;
		const isLater = this.#handovers.findIndex(({to}) => to === leader) > this.#handovers.findIndex(({to}) => to === run);
		const reason = isLater ? this.#handovers.find(({from}) => from === run)?.reason ?? 'outrun' : 'outrun';
		if (run.isSent) {
			callerResponse.noteMayHaveRun();
		}

		metrics.successions.inc({service, reason});
		this.#runs.delete(run);
		run.drop(reason);
	}

	/** Logs each obstacle once in a row. */
	#noteObstacle({placement: {upstream}}: Run, reason: SuccessionReason, obstacle: Obstacle): void {
		const {services: {gateway, metrics}, request: {demand: {service}}, trace} = this.#options.state;
		if (obstacle === this.#obstacle) {
			return;
		}

		this.#obstacle = obstacle;
		if (obstacle === 'budget') {
			metrics.retries.inc({service, allowed: 'false'});
		}

		trace.write('successor-missing', {
			from: upstream.id, reason, obstacle, silentEngines: gateway.stallDetectors.view(service).silent.size,
		});
	}
}

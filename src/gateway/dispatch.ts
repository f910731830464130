/** Sends one request to upstreams, one after another as long as that may be, and hands their answers to its caller. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Job} from '../core/gateway/load.js';
import {weigh} from '../core/gateway/losses.js';
import {type Place} from '../core/gateway/placement.js';
import {usualPolicy} from '../core/gateway/policy.js';
import {isHarmful, returnTime} from '../core/gateway/refusal.js';
import {type AttemptEnding} from '../core/gateway/retries.js';
import {Tries} from '../core/gateway/tries.js';
import {type Demand, type Route} from '../core/gateway/types.js';
import {fingerprintOf} from './admission.js';
import {nameOf} from './answers.js';
import {Attempt} from './attempt.js';
import {type Delivery, type Stop} from './delivery.js';
import {helpersOf} from './handover.js';
import {type Hold} from './holds.js';
import {Mover} from './mover.js';
import {type Parts} from './parts.js';
import {type Trace} from './trace.js';
import {Verdicts} from './verdicts.js';
import {Watch} from './watch.js';

/** An admitted request. */
export type Order = {
	readonly incoming: IncomingMessage;
	readonly body: Buffer;
	readonly route: Route;
	readonly organisation: string | undefined;
	readonly demand: Demand;
};

export class Dispatch {
	readonly #parts: Parts;
	readonly #order: Order;
	readonly #delivery: Delivery;
	readonly #trace: Trace;
	readonly #tries: Tries;
	readonly #fingerprint: string;
	readonly #verdicts: Verdicts;
	readonly #mover: Mover;
	#attempt: Attempt | undefined;
	#stop: Stop | undefined;

	/**
	 * @param parts - What requests share.
	 * @param order - The request.
	 * @param delivery - The answer to its caller.
	 * @param trace - Told of each decision.
	 */
	constructor(parts: Parts, order: Order, delivery: Delivery, trace: Trace) {
		this.#parts = parts;
		this.#order = order;
		this.#delivery = delivery;
		this.#trace = trace;
		this.#tries = new Tries(order.route);
		this.#fingerprint = fingerprintOf(order.incoming, order.organisation, order.body);
		this.#verdicts = new Verdicts(parts.gateway, this.#tries, this.#fingerprint);
		this.#mover = new Mover(parts.gateway, this.#tries, trace);
		trace.tries = this.#tries;
	}

	/** Settles when the caller has its answer or nothing more can be done for it. */
	async run(): Promise<void> {
		const {gateway, clock} = this.#parts;
		if (gateway.convictions.isConvicted(this.#fingerprint)) {
			this.#delivery.refuse('convicted');
			return;
		}

		for (;;) {
			await gateway.news.refresh();
			// A host that stood still may come here before the timer of the deadline, which could not fire in a loop without a wait.
			if (this.#isOver || this.#order.demand.deadline <= clock.now()) {
				this.#delivery.conclude('deadlinePassed', this.#stop);
				return;
			}

			const place = gateway.place(this.#demand, this.#tries.eligibility);
			if (place === undefined) {
				this.#delivery.conclude('noUpstream', this.#stop);
				return;
			}

			if (this.#isRefused(place)) {
				return;
			}

			const ending = await this.#attemptAt(place);
			if (ending.type === 'answered') {
				gateway.convictions.acquit(this.#fingerprint);
				this.#trace.finish('answered');
				return;
			}

			this.#noteRun(ending);
			if (!this.#mayFollow(ending)) {
				this.#delivery.conclude(nameOf(ending), this.#stop);
				return;
			}
		}
	}

	/**
	 * Ends the attempt that runs; no other one follows.
	 *
	 * @param stop - Why.
	 */
	halt(stop: Stop): void {
		this.#stop = stop;
		if (this.#attempt !== undefined && stop === 'time over') {
			this.#delivery.noteMayHaveRun();
		}

		this.#attempt?.cancel(stop);
	}

	/** What is asked now: the rest of an answer that has begun is due within the pause that its caller bears. */
	get #demand(): Demand {
		const {demand} = this.#order;
		const {lastHeard} = this.#trace;
		return lastHeard === undefined || demand.pause === undefined ? demand : {...demand, due: lastHeard + demand.pause, isBegun: true};
	}

	get #isOver(): boolean {
		return this.#stop !== undefined || this.#delivery.isClosed;
	}

	/** Refuses a request that has not been sent if serving it costs others more than it is worth. */
	#isRefused(place: Place): boolean {
		const {gateway, random} = this.#parts;
		const {demand} = this.#order;
		const model = gateway.service(demand.service)?.engine;
		if (model === undefined || demand.prompt === undefined || this.#tries.sent > 0) {
			return false;
		}

		const weight = weigh(model, demand.prompt);
		if (!isHarmful(place, weight, usualPolicy)) {
			return false;
		}

		const after = returnTime(place, model, random());
		this.#trace.write('not-placed', {
			upstream: place.upstream.id,
			tokens: demand.prompt.tokens,
			predicted: Math.round(place.firstByte),
			loss: Number(place.loss.toFixed(3)),
			weight: Number(weight.toFixed(2)),
			returnAfter: Math.round(after),
		});
		this.#delivery.refuse('overloaded', after / 1000);
		return true;
	}

	#noteRun(ending: AttemptEnding): void {
		const isLeft = ending.type === 'cancelled' && !this.#isOver;
		if (ending.type === 'unknown' || ending.type === 'failed' || isLeft) {
			this.#delivery.noteMayHaveRun();
		}
	}

	#mayFollow(ending: AttemptEnding): boolean {
		if (this.#isOver || !this.#tries.mayFollow(ending)) {
			return false;
		}

		return this.#tries.sent === 0 || this.#isRetryAllowed();
	}

	/** Retries of all hosts together are bounded; a request that has reached no upstream yet is none. */
	#isRetryAllowed(): boolean {
		const {gateway, clock, metrics} = this.#parts;
		const {service} = this.#order.demand;
		const isAllowed = gateway.mayRetry(service);
		metrics.retries.inc({service, allowed: String(isAllowed)});
		if (isAllowed) {
			gateway.retries.countRetry(service, clock.now());
		} else {
			this.#trace.write('retry-denied', {service, hosts: gateway.peers.fleetSize});
		}

		return isAllowed;
	}

	async #attemptAt(place: Place): Promise<AttemptEnding> {
		if (place.holdTokens === 0) {
			return this.#send(place, undefined);
		}

		const {holds} = this.#parts;
		const engines = [place.upstream, ...place.helpers];
		await using hold = holds.prepare(engines.map(each => ({
			upstream: each.id, address: each.address, tokens: place.holdTokens,
		})));
		const refused = await hold.acquire();
		holds.count(refused.length === 0);
		if (refused.length > 0 || this.#isOver) {
			this.#tries.noteRefusedHold(refused);
			this.#trace.write('hold-refused', {hold: hold.name, refused});
			return {type: 'not-run', reason: 'memory not granted', isShed: true};
		}

		// Awaited here: the hold must not end before the attempt does.
		const ending = await this.#send(place, hold);
		return ending;
	}

	async #send(place: Place, hold: Hold | undefined): Promise<AttemptEnding> {
		const {gateway, clock, metrics} = this.#parts;
		const {demand} = this.#order;
		const left = demand.deadline - clock.now();
		if (left <= 0) {
			return {type: 'not-run', reason: 'no time left', isShed: false};
		}

		const {placing} = this.#tries;
		this.#tries.noteSent(place.upstream.id);
		const job = gateway.begin(demand, place, placing);
		this.#tracePlace(place, job, hold, left);
		const attempt = this.#prepare(place, hold, left);
		this.#attempt = attempt;
		if (this.#tries.mayLeave && this.#order.route.kind === 'streaming') {
			this.#mover.watch({
				job: job.id, place, attempt, demand: () => this.#demand,
			});
		}

		hold?.watch(() => {
			attempt.cancel('memory lost');
		});
		const watch = new Watch(attempt, this.#tries.mayLeave, place.firstByte, () => gateway.longestPass(place.upstream.id));
		try {
			const ending = await this.#follow(attempt, place.upstream.id, job.id, watch);
			metrics.attempts.inc({service: demand.service, ending: ending.type});
			this.#traceEnding(place, job.id, ending);
			return ending;
		} finally {
			watch.end();
			this.#attempt = undefined;
			gateway.news.end(job.id);
		}
	}

	#prepare(place: Place, hold: Hold | undefined, left: number): Attempt {
		const {dialect, agent} = this.#parts;
		const {incoming, body, demand, organisation} = this.#order;
		const headers = [...dialect.forUpstream(incoming.rawHeaders, {
			left: Math.floor(left),
			upstream: place.upstream.id,
			organisation,
			urgency: place.urgency,
			helpers: helpersOf(place, hold),
			lastEvent: this.#delivery.lastEvent,
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
			address: place.upstream.address,
		}, dialect, agent);
	}

	#tracePlace(place: Place, job: Job, hold: Hold | undefined, left: number): void {
		const {gateway} = this.#parts;
		this.#trace.write('placed', {
			attempt: job.id,
			upstream: place.upstream.id,
			helpers: place.helpers.map(each => each.id),
			hold: hold?.name,
			tokens: this.#order.demand.prompt?.tokens ?? 0,
			predicted: Math.round(place.firstByte),
			loss: Number(place.loss.toFixed(3)),
			weight: Number(job.weight.toFixed(2)),
			jobs: gateway.load.size,
			left: Math.round(left),
			version: gateway.directory?.configuration.version,
			confirmedAge: Math.round(gateway.confirmedAge),
		});
	}

	#traceEnding(place: Place, attempt: string, ending: AttemptEnding): void {
		const {type, ...how} = ending;
		this.#trace.write('attempt-ended', {
			attempt, upstream: place.upstream.id, ending: type, ...how,
		});
	}

	async #follow(attempt: Attempt, upstream: string, job: string, watch: Watch): Promise<AttemptEnding> {
		const {gateway} = this.#parts;
		const got = await attempt.reply();
		if (got.type === 'ended') {
			return this.#verdicts.unanswered(got, upstream);
		}

		if (got.facts.isNotRun || got.facts.isMisdirected) {
			got.body.resume();
			return this.#verdicts.notRun(got, upstream);
		}

		const taken = await this.#delivery.take(got, this.#order.route, {
			began: () => {
				this.#trace.noteFirstByte();
				gateway.news.progress(job);
			},
			heard() {
				watch.heard();
			},
		});
		const isGivenUp = taken.type === 'unknown' && attempt.cancelled !== undefined;
		const ending: AttemptEnding = isGivenUp ? {type: 'cancelled', reason: attempt.cancelled} : taken;
		this.#verdicts.judge(ending, upstream);
		return ending;
	}
}

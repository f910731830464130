/** The life of one request at this host, from its head to the end of its answer. */
import {Buffer} from 'node:buffer';
import {type Agent, type IncomingMessage, type ServerResponse} from 'node:http';
import {assertNever} from '../core/index.js';
import {chooseService} from '../core/gateway/directory.js';
import {verdictOf} from '../core/gateway/health.js';
import {type Place} from '../core/gateway/placement.js';
import {isRepeatable, type AttemptEnding, type CancelReason} from '../core/gateway/retries.js';
import {type Demand, type Route} from '../core/gateway/types.js';
import {type Clock} from '../entry/clock.js';
import {type Log} from '../entry/logs.js';
import {admit, fingerprintOf, type Routed} from './admission.js';
import {
	answer, nameOf, promises, type AnswerName,
} from './answers.js';
import {Attempt, type Reply} from './attempt.js';
import {type CallerFacts, type Dialect} from './dialect.js';
import {type Gateway} from './gateway.js';
import {helpersOf, urgencyOf} from './handover.js';
import {type Hold, type Holds} from './holds.js';
import {type GatewayMetrics} from './metrics.js';
import {
	isStream, readBody, relayEvents, relayLong, writeHead, type Body,
} from './relay.js';
import {Trace} from './trace.js';
import {Watch} from './watch.js';

/** What exchanges share. */
export type Parts = {
	readonly gateway: Gateway;
	readonly dialect: Dialect;
	readonly agent: Agent;
	readonly holds: Holds;
	readonly metrics: GatewayMetrics;
	readonly log: Log;
	readonly clock: Clock;
	/** Whether this host is about to stop: connections of callers end with their answer. */
	readonly isLeaving: () => boolean;
	/** Whether it is too close to its stop to take a request that could last. */
	readonly isClosing: () => boolean;
	/** Uniform from 0 to 1. */
	readonly random: () => number;
};

/** Seconds after which a refused caller may come again: the mean of a usual answer, spread so that callers don't return together. */
const usualRetryAfter = 0.4;
const retrySpread = 0.6;

/** Seconds after which a caller may come again to a host that knows too little: the store is read once a second. */
const unconfiguredRetryAfter = 1;

/** Refusals of holds after which no other engines are tried. */
const mostHoldTries = 3;

/** Upstreams without a connection after which no others are tried: each may take as long as a connection is waited for. */
const mostUnreached = 3;

/** What moving a stream costs beside: its prompt is read again and its last attempt is used up, in requests of usual worth. */
const movingLoss = 0.25;

/** Why an exchange must not go on. */
type Stop = Extract<CancelReason, 'caller left' | 'time over'>;

export class Exchange {
	readonly #parts: Parts;
	readonly #incoming: IncomingMessage;
	readonly #outgoing: ServerResponse;
	readonly #trace: Trace;
	readonly #tried = new Set<string>();
	#facts: CallerFacts | undefined;
	#organisation: string | undefined;
	#body = Buffer.alloc(0);
	#fingerprint: string | undefined;
	#attempt: Attempt | undefined;
	#attempts = 0;
	#holdTries = 0;
	#unreached = 0;
	#mayHaveRun = false;
	#stop: Stop | undefined;
	#lastEvent: string | undefined;
	#timer: NodeJS.Timeout | undefined;
	#lastReply: {readonly reply: Reply; readonly body: Extract<Body, {type: 'whole'}>} | undefined;

	/**
	 * @param parts - What exchanges share.
	 * @param incoming - Request of a caller.
	 * @param outgoing - Its answer.
	 */
	constructor(parts: Parts, incoming: IncomingMessage, outgoing: ServerResponse) {
		this.#parts = parts;
		this.#incoming = incoming;
		this.#outgoing = outgoing;
		this.#trace = new Trace(parts);
	}

	/** Serves the request; settles when its answer is over. */
	async run(): Promise<void> {
		const outgoing = this.#outgoing;
		outgoing.once('close', () => {
			if (!outgoing.writableFinished) {
				this.#halt('caller left');
			}
		});
		this.#facts = this.#parts.dialect.readCaller(this.#incoming.headers);
		this.#trace.facts = this.#facts;
		if (this.#parts.isLeaving()) {
			outgoing.shouldKeepAlive = false;
		}

		if (this.#parts.isClosing()) {
			this.#incoming.resume();
			this.#refuse('leaving', usualRetryAfter);
			return;
		}

		if (this.#facts === undefined) {
			this.#incoming.resume();
			this.#refuse('missingId');
			return;
		}

		if (!await this.#readRequest()) {
			return;
		}

		const admission = admit(this.#parts.gateway, this.#incoming, this.#facts.key);
		if (admission.type === 'refused') {
			this.#refuse(admission.answer, unconfiguredRetryAfter);
			return;
		}

		await this.#serve(this.#facts, admission);
	}

	get #isOver(): boolean {
		return this.#stop !== undefined || this.#outgoing.destroyed;
	}

	async #readRequest(): Promise<boolean> {
		const limit = this.#parts.gateway.directory?.configuration.limits.bodyBytes ?? Number.POSITIVE_INFINITY;
		const chunks: Buffer[] = [];
		let length = 0;
		try {
			for await (const chunk of this.#incoming as AsyncIterable<Buffer>) {
				length += chunk.length;
				if (length > limit) {
					this.#outgoing.shouldKeepAlive = false;
					this.#refuse('bodyTooLarge');
					return false;
				}

				chunks.push(chunk);
			}
		} catch {
			// The caller went before its request was whole: nothing was passed on and nobody waits.
			return false;
		}

		this.#body = Buffer.concat(chunks);
		return !this.#isOver;
	}

	async #serve(facts: CallerFacts, {route, organisation}: Routed): Promise<void> {
		const {gateway, clock} = this.#parts;
		const limit = Math.min(facts.patience ?? route.timeout, route.timeout);
		const now = clock.now();
		this.#trace.route = route;
		this.#organisation = organisation?.name;
		this.#lastEvent = facts.lastEvent;
		const demand: Demand = {
			id: facts.id,
			service: chooseService(route, this.#parts.random()),
			kind: route.kind,
			priority: organisation?.priority ?? route.priority,
			arrived: this.#trace.arrived,
			due: this.#trace.arrived + route.objective,
			deadline: this.#trace.arrived + limit,
			pause: route.pause,
			prompt: facts.prompt,
		};
		this.#trace.service = demand.service;
		this.#timer = setTimeout(() => {
			this.#halt('time over');
		}, Math.max(demand.deadline - now, 0));
		gateway.budget.countRequest(demand.service, now);
		try {
			await this.#attemptAll(facts, route, demand);
		} finally {
			clearTimeout(this.#timer);
		}
	}

	async #attemptAll(facts: CallerFacts, route: Route, demand: Demand): Promise<void> {
		if (this.#isConvicted()) {
			this.#refuse('convicted');
			return;
		}

		for (;;) {
			const place = this.#parts.gateway.place(demand, this.#tried);
			if (place === undefined) {
				this.#conclude('noUpstream');
				return;
			}

			const ending = await this.#attemptAt(facts, route, demand, place);
			if (ending.type === 'answered') {
				this.#finish('answered');
				return;
			}

			if (ending.type === 'unknown' || ending.type === 'failed' || (ending.type === 'cancelled' && !this.#isOver)) {
				this.#mayHaveRun = true;
			}

			if (!this.#mayTryAgain(route, demand, ending)) {
				this.#conclude(nameOf(ending));
				return;
			}
		}
	}

	#isConvicted(): boolean {
		this.#fingerprint = fingerprintOf(this.#incoming, this.#organisation, this.#body);
		return this.#parts.gateway.suspects.isConvicted(this.#fingerprint, this.#parts.clock.now());
	}

	#mayTryAgain(route: Route, demand: Demand, ending: AttemptEnding): boolean {
		if (this.#isOver) {
			return false;
		}

		const isGivenUp = ending.type === 'cancelled';
		const asUnknown: AttemptEnding = isGivenUp ? {type: 'unknown', reason: ending.reason} : ending;
		const {gateway, clock, metrics} = this.#parts;
		const now = clock.now();
		if (!isRepeatable(route.kind, route.isResumable, asUnknown) || this.#attempts >= route.attempts || this.#holdTries >= mostHoldTries || this.#unreached >= mostUnreached) {
			return false;
		}

		const isAllowed = gateway.budget.allows(demand.service, gateway.peers.fleetSize, now);
		metrics.retries.inc({service: demand.service, allowed: String(isAllowed)});
		if (isAllowed && this.#attempts > 0) {
			gateway.budget.countRetry(demand.service, now);
		}

		return isAllowed;
	}

	async #attemptAt(facts: CallerFacts, route: Route, demand: Demand, place: Place): Promise<AttemptEnding> {
		if (place.holdTokens === 0) {
			return this.#send(facts, route, demand, place, undefined);
		}

		const engines = [place.upstream, ...place.helpers];
		await using hold = this.#parts.holds.prepare(engines.map(each => ({
			upstream: each.id, address: each.address, tokens: place.holdTokens,
		})));
		const refused = await hold.acquire();
		this.#parts.holds.count(refused.length === 0);
		if (refused.length > 0 || this.#isOver) {
			this.#holdTries++;
			for (const id of refused) {
				this.#tried.add(id);
			}

			this.#trace.write('hold-refused', {hold: hold.name, refused});
			return {type: 'not-run', reason: 'memory not granted', isShed: true};
		}

		// Awaited here: the hold must not end before the attempt does.
		const ending = await this.#send(facts, route, demand, place, hold);
		return ending;
	}

	async #send(facts: CallerFacts, route: Route, demand: Demand, place: Place, hold: Hold | undefined): Promise<AttemptEnding> {
		const {gateway, clock, dialect, agent, metrics} = this.#parts;
		const {upstream} = place;
		const left = demand.deadline - clock.now();
		if (left <= 0) {
			return {type: 'not-run', reason: 'no time left', isShed: false};
		}

		this.#attempts++;
		this.#tried.add(upstream.id);
		const job = gateway.begin(demand, place);
		this.#trace.write('placed', {
			attempt: job.id,
			upstream: upstream.id,
			helpers: job.helpers,
			hold: hold?.name,
			tokens: job.prompt,
			predicted: Math.round(place.firstByte),
			loss: Number(place.loss.toFixed(3)),
			jobs: gateway.load.size,
			left: Math.round(left),
			version: gateway.directory?.configuration.version,
			confirmedAge: Math.round(gateway.confirmedAge),
		});
		const handover = {
			left: Math.floor(left),
			upstream: upstream.id,
			organisation: this.#organisation,
			urgency: urgencyOf(demand),
			helpers: helpersOf(place, hold),
			lastEvent: this.#lastEvent,
		};
		const headers = [...dialect.forUpstream(this.#incoming.rawHeaders, handover)];
		if (this.#body.length > 0 || this.#incoming.headers['content-length'] !== undefined) {
			headers.push('Content-Length', String(this.#body.length));
		}

		const attempt = new Attempt({
			id: facts.id,
			method: this.#incoming.method ?? 'GET',
			path: this.#incoming.url ?? '/',
			headers,
			body: this.#body,
			address: upstream.address,
		}, dialect, agent);
		this.#attempt = attempt;
		if (this.#canGoOn(route) && route.kind === 'streaming') {
			gateway.watchStream(job.id, loss => {
				this.#considerMove(demand, loss);
			});
		}

		const watch = new Watch(attempt, this.#canGoOn(route), place.firstByte, () => gateway.longestPass(upstream.id));
		try {
			const ending = await this.#follow(attempt, route, place, job.id, watch);
			metrics.attempts.inc({service: demand.service, ending: ending.type});
			const {type, ...how} = ending;
			this.#trace.write('attempt-ended', {
				attempt: job.id, upstream: upstream.id, ending: type, ...how,
			});
			return ending;
		} finally {
			watch.end();
			this.#attempt = undefined;
			gateway.end(job.id);
		}
	}

	/** Goes on at another engine if that loses clearly less than waiting for the reading that has come to this one. */
	#considerMove(demand: Demand, staying: number): void {
		const {gateway, clock} = this.#parts;
		const now = clock.now();
		if (demand.pause === undefined || this.#trace.longestPause > demand.pause || this.#trace.lastHeard === undefined) {
			return;
		}

		const rest: Demand = {...demand, due: this.#trace.lastHeard + demand.pause};
		const place = gateway.place(rest, this.#tried);
		if (place?.helpers.length !== 0 || place.loss + movingLoss >= staying) {
			return;
		}

		if (gateway.budget.allows(demand.service, gateway.peers.fleetSize, now)) {
			this.#trace.write('moving', {to: place.upstream.id, loss: Number(place.loss.toFixed(3)), staying: Number(staying.toFixed(3))});
			this.#attempt?.cancel('moved');
		}
	}

	/** Whether a silent engine could be left for another one. */
	#canGoOn(route: Route): boolean {
		return this.#attempts < route.attempts && isRepeatable(route.kind, route.isResumable, {type: 'unknown', reason: 'silent'});
	}

	async #follow(attempt: Attempt, route: Route, place: Place, job: string, watch: Watch): Promise<AttemptEnding> {
		const {gateway} = this.#parts;
		const {id} = place.upstream;
		const got = await attempt.reply();
		if (got.type === 'ended') {
			this.#judge(got.ending, id, got.isUnreachable);
			if (got.isUnreachable) {
				// Nothing was sent: an upstream without a connection is not one that the request was sent to.
				this.#attempts--;
				this.#unreached++;
			}

			return got.ending;
		}

		if (got.facts.isNotRun || got.facts.isMisdirected) {
			got.body.resume();
			gateway.judge(id, got.facts.isMisdirected ? 'unreachable' : 'faulty');
			return {type: 'not-run', reason: `refused with ${got.status} by ${got.facts.culprit ?? id}`, isShed: !got.facts.isMisdirected};
		}

		if (this.#outgoing.headersSent && !isStream(got)) {
			got.body.resume();
			return {type: 'failed', status: got.status};
		}

		const ending = isStream(got)
			? await this.#relayStream(got, job, watch)
			: await this.#relayBody(got, route, job);
		this.#judge(ending, id, false);
		return ending;
	}

	async #relayStream(reply: Reply, job: string, watch: Watch): Promise<AttemptEnding> {
		let isFirst = true;
		const ending = await relayEvents(this.#outgoing, reply, {
			onEvents: lastId => {
				watch.heard();
				this.#trace.noteEvents();
				this.#lastEvent = lastId ?? this.#lastEvent;
				if (isFirst) {
					isFirst = false;
					this.#began(job);
					if (!this.#outgoing.headersSent) {
						writeHead(this.#outgoing, reply);
					}
				}
			},
		});
		if (ending.type !== 'answered') {
			const reason = this.#attempt?.cancelled;
			return reason === undefined ? ending : {type: 'cancelled', reason};
		}

		if (!this.#outgoing.headersSent) {
			writeHead(this.#outgoing, reply);
		}

		this.#outgoing.end();
		return ending;
	}

	async #relayBody(reply: Reply, route: Route, job: string): Promise<AttemptEnding> {
		const body = await readBody(reply);
		this.#began(job);
		switch (body.type) {
			case 'broken': {
				const reason = this.#attempt?.cancelled;
				return reason === undefined ? {type: 'unknown', reason: body.reason} : {type: 'cancelled', reason};
			}

			case 'long': {
				writeHead(this.#outgoing, reply);
				if (await relayLong(this.#outgoing, body) && await reply.isWhole()) {
					this.#outgoing.end();
					return {type: 'answered', status: reply.status};
				}

				return {type: 'unknown', reason: 'the answer broke off'};
			}

			case 'whole': {
				if (reply.status >= 500 && route.kind === 'idempotent') {
					this.#lastReply = {reply, body};
					return {type: 'failed', status: reply.status};
				}

				this.#pass(reply, body.bytes);
				return {type: 'answered', status: reply.status};
			}

			default: {
				return assertNever(body);
			}
		}
	}

	/** A status that promises that the request has not run is passed on only if the upstream said so. */
	#pass(reply: Reply, bytes: Buffer): void {
		if (promises.has(reply.status)) {
			this.#refuse('outcomeUnknown');
			return;
		}

		writeHead(this.#outgoing, reply, bytes.length);
		this.#outgoing.end(bytes);
	}

	#began(job: string): void {
		this.#trace.noteFirstByte();
		this.#parts.gateway.progress(job);
	}

	#judge(ending: AttemptEnding, upstream: string, isUnreachable: boolean): void {
		const {gateway} = this.#parts;
		const verdict = isUnreachable ? 'unreachable' : verdictOf(ending);
		if (verdict !== undefined) {
			gateway.judge(upstream, verdict);
		}

		if (ending.type === 'unknown') {
			gateway.suspect(this.#fingerprint ?? '', upstream);
		}
	}

	#halt(stop: Stop): void {
		if (this.#stop !== undefined || this.#outgoing.writableFinished) {
			return;
		}

		this.#stop = stop;
		const isSent = this.#attempt !== undefined;
		this.#attempt?.cancel(stop);
		if (stop === 'time over') {
			this.#mayHaveRun ||= isSent;
			this.#conclude('deadlinePassed');
		}
	}

	/** Ends an exchange that got no whole answer. */
	#conclude(name: AnswerName): void {
		const outgoing = this.#outgoing;
		if (this.#stop === 'caller left' || outgoing.destroyed) {
			this.#finish('caller left');
			return;
		}

		if (outgoing.headersSent) {
			if (!outgoing.writableEnded) {
				outgoing.destroy();
				this.#finish('broken off');
			}

			return;
		}

		if (this.#lastReply !== undefined && this.#stop === undefined) {
			this.#pass(this.#lastReply.reply, this.#lastReply.body.bytes);
			this.#finish('failed');
			return;
		}

		this.#refuse(this.#honest(name), usualRetryAfter + (this.#parts.random() * retrySpread));
	}

	/** An answer that promises "not run" is given only where that is known. */
	#honest(name: AnswerName): AnswerName {
		if (this.#mayHaveRun) {
			return name === 'deadlinePassed' ? name : 'outcomeUnknown';
		}

		return name === 'deadlinePassed' ? 'deadlineBeforeStart' : name;
	}

	#refuse(name: AnswerName, retryAfter?: number): void {
		if (!this.#outgoing.headersSent && !this.#outgoing.destroyed) {
			answer(this.#outgoing, name, retryAfter);
		}

		this.#finish(name);
	}

	#finish(outcome: string): void {
		this.#trace.finish(outcome, this.#attempts);
	}
}

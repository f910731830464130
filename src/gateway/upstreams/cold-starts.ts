/** Keeps which upstreams are cold, from registrations, peers and starts that this host observes, shares it with peers, and logs it. */
import {ColdStarts, type ColdBound, type ColdShare} from '../../core/gateway/limits/cold-starts.js';
import {type Obstacle} from '../../core/gateway/placement/eligibility.js';
import {type Job} from '../../core/gateway/engines/load.js';
import {computeRelayWait} from '../../core/gateway/limits/relay-silence.js';
import {Settling} from '../../core/gateway/limits/settling.js';
import {type ColdStart, type GatewayUpstream} from '../../core/gateway/types.js';
import {type ColdReport, type ReportedCheck} from '../../core/gateway/limits/upstream-reports.js';
import {dropOldest} from '../../core/utils/bounded.js';
import {type Log} from '../../entry/logs.js';
import {type RegistrationSource} from './upstreams.js';

/** Time over which hosts spread their use of the next allowed request, in a large and in a small fleet. */
const largeFleetSpreadMs = 200;
const smallFleetSpreadMs = 100;

/** For how long the view of the fleet is used: computing it takes time that grows with the fleet. */
const viewLifetimeMs = 50;

/** Registrations this soon after the first one are those that existed before this host started. */
const firstListingMs = 500;

/** Difference between the clocks of a host and an upstream up to which an upstream may have started later than it states. */
const maxClockDifferenceMs = 2000;

/** Extensions of a cold time that are not shared with peers. */
const minSharedGainMs = 250;

/** Requests older than this don't matter to the present second. */
const maxRequestAgeMs = 1000;

/** Wait for a cold upstream that is reported while this host knows none of its peers. */
const unknownFleetWaitMs = 1000;

/** Health checks of one host at one upstream are at least a second apart: one that is reported again sooner is the same. */
const minCheckGapMs = 500;

/** Checks of other hosts that are kept, to count each once. */
const maxCounted = 2048;

const ownAssumption = 'assumed';
const ownCheck = 'health';

/** What this host knows of the other hosts. */
export type FleetView = {
	/** Share of the fleet whose requests are known here, above 0 and at most 1. */
	readonly visible: number;
	readonly isLarge: boolean;
	/** Number of failure domains with hosts. */
	readonly domains: number;
	/** Whether this host has met a peer, or has none to meet. */
	readonly isKnown: boolean;
};

export type ColdUpstreamsOptions = {
	/** Name of this host. */
	readonly self: string;
	readonly bound: ColdBound;
	readonly log: Pick<Log, 'write'>;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** Unix time in milliseconds. */
	readonly wall: () => number;
	/** Uniform from 0 to 1. */
	readonly random: () => number;
	readonly findUpstream: (id: string) => GatewayUpstream | undefined;
	/** Returns how the upstreams of a service start, if that is configured. */
	readonly findColdStart: (service: string) => ColdStart | undefined;
	readonly viewFleet: () => FleetView;
	/** Returns the milliseconds since the last message of the relay that forwards the others' requests; undefined if there is none. */
	readonly findRelaySilence: () => number | undefined;
	/** Whether a host is of the failure domain of this one. */
	readonly isOfDomain: (host: string) => boolean;
	/** Sends a report to all peers. */
	readonly publish: (report: ColdReport) => void;
};

function isSameWrite(a: GatewayUpstream | undefined, b: GatewayUpstream): boolean {
	return a !== undefined && a.started === b.started && a.coldRemaining === b.coldRemaining && a.isColdTimeUnknown === b.isColdTimeUnknown
		&& a.sequence !== undefined && a.sequence === b.sequence;
}

export class ColdUpstreams {
	readonly #options: ColdUpstreamsOptions;
	readonly #coldStarts: ColdStarts;
	readonly #settling: Settling;
	/** When checks of other hosts were sent, by host and upstream. */
	readonly #countedChecks = new Map<string, number>();
	#firstRegistrationAt: number | undefined;
	#view: {readonly at: number; readonly share: ColdShare} | undefined;

	constructor(options: ColdUpstreamsOptions) {
		this.#options = options;
		this.#coldStarts = new ColdStarts(options.bound, options.random);
		this.#settling = new Settling(options.now(), options.wall());
	}

	/** Number of registered upstreams that are cold. */
	get count(): number {
		return this.#coldStarts.list(this.#options.now()).filter(({upstream}) => this.#findLimit(upstream) !== undefined).length;
	}

	/** The cold upstreams, for a host that has just been linked. */
	get all(): readonly ColdReport[] {
		return this.#coldStarts.list(this.#options.now())
			.map(({upstream, until}) => ({
				type: 'cold', upstream, started: this.#options.findUpstream(upstream)?.started, until,
			}));
	}

	/**
	 * @param upstream - Its registration.
	 * @param previous - The former one, if there was one.
	 * @param source - Where it was read.
	 */
	recordRegistration(upstream: GatewayUpstream, previous: GatewayUpstream | undefined, source: RegistrationSource): void {
		const now = this.#options.now();
		this.#firstRegistrationAt ??= now;
		const isFirstListing = now - this.#firstRegistrationAt < firstListingMs;
		if (!isSameWrite(previous, upstream)) {
			const stated = upstream.isColdTimeUnknown === true ? this.#assumeUnknown(upstream, previous) : upstream.coldRemaining ?? 0;
			const origin = source.type === 'store' ? 'store' : source.peer;
			this.#record(upstream, now + stated, origin, source.type === 'store');
		}

		if (previous === undefined && isFirstListing) {
			this.#record(upstream, now + this.#assumeRemaining(upstream), ownAssumption, false);
		} else if (previous === undefined || previous.started !== upstream.started) {
			this.assumeCold(upstream);
		}
	}

	/**
	 * Assumes that an upstream has just become cold: it has started, or the evacuation of its failure domain has ended.
	 *
	 * @param upstream - Its registration.
	 */
	assumeCold(upstream: GatewayUpstream): void {
		this.#record(upstream, this.#options.now() + this.#durationOf(upstream), ownAssumption, false);
	}

	/**
	 * @param peer - Peer.
	 * @param report - What it or another host knows of a cold upstream.
	 */
	applyPeerReport(peer: string, {upstream: id, started, until, check}: ColdReport): void {
		const upstream = this.#options.findUpstream(id);
		if (upstream !== undefined && (upstream.started ?? 0) <= (started ?? 0)) {
			this.#record(upstream, until, peer, false);
		}

		if (check !== undefined) {
			this.#countPeerCheck(id, check);
		}
	}

	/**
	 * @param upstream - Registered upstream.
	 * @returns Until when it is cold; undefined if it has not been lately.
	 */
	getEnd({id}: GatewayUpstream): number | undefined {
		return this.#coldStarts.getEnd(id);
	}

	/**
	 * Counts a health check as a request, and reports it to the peers if the upstream is known to be cold.
	 *
	 * @param upstream - Upstream that this host is about to check.
	 * @returns Whether it is known to be cold, so that the check was counted.
	 */
	countCheck({id, started}: GatewayUpstream): boolean {
		const {self, now, publish} = this.#options;
		const until = this.#coldStarts.getEnd(id);
		if (until === undefined) {
			return false;
		}

		this.#count(id, now(), true);
		publish({
			type: 'cold', upstream: id, started, until, check: {host: self, at: now()},
		});
		return true;
	}

	/**
	 * Records that an upstream is cold according to its response to a health check of this host.
	 *
	 * @param upstream - Its registration.
	 * @param remaining - Milliseconds for which it stays cold.
	 * @param at - When the check was sent; undefined if it was counted then.
	 */
	recordHealth(upstream: GatewayUpstream, remaining: number, at: number | undefined): void {
		const {now, self, publish} = this.#options;
		const until = now() + remaining;
		this.#record(upstream, until, ownCheck, at === undefined);
		if (at !== undefined) {
			this.#count(upstream.id, at, true);
			publish({
				type: 'cold', upstream: upstream.id, started: upstream.started, until, check: {host: self, at},
			});
		}
	}

	/**
	 * @param upstream - Upstream.
	 * @returns Whether the requests of all hosts to it are counted, as it is or has just been cold.
	 */
	isCold(upstream: string): boolean {
		return this.#coldStarts.getEnd(upstream) !== undefined;
	}

	/**
	 * @param upstream - Upstream that is gone.
	 */
	forget(upstream: string): void {
		this.#coldStarts.forget(upstream);
	}

	/**
	 * Counts the requests of a job: one at the upstream that answers, and one for the part of each helper, whether it is reserved or not.
	 * The reservations of this host's own jobs are counted as they are made.
	 *
	 * @param job - Job that this host or a peer has begun.
	 */
	countJob({host, upstream, helpers, isHeld, began}: Job): void {
		if (this.#coldStarts.isEmpty || this.#options.now() - began > maxRequestAgeMs) {
			return;
		}

		const isOwn = host === this.#options.self;
		const isOfDomain = isOwn || this.#options.isOfDomain(host);
		const reserved = isHeld && !isOwn ? [upstream, ...helpers] : [];
		for (const engine of [upstream, ...helpers, ...reserved]) {
			this.#count(engine, began, isOfDomain);
		}
	}

	/**
	 * @param upstreams - Upstreams that this host is about to send a reservation.
	 */
	countReservation(upstreams: readonly string[]): void {
		if (!this.#coldStarts.isEmpty) {
			for (const upstream of upstreams) {
				this.#count(upstream, this.#options.now(), true);
			}
		}
	}

	/**
	 * @param upstream - Registered upstream.
	 * @returns That it is cold and gets no request of this host at present, with the wait until the next; undefined if it may get one.
	 */
	findObstacle({id}: GatewayUpstream): Obstacle | undefined {
		const rate = this.#coldStarts.isEmpty ? undefined : this.#findLimit(id);
		if (rate === undefined) {
			return undefined;
		}

		const now = this.#options.now();
		const wait = this.#coldStarts.computeWait(id, rate, now, this.#viewShare(now));
		return wait > 0 ? {type: 'cold-start', wait} : undefined;
	}

	/** Notices suspensions of this host and upstreams that have become warm; to be called several times a second. */
	update(): void {
		const {now, wall, log} = this.#options;
		this.#settling.observe(now(), wall());
		for (const upstream of this.#coldStarts.removeEnded(now())) {
			if (this.#findLimit(upstream) !== undefined) {
				log.write({event: 'upstream-warm', upstream});
			}
		}
	}

	#count(upstream: string, at: number, isOfDomain: boolean): void {
		const rate = this.#findLimit(upstream);
		if (rate !== undefined && this.#coldStarts.getEnd(upstream) !== undefined) {
			this.#coldStarts.count({upstream, at, isOfDomain}, rate, this.#viewShare(this.#options.now()));
		}
	}

	#countPeerCheck(upstream: string, {host, at}: ReportedCheck): void {
		const {self, now, isOfDomain} = this.#options;
		const key = `${host} ${upstream}`;
		const isRepeated = at - (this.#countedChecks.get(key) ?? Number.NEGATIVE_INFINITY) < minCheckGapMs;
		if (host === self || isRepeated || now() - at > maxRequestAgeMs) {
			return;
		}

		this.#countedChecks.delete(key);
		this.#countedChecks.set(key, at);
		dropOldest(this.#countedChecks, maxCounted);
		this.#count(upstream, at, isOfDomain(host));
	}

	#record({id, service, started}: GatewayUpstream, until: number, source: string, isShared: boolean): void {
		const {log, now, wall, findColdStart, publish} = this.#options;
		const at = now();
		const wasCold = (this.#coldStarts.getEnd(id) ?? 0) > at;
		const gain = this.#coldStarts.record(id, until, at);
		if (gain === 0) {
			return;
		}

		if (!wasCold && findColdStart(service)?.rate !== undefined) {
			log.write({
				event: 'upstream-cold', upstream: id, until: Math.round(wall() + until - at), remaining: Math.round(until - at), source,
			});
		}

		if (isShared && gain >= minSharedGainMs) {
			publish({
				type: 'cold', upstream: id, started, until,
			});
		}
	}

	#durationOf({service}: GatewayUpstream): number {
		return this.#options.findColdStart(service)?.duration ?? 0;
	}

	/** An upstream that goes on stating an invalid time is assumed cold only once: each renewal would extend its limit, without an end. */
	#assumeUnknown(upstream: GatewayUpstream, previous: GatewayUpstream | undefined): number {
		const isRepeated = previous?.isColdTimeUnknown === true && previous.started === upstream.started;
		return isRepeated ? 0 : this.#durationOf(upstream);
	}

	/** Milliseconds for which an upstream that started before this host may still be cold, from the start that it states. */
	#assumeRemaining(upstream: GatewayUpstream): number {
		const duration = this.#durationOf(upstream);
		const age = upstream.started === undefined ? Number.POSITIVE_INFINITY : this.#options.wall() - upstream.started;
		return Math.min(Math.max(duration + maxClockDifferenceMs - age, 0), duration);
	}

	/** Returns the requests per second that an upstream takes while cold; undefined for no limit. */
	#findLimit(id: string): number | undefined {
		const service = this.#options.findUpstream(id)?.service;
		return service === undefined ? undefined : this.#options.findColdStart(service)?.rate;
	}

	#viewShare(now: number): ColdShare {
		this.#settling.observe(now, this.#options.wall());
		const settling = Math.max(this.#settling.computeRemaining(now), computeRelayWait(this.#options.findRelaySilence()));
		if (this.#view !== undefined && now - this.#view.at < viewLifetimeMs) {
			return {...this.#view.share, settling: Math.max(this.#view.share.settling, settling)};
		}

		const {visible, isLarge, domains, isKnown} = this.#options.viewFleet();
		const share = {
			visible, spread: isLarge ? largeFleetSpreadMs : smallFleetSpreadMs, domains, settling: isKnown ? 0 : unknownFleetWaitMs,
		};
		this.#view = {at: now, share};
		return {...share, settling: Math.max(share.settling, settling)};
	}
}

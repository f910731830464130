/**
 * Finds out, together with the other hosts, which requests crash the engines that run them, by the parts of their prompts and as a whole.
 * Hosts send each other the attempts that ended with a crash, and what speaks for their causes; each draws the same conclusions from that.
 */
import {dropOldest} from '../../core/utils/bounded.js';
import {assertNever} from '../../core/utils/common.js';
import {type Cause} from '../../core/gateway/suspicion/causes.js';
import {type Crash} from '../../core/gateway/suspicion/crashes.js';
import {type Order} from '../../core/gateway/suspicion/orders.js';
import {listAvoided, rankForCause} from '../../core/gateway/suspicion/quarantine.js';
import {Suspects, type Assessment, type Conviction} from '../../core/gateway/suspicion/suspects.js';
import {computeTurn} from '../../core/gateway/suspicion/trials.js';
import {type GatewayUpstream, type UpstreamProcess} from '../../core/gateway/types.js';
import {type Clock} from '../../entry/clock.js';
import {type Log} from '../../entry/logs.js';
import {type Peers} from '../peers/peers.js';
import {type Upstreams} from '../upstreams/upstreams.js';
import {EvidenceExchange} from './evidence-exchange.js';
import {toPiece} from './evidence.js';
import {ConvictionLog} from './conviction-log.js';
import {CrashReports, type OwnReport} from './crash-reports.js';
import {toFormerCrash} from './former-messages.js';
import {RunningAttempts, type RunningAttempt} from './running-attempts.js';

/** Time in milliseconds after a crash by which bytes that the engine had sent before have arrived. */
const lastBytesMs = 150;

/** How long an engine is watched for a sign of life after a crash, in milliseconds. */
const watchMs = 10_000;

/**
 * Time after a crash by which the registry shows it: an upstream's registration expires after three heartbeats, and a restarted upstream
 * has another start time.
 */
const crashSettleMs = 5000;

/** Time in milliseconds in which changes are collected before convictions are inferred again: a crash ends many attempts at many hosts. */
const noteDelayMs = 5;

/** Time after a crash, in milliseconds, for which suspected requests aren't sent to its engine: it may be about to come back. */
const recentCrashMs = 3000;

/** Attempts in memory whose connections ended over other hosts. */
const maxWitnessed = 1000;

export type ConvictionsOptions = {
	/** Name of this host. */
	readonly self: string;
	readonly failureDomain: string;
	readonly upstreams: Pick<Upstreams, 'get' | 'listByService'>;
	readonly peers: Pick<Peers, 'broadcast' | 'domainCount' | 'isLargeFleet' | 'listDomainHosts' | 'relays'>;
	readonly clock: Pick<Clock, 'now' | 'wall'>;
	readonly log: Pick<Log, 'write'>;
	/** Uniform from 0 to 1. */
	readonly random: () => number;
	/** Returns the milliseconds since the upstreams were last confirmed current. */
	readonly confirmedAge: () => number;
	/** Called when a host of another failure domain reports that an upstream has crashed, so that no link is to blame. */
	readonly onForeignCrash: (upstream: string) => void;
	/** Whether some links of this host to upstreams are cut. */
	readonly areLinksInDoubt: () => boolean;
};

/** A request as far as it can be recognised again. */
export type RecognisedRequest = {
	readonly service: string;
	readonly causes: readonly Cause[];
};

export class Convictions implements Disposable {
	/** Evidence from and for other hosts. */
	readonly exchange: EvidenceExchange;
	readonly #options: ConvictionsOptions;
	readonly #suspects = new Suspects();
	readonly #running = new RunningAttempts();
	readonly #convictionLog: ConvictionLog;
	readonly #crashReports: CrashReports;
	#notedChanges = 0;
	#noteTimer: NodeJS.Timeout | undefined;
	/** Attempts of this host whose connections upstreams ended that another host carried, and when. */
	readonly #witnessed = new Map<string, number>();
	/** Upstreams that are watched for signs of life, and until when. */
	readonly #watched = new Map<string, number>();

	constructor(options: ConvictionsOptions) {
		this.#options = options;
		this.#convictionLog = new ConvictionLog(options.log);
		this.#crashReports = new CrashReports({
			areLinksInDoubt: options.areLinksInDoubt,
			isReportedElsewhere: upstream => this.#isReportedElsewhere(upstream),
			onCrashes: reports => {
				this.#sendCrashes(reports);
			},
			onBrokenLinks: reports => {
				this.#withdrawCrashes(reports, 'many connections broke at once');
			},
		});
		this.exchange = new EvidenceExchange({
			...options,
			suspects: this.#suspects,
			onCrash: (upstream, isOfOtherDomain) => {
				this.#watch(upstream, options.clock.now());
				if (isOfOtherDomain) {
					options.onForeignCrash(upstream);
				}
			},
			onChange: () => {
				this.#noteChanges();
			},
		});
	}

	/** Number of attempts in memory that ended with a crash. */
	get reportCount(): number {
		return this.#suspects.reportCount;
	}

	/** Convictions in force. */
	get all(): readonly Conviction[] {
		return this.#suspects.convictions;
	}

	/**
	 * @param request - Request that is about to be sent.
	 * @returns What is known against it.
	 */
	assess({service, causes}: RecognisedRequest): Assessment {
		// Nothing has crashed at most times.
		if (this.#suspects.isEmpty) {
			return {type: 'unsuspected'};
		}

		const {upstreams, clock} = this.#options;
		const versions = [...new Set(upstreams.listByService(service).map(each => each.version ?? ''))];
		const assessment = this.#suspects.assess({service, causes, versions}, key => this.#findTurn(key), clock.now());
		if (assessment.type !== 'convicted' || assessment.conviction.basis.type !== 'crashes' || !this.#review(assessment.conviction.basis.crashes)) {
			return assessment;
		}

		return this.#suspects.assess({service, causes, versions}, key => this.#findTurn(key), clock.now());
	}

	/**
	 * Notifies the other hosts that this one tests a conviction.
	 *
	 * @param trial - Trial that may start.
	 */
	beginTrial({key}: Extract<Assessment, {readonly type: 'trial'}>): void {
		const at = this.#options.clock.now();
		this.#suspects.recordTrial(key, at);
		this.#options.log.write({event: 'conviction-tested', conviction: key});
		this.exchange.send([{type: 'trial', key, at}]);
	}

	/**
	 * @param assessment - What is known against a request.
	 * @param service - Its service.
	 * @returns Ids of the upstreams that it may be sent to, the best first and fewer at first; undefined for any.
	 */
	listPermitted(assessment: Assessment, service: string): readonly string[] | undefined {
		const {upstreams} = this.#options;
		switch (assessment.type) {
			case 'convicted': {
				return undefined;
			}

			case 'unsuspected': {
				const {versions} = assessment;
				return versions === undefined ? undefined : upstreams.listByService(service).filter(each => versions.includes(each.version ?? '')).map(({id}) => id);
			}

			case 'suspected':
			case 'trial': {
				const {versions, cause} = assessment;
				const eligible = this.#listSound(service).filter(each => versions?.includes(each.version ?? '') ?? true);
				return rankForCause(cause, eligible).map(({id}) => id);
			}

			default: {
				return assertNever(assessment);
			}
		}
	}

	/**
	 * @param service - Service.
	 * @param isInterrupted - Whether the request was sent before.
	 * @returns Ids of the engines that requests without a suspected cause avoid.
	 */
	listAvoided(service: string, isInterrupted: boolean): ReadonlySet<string> {
		const suspects = this.#suspects.listSuspects(service);
		if (suspects.length === 0) {
			return new Set();
		}

		return listAvoided(suspects, this.#listSound(service), this.#options.clock.now(), isInterrupted);
	}

	/**
	 * @param upstream - Upstream that an attempt of a request was sent to.
	 * @param causes - Causes of the request.
	 * @returns Whether it has crashed, probably under another request that crashes engines again and again.
	 */
	hasCrashedUnderOthers(upstream: string, causes: readonly Cause[]): boolean {
		const crash = this.#suspects.findCrash(upstream, this.#options.clock.now() - watchMs);
		if (crash === undefined) {
			return false;
		}

		const culprits = this.#suspects.listCulprits(crash.scope.service);
		return crash.reports.some(report => report.causes.some(cause => culprits.has(cause) && !causes.includes(cause)));
	}

	/**
	 * @param attempt - Attempt that is being sent.
	 * @returns Ends its record when disposed of.
	 */
	track(attempt: RunningAttempt): Disposable {
		return this.#running.add(attempt);
	}

	/**
	 * Records that the connection of an attempt broke: its upstream may have crashed.
	 *
	 * @param attempt - Attempt.
	 * @param isWitnessed - Whether another host, which carried the connection, says that the upstream ended it: the links of this host are not to blame.
	 */
	recordBroken(attempt: RunningAttempt, isWitnessed = false): void {
		const now = this.#options.clock.now();
		// Engines give up what a helper has not finished some time after it has crashed.
		if (attempt.helpers.some(helper => this.#suspects.findCrash(helper, now - recentCrashMs) !== undefined)) {
			return;
		}

		const {upstream, started, scope, causes, sent, fingerprint} = attempt;
		const report = {
			attempt: attempt.attempt, upstream, started, scope, causes, hasBegun: attempt.hasBegun(), sent, at: now,
		};
		if (!this.#suspects.recordCrash(report, now)) {
			return;
		}

		this.#options.log.write({
			event: 'suspected', upstream, started, version: scope.version, attempt: attempt.attempt, causes, begun: report.hasBegun,
		}, 'warn');
		if (isWitnessed) {
			this.#witnessed.set(attempt.attempt, now);
			dropOldest(this.#witnessed, maxWitnessed);
		}

		this.#watch(upstream, now);
		this.#crashReports.add({report, fingerprint});
		this.#noteChanges();
	}

	/**
	 * Records that an attempt was answered completely, which speaks for all of its causes.
	 *
	 * @param attempt - Attempt.
	 */
	recordAnswered(attempt: RunningAttempt): void {
		this.noteLife(attempt);
		const {scope, causes} = attempt;
		const at = this.#options.clock.now();
		const cleared = this.#suspects.recordAnswers(scope, causes, at);
		if (cleared.length > 0) {
			this.#options.log.write({
				event: 'acquitted', causes: cleared, version: scope.version, reason: 'answered',
			});
			this.exchange.send([{
				type: 'answers', scope, causes: cleared, at,
			}], cleared);
			this.#noteChanges();
		}
	}

	/**
	 * Records that an answer has begun.
	 *
	 * @param attempt - Attempt.
	 */
	recordBegun({scope, causes}: RunningAttempt): void {
		const at = this.#options.clock.now();
		const fresh = this.#suspects.recordBeginnings(scope, causes, at);
		if (fresh.length === 0) {
			return;
		}

		// In a large fleet, an answer of some host is complete before it is worth telling hundreds of others that one has begun.
		if (!this.#options.peers.isLargeFleet) {
			this.exchange.send([{
				type: 'beginnings', scope, causes: fresh, at,
			}]);
		}

		this.#noteChanges();
	}

	/**
	 * Records that bytes of an answer have arrived: a crash of its engine that is older than the connection's last bytes did not happen.
	 *
	 * @param attempt - Attempt.
	 */
	noteLife({upstream, started, sent}: RunningAttempt): void {
		const until = this.#watched.get(upstream);
		if (until === undefined) {
			return;
		}

		const now = this.#options.clock.now();
		const crash = this.#suspects.findCrash(upstream, now - watchMs);
		if (now > until || crash === undefined) {
			this.#watched.delete(upstream);
			return;
		}

		if (crash.started === started && sent < crash.at && now - crash.at > lastBytesMs) {
			this.#disprove(crash, now);
		}
	}

	/**
	 * Takes back the crashes that only this host has reported, of upstreams that it doesn't reach over its own links: connections broke, no more.
	 *
	 * @param isUnlinked - Returns whether this host has lost its link to an upstream.
	 */
	excuseCrashes(isUnlinked: (upstream: string) => boolean): void {
		const now = this.#options.clock.now();
		const dropped = this.#crashReports.drop(upstream => isUnlinked(upstream) && !this.#isReportedElsewhere(upstream));
		if (dropped.length > 0) {
			this.#withdrawCrashes(dropped, 'the link is cut');
		}

		for (const upstream of this.#watched.keys()) {
			const crash = isUnlinked(upstream) ? this.#suspects.findCrash(upstream, now - watchMs) : undefined;
			if (crash !== undefined && !this.#hasOthersReports(crash)) {
				this.#disprove(crash, now);
			}
		}
	}

	/**
	 * Records that another host has connected to an upstream: a crash of this process that was reported didn't happen.
	 *
	 * @param process - Process of the upstream, as it is registered.
	 */
	recordReached({upstream, started}: UpstreamProcess): void {
		const now = this.#options.clock.now();
		const crash = this.#suspects.findCrash(upstream, now - watchMs);
		if (crash !== undefined && crash.started === started && !crash.reports.some(({attempt}) => this.#witnessed.has(attempt))) {
			this.#disprove(crash, now);
		}
	}

	/**
	 * Adds or lifts a conviction at all hosts.
	 *
	 * @param order - Order of an operator.
	 */
	give(order: Order): void {
		// The clock of the host that took the last order may be ahead of this one's.
		const given = Math.max(order.given, this.#suspects.findOrderTime(order.service, order.cause) + 1);
		const received = {...order, given, at: this.#options.clock.now()};
		this.exchange.apply({type: 'order', order: received});
		this.#noteChanges();
		this.exchange.send([{type: 'order', order: received}]);
	}

	[Symbol.dispose](): void {
		clearTimeout(this.#noteTimer);
		this.#crashReports[Symbol.dispose]();
		this.exchange[Symbol.dispose]();
	}

	#sendCrashes(reports: readonly OwnReport[]): void {
		const {peers, clock} = this.#options;
		for (const {report, fingerprint} of reports) {
			peers.broadcast({type: 'crash', crash: toFormerCrash(fingerprint, report, clock.wall()), evidence: [toPiece({type: 'crash', report}, clock.now())]});
		}
	}

	/** Takes back crashes that no other host knows of. */
	#withdrawCrashes(reports: readonly OwnReport[], reason: string): void {
		const {clock, log} = this.#options;
		log.write({event: 'acquitted', upstreams: [...new Set(reports.map(({report}) => report.upstream))], reason});
		for (const {report: {upstream, started}} of reports) {
			this.#suspects.recordSurvival({upstream, started}, clock.now());
		}

		this.#noteChanges();
	}

	/** Whether another host has seen a crash, or has carried a connection that ended with it. */
	#hasOthersReports({reports}: Crash): boolean {
		return reports.some(({attempt}) => !attempt.startsWith(`${this.#options.self}.`) || this.#witnessed.has(attempt));
	}

	#isReportedElsewhere(upstream: string): boolean {
		const crash = this.#suspects.findCrash(upstream, this.#options.clock.now() - recentCrashMs);
		return crash !== undefined && this.#hasOthersReports(crash);
	}

	/** Upstreams of a service that stay and haven't crashed lately. */
	#listSound(service: string): readonly GatewayUpstream[] {
		const {upstreams, clock} = this.#options;
		const since = clock.now() - recentCrashMs;
		return upstreams.listByService(service).filter(each => !each.isDraining && this.#suspects.findCrash(each.id, since) === undefined);
	}

	/** Drops crashes whose upstream is still registered with the same start long after: only its connections broke. Returns whether there were such. */
	#review(crashes: readonly Crash[]): boolean {
		const {upstreams, clock, confirmedAge} = this.#options;
		const confirmed = clock.now() - confirmedAge();
		const survived = crashes.filter(({upstream, started, at}) => started !== undefined && confirmed > at + crashSettleMs && upstreams.get(upstream)?.started === started);
		for (const crash of survived) {
			this.#disprove(crash, clock.now());
		}

		return survived.length > 0;
	}

	#disprove({upstream, started}: Crash, at: number): void {
		if (this.exchange.apply({type: 'survival', process: {upstream, started}, at})) {
			this.exchange.send([{type: 'survival', process: {upstream, started}, at}]);
			this.#noteChanges();
		}
	}

	#watch(upstream: string, now: number): void {
		this.#watched.set(upstream, now + watchMs);
	}

	#findTurn(key: string): number {
		const {peers, self, failureDomain} = this.#options;
		return computeTurn(key, {
			self, failureDomain, hosts: peers.listDomainHosts(failureDomain), domainCount: peers.domainCount,
		});
	}

	/** Logs what has changed, and gives up what has just been sent to engines that it would crash. */
	#noteChanges(): void {
		this.#noteTimer ??= setTimeout(() => {
			this.#noteTimer = undefined;
			this.#updateConvictions();
		}, noteDelayMs);
	}

	#updateConvictions(): void {
		if (this.#notedChanges !== this.#suspects.changeCount) {
			this.#notedChanges = this.#suspects.changeCount;
			this.#convictionLog.update(this.#suspects.convictions, conviction => this.#running.cancelUnbegun(conviction));
		}
	}
}

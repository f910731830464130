/** State of a gateway (configuration, upstreams, load, peers) and the decisions based on it. */
import {assertNever} from '../core/index.js';
import {createAbsence, type AbsenceReason} from '../core/gateway/health/absences.js';
import {Directory} from '../core/gateway/registry/directory.js';
import {type Verdict} from '../core/gateway/health/health.js';
import {Load} from '../core/gateway/engines/load.js';
import {AnswerTimes} from '../core/gateway/limits/answer-times.js';
import {RetryBudget} from '../core/gateway/limits/retries.js';
import {selectLonger, type Obstacle} from '../core/gateway/placement/eligibility.js';
import {
	type EngineModel, type GatewayConfiguration, type GatewayService, type GatewayUpstream, type UpstreamProcess,
} from '../core/gateway/types.js';
import {computeUnknownMemory} from '../core/gateway/placement/job-audience.js';
import {isEngineOf} from '../core/gateway/registry/host-groups.js';
import {type Clock, type Timestamp} from '../entry/clock.js';
import {type Log} from '../entry/logs.js';
import {ColdUpstreams} from './upstreams/cold-starts.js';
import {Convictions} from './suspicion/convictions.js';
import {LoadUpdates} from './sharing/load-updates.js';
import {EnginePaces} from './upstreams/engine-paces.js';
import {MemoryQueue} from './requests/memory-queue.js';
import {Placements} from './requests/placements.js';
import {FleetView} from './peers/fleet-view.js';
import {OrganisationShares} from './organisations/organisation-shares.js';
import {ShareLearning} from './organisations/share-learning.js';
import {type Host, type Message} from './peers/messages.js';
import {Peers} from './peers/peers.js';
import {type PeerState} from './peers/state.js';
import {Registrations} from './upstreams/registrations.js';
import {Reputation} from './upstreams/reputation.js';
import {SelfReports} from './upstreams/self-reports.js';
import {StallDetectors} from './upstreams/stall-detectors.js';
import {type Settings} from './settings.js';
import {FleetTunnels} from './tunnels/fleet-tunnels.js';
import {StateSync} from './sharing/state-sync.js';
import {Upstreams} from './upstreams/upstreams.js';

/** Share of the revocation bound for which keys are accepted without confirmation from the store; the rest is for requests in progress. */
const keyTrustShare = 0.94;

/**
 * Time over which hosts spread their use of a limited upstream's next allowed request, in a large and in a small fleet. Without it, several
 * would send one before the first is known everywhere: hundreds of requests arrive each second, or updates are late.
 */
const largeFleetSpreadMs = 500;
const smallFleetSpreadMs = 100;

/** How often to remove jobs that must be over. */
const expiryIntervalMs = 1000;

/** How often to look for suspensions of this host and for upstreams that have become warm. */
const coldUpdateIntervalMs = 200;

export class Gateway implements AsyncDisposable {
	readonly paces: EnginePaces;
	readonly load: Load;
	readonly upstreams: Upstreams;
	readonly registrations: Registrations;
	readonly reputation: Reputation;
	readonly selfReports: SelfReports;
	readonly coldStarts: ColdUpstreams;
	readonly retries: RetryBudget;
	/** How long the answers of plain services took lately. */
	readonly answerTimes = new AnswerTimes();
	readonly peers: Peers;
	readonly sharing: StateSync;
	readonly loadUpdates: LoadUpdates;
	readonly convictions: Convictions;
	readonly memoryQueue: MemoryQueue;
	readonly shares: OrganisationShares;
	readonly shareLearning: ShareLearning;
	readonly placements: Placements;
	readonly tunnels: FleetTunnels;
	readonly stallDetectors: StallDetectors;
	readonly #settings: Settings;
	readonly #clock: Clock;
	readonly #log: Log;
	readonly #startedAt: number;
	readonly #expiryTimer: NodeJS.Timeout;
	readonly #coldTimer: NodeJS.Timeout;
	#directory: Directory | undefined;
	#confirmedAt: Timestamp | undefined;
	/** When the keys of the configuration in force were last known to be current. */
	#keysConfirmedAt: Timestamp | undefined;

	/**
	 * @param settings - Settings of this host.
	 * @param clock - Monotonic and wall-clock time.
	 * @param log - Log.
	 */
	constructor(settings: Settings, clock: Clock, log: Log) {
		this.#settings = settings;
		this.#clock = clock;
		this.#log = log;
		this.#startedAt = clock.wall();
		this.retries = new RetryBudget(settings.retries);
		this.paces = new EnginePaces({
			host: settings.host,
			log,
			now: () => clock.now(),
			findProcess: id => this.#findProcess(id),
			publish: report => {
				this.loadUpdates.publishPace(report);
			},
		});
		this.load = new Load((upstream, now) => this.paces.get(upstream, now), (upstream, model, known) => {
			const group = this.loadUpdates.groups.own;
			return group === undefined || isEngineOf(upstream, group) ? 0 : computeUnknownMemory(model, known);
		});
		this.tunnels = new FleetTunnels({
			host: settings.host, failureDomain: settings.failureDomain, incarnation: this.incarnation, log, now: () => clock.now(), peers: () => this.peers,
		});
		this.stallDetectors = new StallDetectors({
			tunnels: this.tunnels,
			clock,
			forecastIterationTime: engine => this.placements.forecastIterationTime(engine),
			onLife: engine => {
				if (this.reputation.recordLife(engine, clock.now())) {
					this.#publishReturn(engine);
				}
			},
		});
		this.peers = new Peers({
			self: {
				name: settings.host,
				failureDomain: settings.failureDomain,
				address: settings.peer,
				started: this.#startedAt,
				capacity: settings.processor.cores * settings.processor.share,
			},
			seeds: settings.seeds,
			identification: settings.fleet === undefined
				? {type: 'knowledge', view: new FleetView(settings.store, () => this.upstreams)}
				: {type: 'keys', keys: settings.fleet.keys},
			log,
			now: () => clock.now(),
			events: {
				joined: (host, send) => {
					this.sharing.handlePeerJoined(host.name);
					this.loadUpdates.handlePeerJoined(host, send);
					this.convictions.exchange.handlePeerJoined(send);
					this.shareLearning.proceed();
					const offer = this.tunnels.createOffer(host.name);
					if (offer !== undefined) {
						send({type: 'heartbeat', tunnel: offer});
					}
				},
				message: (from, message) => {
					this.#handleMessage(from, message);
				},
				lost: (host, reason) => {
					this.loadUpdates.handlePeerLost(host, reason);
					this.tunnels.handleHostLost(host.name);
				},
				tunnel: (from, offer) => {
					this.tunnels.handleOffer(from, offer);
				},
				tunnelLinkLost: host => {
					this.tunnels.handleHostLost(host);
				},
				linksLost: (from, alert) => {
					this.tunnels.handleAlert(from, alert);
				},
				summary: (from, summary) => {
					this.sharing.handleSummary(from.name, summary);
				},
				groups: (from, count) => {
					this.loadUpdates.handleGroups(from, count);
				},
			},
			summarizeState: () => ({era: this.registrations.era, eraAge: this.registrations.eraAge, version: this.#directory?.configuration.version}),
			countGroups: () => this.loadUpdates.groups.update(),
			createTunnelOffer: host => this.tunnels.createOffer(host),
		});
		this.reputation = new Reputation({failureDomain: settings.failureDomain, log, silentDomains: now => this.peers.unreachableDomains(now)});
		this.selfReports = new SelfReports({
			log,
			now: () => clock.now(),
			random: Math.random,
			wall: () => clock.wall(),
			findProcess: id => this.#findProcess(id),
			share: () => ({visible: this.peers.computeVisibleShare(clock.now()), spread: this.peers.isLargeFleet ? largeFleetSpreadMs : smallFleetSpreadMs}),
			publish: report => {
				this.loadUpdates.publishReport(report);
			},
		});
		this.coldStarts = new ColdUpstreams({
			self: settings.host,
			bound: settings.coldStarts,
			log,
			now: () => clock.now(),
			wall: () => clock.wall(),
			random: Math.random,
			findUpstream: id => this.upstreams.get(id),
			findColdStart: service => this.service(service)?.coldStart,
			viewFleet: () => ({
				visible: this.peers.computeVisibleShare(clock.now()), isLarge: this.peers.isLargeFleet, domains: this.peers.domainCount, isKnown: this.peers.isFleetKnown,
			}),
			findRelaySilence: () => this.peers.computeRelaySilence(clock.now()),
			isOfDomain: host => this.peers.listDomainHosts(settings.failureDomain).includes(host),
			publish: report => {
				this.loadUpdates.publishReport(report);
			},
		});
		this.upstreams = new Upstreams(log, {
			restarted: id => {
				this.load.forgetUpstream(id, clock.now());
				this.paces.forget(id);
				this.reputation.forgetUpstream(id);
				this.tunnels.links.forget(id);
			},
			removed: id => {
				this.paces.forget(id);
				this.reputation.forgetUpstream(id);
				this.tunnels.links.forget(id);
				this.coldStarts.forget(id);
			},
			registered: (upstream, previous, source) => {
				this.coldStarts.recordRegistration(upstream, previous, source);
			},
		});
		this.registrations = new Registrations({
			upstreams: this.upstreams,
			log,
			now: () => clock.now(),
			onEvacuationEnded: domain => {
				for (const upstream of this.upstreams.all.filter(each => each.failureDomain === domain)) {
					this.coldStarts.assumeCold(upstream);
				}
			},
		});
		this.registrations.onRestored(() => {
			this.peers.announceState();
		});
		this.convictions = new Convictions({
			self: settings.host,
			failureDomain: settings.failureDomain,
			upstreams: this.upstreams,
			peers: this.peers,
			clock,
			log,
			random: Math.random,
			confirmedAge: () => this.confirmedAge,
			onForeignCrash: upstream => {
				this.reputation.noteCrash(upstream, clock.now());
			},
			areLinksInDoubt: () => this.tunnels.areLinksInDoubt,
		});
		this.loadUpdates = new LoadUpdates({
			self: settings.host,
			failureDomain: settings.failureDomain,
			load: this.load,
			peers: this.peers,
			now: () => clock.now(),
			modelAt: upstream => this.modelAt(upstream),
			onAbsence: (absence, peer) => {
				// Its own answers show this host more than the silence that a peer meets.
				if (absence.reason !== 'silent' || !this.stallDetectors.isLive(absence.upstream)) {
					this.reputation.recordAbsence(absence, peer, clock.now());
				}
			},
			onReturn: (upstream, peer) => {
				this.reputation.recordReturn(upstream, peer, clock.now());
			},
			onNewJob: job => {
				this.selfReports.countRequest(job.upstream, job.began);
				this.coldStarts.countJob(job);
				this.shares.countJob(job);
			},
			onInvalidTag: peer => {
				this.shares.reportInvalidTag(peer);
			},
			reports: () => [...this.selfReports.all, ...this.coldStarts.all],
			onReport: (peer, report) => {
				if (report.type === 'cold') {
					this.coldStarts.applyPeerReport(peer, report);
				} else {
					this.selfReports.applyPeerReport(peer, report);
				}
			},
			onPace: (peer, pace) => {
				this.paces.applyPeerReport(peer, pace);
			},
			onClaim: claim => {
				this.memoryQueue.applyClaim(claim);
			},
			sent: job => {
				const service = this.upstreams.get(job.upstream)?.service;
				if (service !== undefined) {
					this.retries.countPeerPlacement(service, job.placing, clock.now());
				}
			},
			isCounted: upstream => this.selfReports.isLimited(upstream) || this.coldStarts.isCold(upstream),
			findService: upstream => this.upstreams.get(upstream)?.service,
			onSum: sum => {
				if (this.service(sum.service) !== undefined) {
					this.shares.countSum(sum);
					this.retries.countPeerRequests(sum.service, sum.requests, clock.now());
				}
			},
		});
		this.shares = new OrganisationShares({
			log,
			now: () => clock.now(),
			findUpstream: id => this.upstreams.get(id),
			countRequests: upstream => this.load.countRequests(upstream),
		});
		this.shareLearning = new ShareLearning({
			log,
			now: () => clock.now(),
			shares: this.shares,
			hasOrganisations: () => (this.#directory?.configuration.organisations?.length ?? 0) > 0,
			listPeers: () => this.peers.hosts.map(host => host.name),
			send: (peer, message) => {
				this.peers.send(peer, message);
			},
		});
		this.memoryQueue = new MemoryQueue({
			self: this.incarnation,
			host: settings.host,
			load: this.load,
			now: () => clock.now(),
			publish: claim => {
				this.loadUpdates.publishClaim(claim);
			},
		});
		this.sharing = new StateSync(this, {self: settings.host, failureDomain: settings.failureDomain, clock});
		this.placements = new Placements({
			host: settings.host,
			failureDomain: settings.failureDomain,
			incarnation: this.incarnation,
			now: () => clock.now(),
			upstreams: this.upstreams,
			registrations: this.registrations,
			reputation: this.reputation,
			load: this.load,
			shortPrefills: this.paces.shortPrefills,
			memoryQueue: this.memoryQueue,
			shares: this.shares,
			findService: name => this.service(name),
			findObstacle: upstream => this.findObstacle(upstream),
			findGroup: () => this.loadUpdates.groups.own,
			listAvoided: (service, isInterrupted) => this.convictions.listAvoided(service, isInterrupted),
			begin: job => {
				this.loadUpdates.begin(job);
			},
		});

		this.#expiryTimer = setInterval(() => {
			this.load.removeExpired(clock.now());
			this.loadUpdates.removeForeignJobs();
		}, expiryIntervalMs);
		this.#coldTimer = setInterval(() => {
			this.coldStarts.update();
		}, coldUpdateIntervalMs);
	}

	/** Lookup over the configuration in force, if there is one. */
	get directory(): Directory | undefined {
		return this.#directory;
	}

	/** Unique name of this run of the process. */
	get incarnation(): string {
		return `${this.#settings.host}.${this.#startedAt.toString(36)}`;
	}

	/** Milliseconds since the configuration in force and the upstreams were last known to be current. */
	get confirmedAge(): number {
		return this.#confirmedAt === undefined ? Number.POSITIVE_INFINITY : this.#clock.getElapsedTime(this.#confirmedAt);
	}

	/** Whether a key of the configuration may have been revoked without this host knowing. */
	get isKeyStale(): boolean {
		const age = this.#keysConfirmedAt === undefined ? Number.POSITIVE_INFINITY : this.#clock.getElapsedTime(this.#keysConfirmedAt);
		return this.#settings.revocation > 0 && age > this.#settings.revocation * keyTrustShare;
	}

	/**
	 * Puts a configuration in force if its version is newer than the current one.
	 *
	 * @param configuration - Configuration that was read.
	 */
	applyConfiguration(configuration: GatewayConfiguration): void {
		const previous = this.#directory?.configuration.version;
		if (previous !== undefined && configuration.version <= previous) {
			return;
		}

		this.#directory = new Directory(configuration);
		this.#log.write({
			event: 'configuration', version: configuration.version, before: previous, routes: configuration.routes.length,
		});
		this.shareLearning.proceed();
	}

	/**
	 * @param age - Milliseconds since the configuration in force and the upstreams were known to be current.
	 */
	confirm(age: number): void {
		if (age >= this.confirmedAge) {
			return;
		}

		this.#confirmedAt = this.#clock.createTimestamp(age);
		// A store that has just returned from a backup may lack the configuration that revoked a key.
		if (!this.registrations.isStoreBeingRewritten(this.#clock.now() - age)) {
			this.#keysConfirmedAt = this.#confirmedAt;
		}

		void this.sharing.requestNewerConfiguration();
	}

	/**
	 * Applies the state of a peer.
	 *
	 * @param peer - Name of the peer.
	 * @param state - Version of its configuration, and its upstreams if they differ.
	 * @param age - Milliseconds since the peer's state was known to be current.
	 */
	applyPeerState(peer: string, state: PeerState, age: number): void {
		// Peers send a newer configuration before the state that refers to it. Without it, the state confirms nothing that is known here.
		if (state.version > (this.#directory?.configuration.version ?? 0)) {
			return;
		}

		if (this.registrations.applyUpdate(peer, {...state, era: state.era ?? this.registrations.assumedEra})) {
			this.confirm(age);
		}
	}

	/**
	 * @param name - Name of a service.
	 * @returns Its configuration, if it is known.
	 */
	service(name: string): GatewayService | undefined {
		return this.#directory?.service(name);
	}

	/**
	 * @param upstream - Id of an upstream.
	 * @returns Its engine model, if it is a known engine.
	 */
	modelAt(upstream: string): EngineModel | undefined {
		return this.service(this.upstreams.get(upstream)?.service ?? '')?.engine;
	}

	/** Whether the upstreams of a service have a limit while they are cold. */
	get hasColdLimits(): boolean {
		return this.#directory?.configuration.services.some(({coldStart}) => (coldStart?.rate ?? 0) > 0) ?? false;
	}

	/**
	 * Hosts of this failure domain that check upstreams, as far as they are linked: all in a small fleet. In a large one only the relays are
	 * linked with all others, so that only they agree on who checks what.
	 */
	get checkingHosts(): readonly string[] {
		const {host: self, failureDomain} = this.#settings;
		const {isLargeFleet, relays, hosts} = this.peers;
		return isLargeFleet ? relays : [self, ...hosts.filter(host => host.failureDomain === failureDomain).map(host => host.name)];
	}

	/**
	 * @param upstream - Registered upstream.
	 * @returns What keeps it from accepting a request of this host at present; undefined if it accepts one.
	 */
	findObstacle(upstream: GatewayUpstream): Obstacle | undefined {
		if (this.registrations.isEvacuated(upstream.failureDomain)) {
			return {type: 'evacuation'};
		}

		return upstream.isDraining ? {type: 'departure'} : selectLonger(this.selfReports.findObstacle(upstream), this.coldStarts.findObstacle(upstream));
	}

	/**
	 * @param service - Service.
	 * @param isSuspected - Whether the request may have crashed its upstream.
	 * @returns Whether the retry budget that all hosts share allows one more.
	 */
	canRetry(service: string, isSuspected = false): boolean {
		const {fleetSize: hosts, isLargeFleet, domainHostCount} = this.peers;
		const now = this.#clock.now();
		const counted = isLargeFleet ? domainHostCount : Math.max(Math.round(hosts * this.peers.computeVisibleShare(now)), 1);
		return this.retries.allowsRetry(service, {hosts, counted}, now, isSuspected);
	}

	/**
	 * Records the verdict of an attempt on the health of an upstream.
	 *
	 * @param upstream - Id of the upstream.
	 * @param verdict - Verdict of the attempt.
	 * @param isCrash - Whether a request that was suspected before has probably crashed it, so that its link isn't to blame.
	 */
	recordVerdict(upstream: string, verdict: Verdict, isCrash = false): void {
		const now = this.#clock.now();
		if (isCrash) {
			this.reputation.noteCrash(upstream, now);
		}

		this.reputation.recordVerdict(upstream, this.upstreams.get(upstream), verdict, now);
	}

	/**
	 * Records that an engine is silent and that an answer is about to go on elsewhere. Silence of most engines at once says nothing of one of them.
	 *
	 * @param upstream - Engine.
	 * @param isTunnelled - Whether another host is the way to it, and may be to blame as well.
	 */
	recordSilence(upstream: GatewayUpstream, isTunnelled: boolean): void {
		if (isTunnelled) {
			this.recordUnlinked(upstream.id);
		} else if (this.#isSilentAlone(upstream) && this.tunnels.links.findRoute(upstream).type === 'direct') {
			this.reputation.recordSilence(upstream, this.#clock.now());
			this.publishAbsence(upstream.id, 'silent');
		}
	}

	/**
	 * Records that an upstream that was found silent gave no answer to a health check either.
	 *
	 * @param upstream - Upstream.
	 */
	recordUnanswered(upstream: GatewayUpstream): void {
		this.stallDetectors.recordFailedCheck(upstream);
		if (this.reputation.recordUnanswered(upstream.id, this.#clock.now())) {
			this.publishAbsence(upstream.id, 'silent');
		}
	}

	/**
	 * Records that this host couldn't connect to an upstream, although nothing shows that it is gone: the own link may be to blame.
	 *
	 * @param upstream - Id of the upstream.
	 */
	recordUnlinked(upstream: string): void {
		this.reputation.recordUnlinked(upstream, this.#clock.now());
	}

	/**
	 * @param upstream - Upstream as it was registered when a request was sent to it.
	 * @returns Whether the process has stated since that it leaves, in the store or in a response: it may end with its last response.
	 */
	isLeaving(upstream: GatewayUpstream): boolean {
		const last = this.upstreams.getLast(upstream.id);
		return upstream.isDraining
			|| (last?.started === upstream.started && last?.isDraining === true)
			|| this.selfReports.isLeaving({upstream: upstream.id, started: upstream.started});
	}

	/** Takes back what was recorded against upstreams that this host doesn't reach over its own links. */
	excuseUnlinked(): void {
		const isUnlinked = (upstream: GatewayUpstream | undefined) => upstream !== undefined && this.tunnels.links.findRoute(upstream).type === 'tunnel';
		for (const upstream of this.upstreams.all) {
			if (isUnlinked(upstream)) {
				this.reputation.excuse(upstream.id);
			}
		}

		this.convictions.excuseCrashes(id => isUnlinked(this.upstreams.get(id)));
	}

	/**
	 * Notifies peers of an upstream that is absent.
	 *
	 * @param upstream - Id of the upstream.
	 * @param reason - How an attempt found it absent.
	 */
	publishAbsence(upstream: string, reason: AbsenceReason): void {
		this.loadUpdates.publishAbsence(createAbsence(upstream, reason, this.upstreams.get(upstream)?.failureDomain, this.#settings.failureDomain));
	}

	async [Symbol.asyncDispose](): Promise<void> {
		clearInterval(this.#expiryTimer);
		clearInterval(this.#coldTimer);
		this.shareLearning[Symbol.dispose]();
		this.convictions[Symbol.dispose]();
		this.registrations[Symbol.dispose]();
		await this.peers[Symbol.asyncDispose]();
	}

	#isSilentAlone({id, service}: GatewayUpstream): boolean {
		const {silent, isCommon} = this.stallDetectors.view(service);
		return silent.has(id) && !isCommon;
	}

	#publishReturn({id, failureDomain}: GatewayUpstream): void {
		const {isForAll} = createAbsence(id, 'silent', failureDomain, this.#settings.failureDomain);
		this.loadUpdates.publishReturn({upstream: id, isForAll});
	}

	/** Returns the registered process of an upstream, if there is one. */
	#findProcess(id: string): UpstreamProcess | undefined {
		const upstream = this.upstreams.get(id);
		return upstream === undefined ? undefined : {upstream: id, started: upstream.started};
	}

	#handleMessage(from: Host, message: Message): void {
		switch (message.type) {
			case 'load': {
				this.loadUpdates.handleUpdate(from, message);
				return;
			}

			case 'load-wanted': {
				if (!this.shareLearning.handleRequest(from.name, message)) {
					this.loadUpdates.handleRequest(from, message);
				}

				return;
			}

			case 'load-told': {
				if (!this.shareLearning.handleResponse(from.name, message)) {
					this.loadUpdates.handleResponse(from, message);
				}

				return;
			}

			case 'hosts-lost': {
				this.loadUpdates.handleHostsLost(message);
				return;
			}

			case 'crash':
			case 'acquittal': {
				this.convictions.exchange.handleMessage(from, message);
				return;
			}

			case 'state-wanted': {
				this.sharing.handleRequest(from.name, message);
				return;
			}

			case 'configuration': {
				this.applyConfiguration(message.configuration);
				return;
			}

			case 'state': {
				this.sharing.handleState(from.name, message);
				return;
			}

			case 'hello':
			case 'challenge':
			case 'proof':
			case 'foreign':
			case 'release':
			case 'heartbeat': {
				return;
			}

			default: {
				assertNever(message);
			}
		}
	}
}

/** Assembles a gateway process, and shuts it down gracefully without cutting off responses. */
import {type Agent} from 'node:http';
import {setImmediate as turn, setTimeout as sleep} from 'node:timers/promises';
import {computeBodyBudget} from '../core/gateway/limits/request-bodies.js';
import {planStop, type Stop} from '../core/gateway/limits/stop.js';
import {computeResponseBudget} from '../core/gateway/limits/response-buffers.js';
import {Clock} from '../entry/clock.js';
import {DisposalStack} from '../entry/disposal-stack.js';
import {type Log} from '../entry/logs.js';
import {TunnelServer} from './tunnels/tunnel-server.js';
import {UpstreamPool} from './upstreams/upstream-pool.js';
import {
	type EngineControl, type EngineControlOptions, type HeaderFormat, type HealthClient,
} from './platform-adapter.js';
import {Gateway} from './gateway.js';
import {EngineChecks, type EngineChecksOptions} from './upstreams/engine-checks.js';
import {HealthChecks} from './upstreams/health-checks.js';
import {ReturnChecks} from './upstreams/return-checks.js';
import {Holds} from './requests/holds.js';
import {AdminListener} from './admin/admin-listener.js';
import {GatewayMetrics, MetricsListener} from './metrics.js';
import {RequestBodies} from './callers/request-bodies.js';
import {ResponseBuffers} from './callers/response-buffers.js';
import {CallerListener, ReadyListener} from './callers/server.js';
import {type Settings} from './settings.js';
import {SuspensionDetector} from './suspension.js';

/** How long the balancer may keep sending callers here after this host reports not ready: two health checks, one per second. */
const balancerLagMs = 2600;

/** How long idle connections stay open after the stop signal, so that callers that have just been answered can learn of the stop first. */
const idleGraceMs = 800;

/**
 * Time from the end of listening to the end of the process. A caller that has just connected can send its request and receives the
 * answer that this host is leaving; without it, such a caller was cut off.
 */
const lateRequestGraceMs = 300;

/** How often to check whether all requests have ended. */
const checkIntervalMs = 50;

/** How often to look for health checks that are due. */
const healthCheckIntervalMs = 200;

/**
 * Upstreams that are asked for a sign of life at once: before they take over answers, which many look for while all engines are silent, and
 * after silence.
 */
const maxSuccessorChecks = 3;
const maxReturnChecks = 8;

/** This host counts as ready until its configuration and upstreams have gone unconfirmed by the store for this long. */
const maxReadyAgeMs = 20_000;

/** Connects a gateway to the platform that it runs on. */
export type PlatformAdapter = {
	readonly headerFormat: HeaderFormat;
	readonly createEngineControl: (options: EngineControlOptions) => EngineControl;
	readonly createHealthClient: (agent: Agent) => HealthClient;
	/** Starts to follow the platform's configuration and registrations; disposed of with the daemon. */
	readonly startFollower: (gateway: Gateway, clock: Clock, metrics: GatewayMetrics) => AsyncDisposable;
};

/** What upstreams are asked for a sign of life for. */
type EngineCheckPurpose = Pick<EngineChecksOptions, 'maxPending' | 'onSilence'> & {
	readonly counter: Pick<GatewayMetrics['engineChecks'], 'inc'>;
};

export class Daemon implements AsyncDisposable {
	readonly #settings: Settings;
	readonly #log: Log;
	readonly #disposal = new DisposalStack();
	readonly #clock = new Clock();
	readonly #gateway: Gateway;
	readonly #callers: CallerListener;
	readonly #metrics = new GatewayMetrics();
	readonly #responseBuffers: ResponseBuffers;
	readonly #requestBodies: RequestBodies;
	readonly #upstreamPool: UpstreamPool;
	readonly #tunnelServer: TunnelServer | undefined;
	#stop: Stop | undefined;

	/**
	 * @param settings - Settings of this host.
	 * @param adapter - Connection to the platform.
	 * @param log - Log.
	 */
	constructor(settings: Settings, adapter: PlatformAdapter, log: Log) {
		this.#settings = settings;
		this.#log = log;
		const suspensions = new SuspensionDetector(this.#clock, log);
		this.#disposal.defer(() => {
			suspensions[Symbol.dispose]();
		});
		this.#gateway = this.#disposal.use(new Gateway(settings, this.#clock, log));
		this.#upstreamPool = new UpstreamPool({
			gateway: this.#gateway, metrics: this.#metrics, clock: this.#clock, log, createHealthClient: used => adapter.createHealthClient(used),
		});
		this.#disposal.defer(() => {
			this.#upstreamPool[Symbol.dispose]();
		});
		const {agent, responseEnds} = this.#upstreamPool;
		this.#tunnelServer = this.#createTunnelServer();
		this.#startHealthChecks(adapter.createHealthClient(agent));
		this.#startReturnChecks(adapter.createHealthClient(agent));
		const engineControl = adapter.createEngineControl({
			agent,
			clock: this.#clock,
			onReport: (engine, report, sent) => {
				this.#gateway.selfReports.record(engine, report, sent);
			},
		});
		const budget = settings.memory === undefined ? undefined : computeResponseBudget(settings.memory);
		this.#metrics.responseBudget.set(budget ?? 0);
		this.#responseBuffers = new ResponseBuffers({budget, clock: this.#clock, metrics: this.#metrics});
		this.#requestBodies = new RequestBodies(settings.memory === undefined ? undefined : computeBodyBudget(settings.memory), this.#metrics);
		this.#callers = this.#disposal.use(new CallerListener({
			gateway: this.#gateway,
			headerFormat: adapter.headerFormat,
			agent,
			responseEnds,
			engineChecks: this.#createEngineChecks(adapter.createHealthClient(agent), {
				maxPending: maxSuccessorChecks,
				counter: this.#metrics.engineChecks,
				onSilence: upstream => {
					this.#gateway.stallDetectors.recordFailedCheck(upstream);
				},
			}),
			holds: new Holds(engineControl, log, this.#metrics, this.#gateway.incarnation),
			metrics: this.#metrics,
			responseBuffers: this.#responseBuffers,
			requestBodies: this.#requestBodies,
			responseBounds: settings.responses,
			log,
			clock: this.#clock,
			findStop: () => this.#stop,
			random: Math.random,
		}));
		this.#disposal.use(adapter.startFollower(this.#gateway, this.#clock, this.#metrics));
	}

	/** Whether the balancer may send callers here. */
	get isReady(): boolean {
		return this.#stop === undefined && this.#gateway.directory !== undefined && this.#gateway.upstreams.size > 0
			&& this.#gateway.confirmedAge < maxReadyAgeMs;
	}

	/** Starts listening for peers, callers, the balancer and, if configured, metrics and operators. */
	async start(): Promise<void> {
		const {caller, ready, metrics, admin, host} = this.#settings;
		const readiness = this.#disposal.use(new ReadyListener(() => this.isReady));
		await this.#gateway.peers.start();
		await this.#callers.listen(caller);
		if (this.#tunnelServer === undefined) {
			this.#log.write({event: 'tunnels-off', reason: 'the setting "tunnel" is "none"'}, 'warn');
		} else {
			await this.#tunnelServer.listen();
			this.#offerTunnels(this.#tunnelServer);
		}

		this.#metrics.tunnelsOffered.set(this.#tunnelServer === undefined ? 0 : 1);
		await readiness.listen(ready);
		if (metrics !== undefined) {
			const listener = this.#disposal.use(new MetricsListener(this.#metrics, () => {
				this.#updateGauges();
			}, this.#log));
			await listener.listen(metrics);
		}

		if (admin !== undefined) {
			const listener = this.#disposal.use(new AdminListener({
				host, convictions: this.#gateway.convictions, now: () => this.#clock.now(), wall: () => this.#clock.wall(), log: this.#log,
			}));
			await listener.listen(admin);
		}

		this.#log.write({
			event: 'started', domain: this.#settings.failureDomain, tunnels: this.#tunnelServer?.port, sinceStart: Math.round(this.#clock.now()),
		});
	}

	/**
	 * @param settings - Changed settings; only changes of seeds and fleet keys take effect while the process runs.
	 */
	reload(settings: Settings): void {
		this.#gateway.peers.addSeeds(settings.seeds);
		if (settings.fleet !== undefined) {
			this.#gateway.peers.updateKeys(settings.fleet.keys);
		}

		this.#log.write({event: 'reloaded', seeds: settings.seeds.length});
	}

	/** Stops accepting callers and lets running requests end; resolves when all have ended or the grace period is over. */
	async stop(): Promise<void> {
		const startedAt = this.#clock.now();
		const stop = planStop(startedAt, this.#settings.grace);
		this.#stop = stop;
		this.#log.write({event: 'stopping', running: this.#callers.running, tunnels: this.#tunnelServer?.size});
		this.#withdrawTunnels();
		await sleep(Math.min(idleGraceMs, stop.cutsAt - startedAt));
		while (this.#clock.now() < stop.cutsAt) {
			this.#callers.closeIdle();
			const isDone = this.#callers.running === 0 && (this.#tunnelServer?.isIdle ?? true) && this.#clock.now() - startedAt > balancerLagMs;
			if (isDone) {
				break;
			}

			await sleep(checkIntervalMs);
		}

		// Accepts connections that are pending first: they would be reset when listening ends.
		await turn();
		this.#callers.refuse();
		this.#callers.refuseIncomplete();
		await sleep(lateRequestGraceMs);
		this.#log.write({event: 'stopped', running: this.#callers.running, took: Math.round(this.#clock.now() - startedAt)});
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#disposal[Symbol.asyncDispose]();
	}

	#startHealthChecks(client: HealthClient): void {
		const gateway = this.#gateway;
		const {upstreams, coldStarts, selfReports, reputation} = gateway;
		const checks = new HealthChecks({
			self: this.#settings.host,
			failureDomain: this.#settings.failureDomain,
			client,
			coldStarts,
			log: this.#log,
			now: () => this.#clock.now(),
			confirmedAge: () => gateway.confirmedAge,
			listHosts: () => gateway.checkingHosts,
			listUpstreams: () => upstreams.all,
			findService: name => gateway.service(name),
			findObstacle: upstream => gateway.findObstacle(upstream),
			findUnreachableDomains: () => {
				reputation.updateReachability(this.#clock.now());
				return reputation.unreachableDomains;
			},
			onSent: ({id}) => {
				selfReports.countRequest(id, this.#clock.now());
			},
			onResult: result => {
				this.#metrics.coldChecks.inc({result});
			},
		});
		const timer = setInterval(() => {
			if (gateway.hasColdLimits || checks.isActive) {
				checks.update();
			}
		}, healthCheckIntervalMs);
		this.#disposal.defer(() => {
			clearInterval(timer);
		});
	}

	#startReturnChecks(client: HealthClient): void {
		const {stallDetectors, reputation, upstreams, tunnels: {links}} = this.#gateway;
		const checks = this.#createEngineChecks(client, {
			maxPending: maxReturnChecks,
			counter: this.#metrics.returnChecks,
			onSilence: upstream => {
				this.#gateway.recordUnanswered(upstream);
			},
		});
		const returnChecks = new ReturnChecks({
			silent: reputation.health.silent,
			checks,
			now: () => this.#clock.now(),
			findUpstream: id => upstreams.get(id),
			mayCheck: upstream => this.#gateway.findObstacle(upstream) === undefined && links.findRoute(upstream).type === 'direct',
			isAwaited: id => stallDetectors.isAwaited(id),
		});
		this.#disposal.defer(() => {
			returnChecks[Symbol.dispose]();
		});
	}

	#createEngineChecks(client: HealthClient, {maxPending, counter, onSilence}: EngineCheckPurpose): EngineChecks {
		const {coldStarts, selfReports, stallDetectors} = this.#gateway;
		return new EngineChecks({
			client,
			random: Math.random,
			maxPending,
			findService: name => this.#gateway.service(name),
			onSent: upstream => {
				counter.inc();
				coldStarts.countCheck(upstream);
				selfReports.countRequest(upstream.id, this.#clock.now());
			},
			onAnswer(upstream) {
				stallDetectors.recordLife(upstream);
			},
			onSilence,
		});
	}

	#createTunnelServer(): TunnelServer | undefined {
		const {tunnels: {links}, upstreams} = this.#gateway;
		const {tunnel, peer} = this.#settings;
		return tunnel === 'none'
			? undefined
			: this.#disposal.use(new TunnelServer({
				address: tunnel ?? {host: peer.host, port: 0},
				log: this.#log,
				now: () => this.#clock.now(),
				findUpstream: id => upstreams.get(id),
				findRoute: upstream => links.findRoute(upstream),
				findSoundScope: async (upstream, since) => this.#upstreamPool.findSoundScope(upstream, since),
				onResult: result => {
					this.#metrics.tunnelRequests.inc({result});
				},
				onAbsent: upstream => {
					this.#upstreamPool.linkWatch.suspect(upstream);
				},
			}));
	}

	#offerTunnels(server: TunnelServer): void {
		this.#gateway.tunnels.offer(host => server.createOffer(host));
	}

	/** Lets hosts that use tunnels of this one close them as their requests end. */
	#withdrawTunnels(): void {
		if (this.#tunnelServer !== undefined) {
			this.#tunnelServer.leave();
			this.#offerTunnels(this.#tunnelServer);
		}
	}

	#updateGauges(): void {
		this.#metrics.tunnelsServed.set(this.#tunnelServer?.size ?? 0);
		this.#metrics.tunnelHosts.set(this.#gateway.tunnels.peers.introducedCount);
		this.#metrics.linksCut.set(this.#gateway.tunnels.links.cutCount);
		this.#metrics.droppedLines.set(this.#log.dropped);
		this.#metrics.inFlight.set(this.#callers.running);
		this.#metrics.memoryWaiting.set(this.#gateway.memoryQueue.size);
		this.#metrics.servicesPressed.set(this.#gateway.shares.pressedCount);
		this.#metrics.sharesKept.set(this.#gateway.shares.size);
		this.#metrics.sharesLearned.set(this.#gateway.shareLearning.learnedCount);
		this.#metrics.knownJobs.set(this.#gateway.load.size);
		this.#metrics.peers.set(this.#gateway.peers.hosts.length);
		for (const [reason, count] of this.#gateway.peers.refusals) {
			this.#metrics.refusedPeers.set({reason}, count);
		}

		for (const [kind, bytes] of this.#gateway.peers.sentBytes) {
			this.#metrics.peerBytes.set({kind}, bytes);
		}

		this.#metrics.groups.set(this.#gateway.loadUpdates.groups.count);
		this.#metrics.version.set(this.#gateway.directory?.configuration.version ?? 0);
		this.#metrics.confirmedAge.set(this.#gateway.confirmedAge);
		this.#metrics.storeEra.set(this.#gateway.registrations.era);
		this.#metrics.upstreams.set(this.#gateway.upstreams.size);
		this.#metrics.unhealthy.set(this.#gateway.reputation.unhealthyCount);
		this.#metrics.limited.set(this.#gateway.selfReports.limitedCount);
		this.#metrics.cold.set(this.#gateway.coldStarts.count);
		this.#metrics.uneven.set(this.#gateway.paces.unevenCount);
		this.#metrics.badPaces.set(this.#gateway.paces.ignoredCount);
		this.#metrics.unreachable.set(this.#gateway.reputation.unreachableDomains.size);
		this.#metrics.bodyBytes.set(this.#requestBodies.held);
		this.#metrics.responseBytes.set(this.#responseBuffers.held);
		this.#metrics.responsesUnread.set(this.#responseBuffers.stoppedCount);
		this.#metrics.evacuated.set(this.#gateway.registrations.evacuatedDomains.length);
		this.#metrics.evacuatedJobs.set(this.#gateway.placements.evacuatedJobCount);
		this.#metrics.suspects.set(this.#gateway.convictions.reportCount);
		this.#metrics.convictions.set(this.#gateway.convictions.all.length);
		this.#metrics.ignoredEvidence.set(this.#gateway.convictions.exchange.ignoredCount);
	}
}

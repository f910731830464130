/** Puts a gateway together, and takes it down without cutting an answer. */
import {setImmediate as turn, setTimeout as sleep} from 'node:timers/promises';
import {type Agent} from 'node:http';
import {Clock} from '../entry/clock.js';
import {Disposal} from '../entry/disposal.js';
import {type Log} from '../entry/logs.js';
import {UpstreamAgent} from './agent.js';
import {type Dialect, type Orders} from './dialect.js';
import {Gateway} from './gateway.js';
import {Holds} from './holds.js';
import {GatewayMetrics, MetricsListener} from './metrics.js';
import {CallerListener, ReadyListener} from './server.js';
import {type Settings} from './settings.js';
import {SuspensionWatch} from './suspension.js';

/** Milliseconds for which the balancer may still send callers here after it was told not to: two questions, one a second. */
const balancerLag = 2600;

/**
 * Milliseconds after the word to stop from which on requests are refused: the balancer knows by then, and what is taken
 * later may still run when the process is killed. Callers on kept connections went on for 9 s without it.
 */
const takingTime = 2600;

/** Milliseconds that idle connections are left open at a stop: callers that have just been answered learn it first. */
const idleGrace = 800;

/** Milliseconds before the process is killed at which running requests are given up. */
const killMargin = 700;

/**
 * Milliseconds from the end of listening to the end of the process: who has just connected sends its request and is told that
 * this host leaves. Without it a caller that came as the process ended was cut.
 */
const lastCallers = 300;

/** Milliseconds between looks whether everything has ended. */
const lookInterval = 50;

/** Milliseconds without word from the store for which this host still counts as ready. */
const readyWithoutStore = 20_000;

/** What connects a gateway to the platform it runs on. */
export type Adapter = {
	readonly dialect: Dialect;
	readonly orders: (agent: Agent) => Orders;
	/** Starts to follow the platform; disposed of with the daemon. */
	readonly follow: (gateway: Gateway, clock: Clock, metrics: GatewayMetrics) => AsyncDisposable;
};

export class Daemon implements AsyncDisposable {
	readonly #settings: Settings;
	readonly #log: Log;
	readonly #disposal = new Disposal();
	readonly #clock = new Clock();
	readonly #gateway: Gateway;
	readonly #callers: CallerListener;
	readonly #metrics = new GatewayMetrics();
	/** When the word to stop came. */
	#stopAsked: number | undefined;

	/**
	 * @param settings - Settings of this host.
	 * @param adapter - Connects it to the platform.
	 * @param log - Log.
	 */
	constructor(settings: Settings, adapter: Adapter, log: Log) {
		this.#settings = settings;
		this.#log = log;
		const agent = new UpstreamAgent();
		this.#disposal.defer(() => {
			agent.destroy();
		});
		const suspensions = new SuspensionWatch(this.#clock, log);
		this.#disposal.defer(() => {
			suspensions[Symbol.dispose]();
		});
		this.#gateway = this.#disposal.use(new Gateway(settings, this.#clock, log));
		this.#callers = this.#disposal.use(new CallerListener({
			gateway: this.#gateway,
			dialect: adapter.dialect,
			agent,
			holds: new Holds(adapter.orders(agent), log, this.#metrics, this.#gateway.incarnation),
			metrics: this.#metrics,
			log,
			clock: this.#clock,
			isLeaving: () => this.#stopAsked !== undefined,
			isClosing: () => this.#stopAsked !== undefined && this.#clock.now() - this.#stopAsked > takingTime,
			random: Math.random,
		}));
		this.#disposal.use(adapter.follow(this.#gateway, this.#clock, this.#metrics));
	}

	/** Whether the balancer may send callers here. */
	get isReady(): boolean {
		return this.#stopAsked === undefined && this.#gateway.directory !== undefined && this.#gateway.upstreams.size > 0
			&& this.#gateway.confirmedAge < readyWithoutStore;
	}

	/** Begins to listen. */
	async start(): Promise<void> {
		const {caller, ready, metrics} = this.#settings;
		const readiness = this.#disposal.use(new ReadyListener(() => this.isReady));
		await this.#gateway.peers.start();
		await this.#callers.listen(caller);
		await readiness.listen(ready);
		if (metrics !== undefined) {
			const listener = this.#disposal.use(new MetricsListener(this.#metrics, () => {
				this.#refresh();
			}, this.#log));
			await listener.listen(metrics);
		}

		this.#log.write({event: 'started', domain: this.#settings.failureDomain, sinceStart: Math.round(this.#clock.now())});
	}

	/**
	 * @param settings - Settings as they are now; only seeds may change while a process runs.
	 */
	reload(settings: Settings): void {
		this.#gateway.peers.addSeeds(settings.seeds);
		this.#log.write({event: 'reloaded', seeds: settings.seeds.length});
	}

	/** Takes no new callers, lets running requests end, and settles when nothing is left or the grace is over. */
	async stop(): Promise<void> {
		const began = this.#clock.now();
		this.#stopAsked = began;
		const last = began + this.#settings.grace - killMargin;
		this.#log.write({event: 'stopping', running: this.#callers.running});
		await sleep(idleGrace);
		while (this.#clock.now() < last) {
			this.#callers.closeIdle();
			const isDone = this.#callers.running === 0 && this.#clock.now() - began > balancerLag;
			if (isDone) {
				break;
			}

			await sleep(lookInterval);
		}

		// Who has connected by now is accepted first: connections that wait for it are reset when listening ends.
		await turn();
		this.#callers.refuse();
		await sleep(lastCallers);
		this.#log.write({event: 'stopped', running: this.#callers.running, took: Math.round(this.#clock.now() - began)});
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#disposal[Symbol.asyncDispose]();
	}

	#refresh(): void {
		this.#metrics.droppedLines.set(this.#log.dropped);
		this.#metrics.inFlight.set(this.#callers.running);
		this.#metrics.knownJobs.set(this.#gateway.load.size);
		this.#metrics.peers.set(this.#gateway.peers.hosts.length);
		this.#metrics.version.set(this.#gateway.directory?.configuration.version ?? 0);
		this.#metrics.confirmedAge.set(this.#gateway.confirmedAge);
		this.#metrics.upstreams.set(this.#gateway.upstreams.size);
		this.#metrics.doubted.set(this.#gateway.reputation.doubted);
		this.#metrics.unreachable.set(this.#gateway.reputation.unreachable.size);
		this.#metrics.suspects.set(this.#gateway.reputation.suspects.size);
	}
}

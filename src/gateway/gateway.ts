/** What a gateway knows, and its decisions over it. */
import {assertNever} from '../core/index.js';
import {Directory} from '../core/gateway/directory.js';
import {Health, type Verdict} from '../core/gateway/health.js';
import {Load, type Job} from '../core/gateway/load.js';
import {place, weigh, type Place} from '../core/gateway/placement.js';
import {Reach} from '../core/gateway/reach.js';
import {RetryBudget} from '../core/gateway/retries.js';
import {Suspects} from '../core/gateway/suspects.js';
import {
	type Demand, type GatewayConfiguration, type GatewayService, type GatewayUpstream,
} from '../core/gateway/types.js';
import {type Clock} from '../entry/clock.js';
import {type Log} from '../entry/logs.js';
import {News} from './news.js';
import {type Host, type Message} from './peers/messages.js';
import {Peers} from './peers/peers.js';
import {type PeerState} from './peers/state.js';
import {type Settings} from './settings.js';
import {Sharing} from './sharing.js';

/** Part of the revocation bound up to which keys are trusted without word from the store; the rest is for requests under way. */
const trustShare = 0.94;

/** Milliseconds between looks for jobs that must be over. */
const expiryInterval = 1000;

/** Milliseconds within which an engine's lost connections and a failed connection to it count as one crash. */
const crashWindow = 1500;

export class Gateway implements AsyncDisposable {
	readonly load = new Load();
	readonly health = new Health();
	readonly reach = new Reach();
	readonly suspects = new Suspects();
	readonly budget: RetryBudget;
	readonly peers: Peers;
	readonly sharing: Sharing;
	readonly #settings: Settings;
	readonly #clock: Clock;
	readonly #log: Log;
	readonly #started: number;
	readonly #upstreams = new Map<string, GatewayUpstream>();
	readonly #byService = new Map<string, GatewayUpstream[]>();
	readonly #expiry: NodeJS.Timeout;
	#directory: Directory | undefined;
	#confirmed = Number.NEGATIVE_INFINITY;
	#jobs = 0;
	#registry = 0;
	readonly #news: News;

	/**
	 * @param settings - Settings of this host.
	 * @param clock - Time.
	 * @param log - Log.
	 */
	constructor(settings: Settings, clock: Clock, log: Log) {
		this.#settings = settings;
		this.#clock = clock;
		this.#log = log;
		this.#started = clock.wall();
		this.budget = new RetryBudget(settings.retries);
		this.peers = new Peers({
			self: {
				name: settings.host, failureDomain: settings.failureDomain, address: settings.peer, started: this.#started,
			},
			seeds: settings.seeds,
			log,
			now: () => clock.now(),
			events: {
				joined: (host, send) => {
					this.#news.joined(host, send);
				},
				message: (from, message) => {
					this.#heard(from, message);
				},
				lost: (host, reason) => {
					this.#news.lost(host, reason);
				},
			},
		});
		this.#news = new News({
			self: settings.host,
			failureDomain: settings.failureDomain,
			load: this.load,
			peers: this.peers,
			now: () => clock.now(),
			modelAt: upstream => this.service(this.#upstreams.get(upstream)?.service ?? '')?.engine,
		});
		this.sharing = new Sharing(this, {self: settings.host, failureDomain: settings.failureDomain, now: () => clock.now()});
		this.#expiry = setInterval(() => {
			this.load.expire(clock.now());
		}, expiryInterval);
	}

	/** The configuration in force, if any is known. */
	get directory(): Directory | undefined {
		return this.#directory;
	}

	/** Names this run of the process. */
	get incarnation(): string {
		return `${this.#settings.host}.${this.#started.toString(36)}`;
	}

	/** Upstreams that may be used. */
	get upstreams(): ReadonlyMap<string, GatewayUpstream> {
		return this.#upstreams;
	}

	/** Count of changes to the upstreams. */
	get registry(): number {
		return this.#registry;
	}

	/** Monotonic time as of which the configuration in force and the upstreams were the newest. */
	get confirmedAt(): number {
		return this.#confirmed;
	}

	/** Milliseconds since then. */
	get confirmedAge(): number {
		return this.#clock.now() - this.#confirmed;
	}

	/** Whether a key that the configuration has may have been taken away without word of it. */
	get isKeyStale(): boolean {
		return this.#settings.revocation > 0 && this.confirmedAge > this.#settings.revocation * trustShare;
	}

	/**
	 * Takes a configuration; an older one than that in force is ignored.
	 *
	 * @param configuration - Configuration that was read.
	 */
	adopt(configuration: GatewayConfiguration): void {
		const before = this.#directory?.configuration.version;
		if (before !== undefined && configuration.version <= before) {
			return;
		}

		this.#directory = new Directory(configuration);
		this.#log.write({
			event: 'configuration', version: configuration.version, before, routes: configuration.routes.length,
		});
	}

	/**
	 * @param at - Monotonic time as of which the configuration in force was the newest.
	 */
	confirm(at: number): void {
		this.#confirmed = Math.max(this.#confirmed, at);
	}

	/**
	 * Takes what a peer knows, which is newer than what is known here.
	 *
	 * @param state - Its configuration and upstreams, where they differ.
	 * @param confirmed - Monotonic time as of which they were the newest.
	 */
	takeState({configuration, upstreams}: PeerState, confirmed: number): void {
		if (configuration !== undefined) {
			this.adopt(configuration);
		}

		if (upstreams !== undefined) {
			this.#takeUpstreams(upstreams);
		}

		this.confirm(confirmed);
	}

	/**
	 * @param upstream - Upstream as it is registered now.
	 */
	register(upstream: GatewayUpstream): void {
		const before = this.#upstreams.get(upstream.id);
		this.#upstreams.set(upstream.id, upstream);
		this.#index();
		if (before === undefined || before.started === upstream.started) {
			this.#noteState(before, upstream);
		} else {
			this.#restarted(upstream.id);
		}
	}

	/**
	 * @param id - Upstream that is registered no more.
	 */
	unregister(id: string): void {
		if (this.#upstreams.delete(id)) {
			this.#index();
			this.#log.write({event: 'upstream-gone', upstream: id});
		}
	}

	/**
	 * @param name - Service.
	 * @returns Its figures.
	 */
	service(name: string): GatewayService | undefined {
		return this.#directory?.service(name);
	}

	/**
	 * @param demand - Request.
	 * @param tried - Upstreams that had it already.
	 * @returns Where it goes, if anywhere.
	 */
	place(demand: Demand, tried: ReadonlySet<string>): Place | undefined {
		const now = this.#clock.now();
		return place(demand, this.#byService.get(demand.service) ?? [], this.service(demand.service)?.engine, {
			load: this.load,
			health: this.health,
			host: this.#settings.host,
			failureDomain: this.#settings.failureDomain,
			unreachable: this.#unreachable(now),
			tried,
			now,
		});
	}

	/**
	 * @param demand - Request that is sent.
	 * @param chosen - Where it goes.
	 * @returns The job, told to peers.
	 */
	begin(demand: Demand, chosen: Place): Job {
		const now = this.#clock.now();
		const model = this.service(demand.service)?.engine;
		this.#jobs++;
		const job: Job = {
			id: `${this.incarnation}.${this.#jobs}`,
			host: this.#settings.host,
			upstream: chosen.upstream.id,
			helpers: chosen.helpers.map(each => each.id),
			prompt: demand.prompt?.tokens ?? 0,
			answer: demand.prompt?.answer ?? 0,
			isHeld: chosen.holdTokens > 0,
			read: chosen.reading.total,
			readPerPass: chosen.reading.perPass,
			pause: demand.pause,
			weight: model === undefined || demand.prompt === undefined ? 1 : weigh(model, demand.prompt),
			began: now,
			due: demand.due,
			deadline: demand.deadline,
		};
		this.#news.begin(job);
		return job;
	}

	/**
	 * @param id - Job whose first byte has come.
	 */
	progress(id: string): void {
		this.#news.progress(id);
	}

	/**
	 * @param id - Job that is over.
	 */
	end(id: string): void {
		this.#news.end(id);
	}

	/**
	 * @param id - Job that is a stream which could go on elsewhere.
	 * @param warn - Told what the stream loses by staying where it is, in requests of usual worth.
	 */
	watchStream(id: string, warn: (loss: number) => void): void {
		this.#news.watchStream(id, warn);
	}

	/**
	 * @param upstream - Upstream.
	 * @param verdict - What an attempt says of it.
	 */
	judge(upstream: string, verdict: Verdict): void {
		const now = this.#clock.now();
		this.health.record(upstream, verdict, now);
		const domain = this.#upstreams.get(upstream)?.failureDomain;
		if (domain === undefined || domain === this.#settings.failureDomain) {
			return;
		}

		if (verdict === 'unreachable' || verdict === 'broken') {
			this.reach.missed(domain, upstream, now);
		} else {
			this.reach.heard(domain, now);
		}
	}

	/**
	 * @param upstream - Engine that writes a request.
	 * @returns Milliseconds that its passes may take now, as far as is known of what it reads and writes.
	 */
	longestPass(upstream: string): number {
		const model = this.service(this.#upstreams.get(upstream)?.service ?? '')?.engine;
		if (model === undefined) {
			return 0;
		}

		const {pass, readers} = this.load.forecast(upstream, model, this.#clock.now());
		let read = 0;
		for (const job of readers) {
			read += job.readPerPass;
		}

		return pass + read;
	}

	/**
	 * Holds a crash against a request, here and at the peers.
	 *
	 * @param fingerprint - Request that ran at an upstream when its connection broke.
	 * @param upstream - Upstream.
	 */
	suspect(fingerprint: string, upstream: string): void {
		const now = this.#clock.now();
		const crash = {fingerprint, id: `${upstream}.${Math.floor(this.#clock.wall() / crashWindow)}`};
		if (this.suspects.record(crash, now)) {
			this.#log.write({event: 'suspected', ...crash, crashes: this.suspects.crashes(fingerprint, now)}, 'warn');
			this.peers.broadcast({type: 'crash', ...crash});
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		clearInterval(this.#expiry);
		await this.peers[Symbol.asyncDispose]();
	}

	/** Failure domains out of reach by word of peers or by one's own attempts; never all that have upstreams. */
	#unreachable(now: number): ReadonlySet<string> {
		const silent = [...this.peers.unreachableDomains(now)].filter(domain => !this.reach.isAlive(domain, now));
		return new Set([...silent, ...this.reach.cutOff(now)]);
	}

	#index(): void {
		this.#registry++;
		this.#byService.clear();
		for (const upstream of this.#upstreams.values()) {
			const known = this.#byService.get(upstream.service) ?? [];
			known.push(upstream);
			this.#byService.set(upstream.service, known);
		}
	}

	#takeUpstreams(upstreams: readonly GatewayUpstream[]): void {
		const ids = new Set(upstreams.map(upstream => upstream.id));
		for (const id of this.#upstreams.keys()) {
			if (!ids.has(id)) {
				this.unregister(id);
			}
		}

		for (const upstream of upstreams) {
			this.register(upstream);
		}
	}

	#noteState(before: GatewayUpstream | undefined, upstream: GatewayUpstream): void {
		if (before?.isDraining !== upstream.isDraining) {
			this.#log.write({
				event: 'upstream', upstream: upstream.id, service: upstream.service, domain: upstream.failureDomain, draining: upstream.isDraining,
			});
		}
	}

	#restarted(id: string): void {
		this.load.forgetUpstream(id, this.#clock.now());
		this.health.forget(id);
		this.#log.write({event: 'upstream-restarted', upstream: id});
	}

	#heard(from: Host, message: Message): void {
		const now = this.#clock.now();
		switch (message.type) {
			case 'load': {
				this.#news.heard(from, message);
				return;
			}

			case 'hosts-lost': {
				this.#news.heardLost(message);
				return;
			}

			case 'crash': {
				if (this.suspects.record(message, now) && this.peers.isLargeFleet) {
					this.peers.broadcast(message);
				}

				return;
			}

			case 'state-wanted': {
				this.sharing.answer(from.name, message);
				return;
			}

			case 'state': {
				this.sharing.heard(from.name, message);
				return;
			}

			case 'hello':
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

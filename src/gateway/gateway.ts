/** What a gateway knows, and its decisions over it. */
import {assertNever} from '../core/index.js';
import {absenceOf, type AbsenceReason} from '../core/gateway/absences.js';
import {Directory} from '../core/gateway/directory.js';
import {type Verdict} from '../core/gateway/health.js';
import {Load, type Job, type Placing} from '../core/gateway/load.js';
import {weigh} from '../core/gateway/losses.js';
import {
	place, reconsider, type Place, type Second, type Surroundings,
} from '../core/gateway/placement.js';
import {usualPolicy} from '../core/gateway/policy.js';
import {RetryBudget} from '../core/gateway/retries.js';
import {type Eligibility} from '../core/gateway/tries.js';
import {
	type Demand, type EngineModel, type GatewayConfiguration, type GatewayService,
} from '../core/gateway/types.js';
import {type Clock, type Moment} from '../entry/clock.js';
import {type Log} from '../entry/logs.js';
import {Convictions} from './convictions.js';
import {News} from './news.js';
import {type Host, type Message} from './peers/messages.js';
import {Peers} from './peers/peers.js';
import {type PeerState} from './peers/state.js';
import {Registrations} from './registrations.js';
import {Reputation} from './reputation.js';
import {type Settings} from './settings.js';
import {Sharing} from './sharing.js';
import {Upstreams} from './upstreams.js';

/** Part of the revocation bound up to which keys are trusted without word from the store; the rest is for requests under way. */
const trustShare = 0.94;

/** Milliseconds between looks for jobs that must be over. */
const expiryInterval = 1000;

export class Gateway implements AsyncDisposable {
	readonly load = new Load();
	readonly upstreams: Upstreams;
	readonly registrations: Registrations;
	readonly reputation: Reputation;
	readonly retries: RetryBudget;
	readonly peers: Peers;
	readonly sharing: Sharing;
	readonly news: News;
	readonly convictions: Convictions;
	readonly #settings: Settings;
	readonly #clock: Clock;
	readonly #log: Log;
	readonly #started: number;
	readonly #expiry: NodeJS.Timeout;
	#directory: Directory | undefined;
	#confirmed: Moment | undefined;
	#jobs = 0;

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
		this.retries = new RetryBudget(settings.retries);
		this.peers = new Peers({
			self: {
				name: settings.host,
				failureDomain: settings.failureDomain,
				address: settings.peer,
				started: this.#started,
				capacity: settings.processor.cores * settings.processor.share,
			},
			seeds: settings.seeds,
			log,
			now: () => clock.now(),
			events: {
				joined: (host, send) => {
					this.sharing.joined(host.name);
					this.news.joined(host, send);
				},
				message: (from, message) => {
					this.#heard(from, message);
				},
				lost: (host, reason) => {
					this.news.lost(host, reason);
				},
			},
		});
		this.reputation = new Reputation({failureDomain: settings.failureDomain, log, silentDomains: now => this.peers.unreachableDomains(now)});
		this.upstreams = new Upstreams(log, {
			restarted: id => {
				this.load.forgetUpstream(id, clock.now());
				this.reputation.forget(id);
			},
			gone: id => {
				this.reputation.forget(id);
			},
		});
		this.registrations = new Registrations({upstreams: this.upstreams, log, now: () => clock.now()});
		this.convictions = new Convictions({
			reputation: this.reputation, upstreams: this.upstreams, peers: this.peers, clock, confirmedAge: () => this.confirmedAge,
		});
		this.news = new News({
			self: settings.host,
			failureDomain: settings.failureDomain,
			load: this.load,
			peers: this.peers,
			now: () => clock.now(),
			modelAt: upstream => this.modelAt(upstream),
			absent: absence => {
				this.reputation.hear(absence, clock.now());
			},
			sent: job => {
				const service = this.upstreams.get(job.upstream)?.service;
				if (service !== undefined && this.peers.isLargeFleet) {
					this.retries.hear(service, job.placing, clock.now());
				}
			},
		});
		this.sharing = new Sharing(this, {self: settings.host, failureDomain: settings.failureDomain, clock});
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

	/** Milliseconds since the configuration in force and the upstreams were the newest for certain. */
	get confirmedAge(): number {
		return this.#confirmed === undefined ? Number.POSITIVE_INFINITY : this.#clock.since(this.#confirmed);
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
	 * @param age - Milliseconds since the configuration in force and the upstreams were the newest for certain.
	 */
	confirm(age: number): void {
		if (age < this.confirmedAge) {
			this.#confirmed = this.#clock.moment(age);
		}
	}

	/**
	 * Takes what a peer knows.
	 *
	 * @param peer - Peer.
	 * @param state - Its upstreams, where they differ.
	 * @param age - Milliseconds since they and its configuration were the newest for certain.
	 */
	takeState(peer: string, state: PeerState, age: number): void {
		// The configuration that belongs to a state is told before it; what it confirms is not known here without it.
		if (state.version > (this.#directory?.configuration.version ?? 0)) {
			return;
		}

		this.registrations.take(peer, state);
		this.confirm(age);
	}

	/**
	 * @param name - Service.
	 * @returns Its figures.
	 */
	service(name: string): GatewayService | undefined {
		return this.#directory?.service(name);
	}

	/**
	 * @param upstream - Upstream.
	 * @returns How it spends its time, if it is an engine that is known.
	 */
	modelAt(upstream: string): EngineModel | undefined {
		return this.service(this.upstreams.get(upstream)?.service ?? '')?.engine;
	}

	/**
	 * @param service - Service.
	 * @returns Whether the retries of all hosts leave room for one more.
	 */
	mayRetry(service: string): boolean {
		const {fleetSize: hosts, isLargeFleet, domainHosts} = this.peers;
		return this.retries.allows(service, {hosts, counted: isLargeFleet ? domainHosts : 1}, this.#clock.now());
	}

	/**
	 * @param demand - Request.
	 * @param eligibility - Upstreams that it may go to.
	 * @returns Where it goes, if anywhere.
	 */
	place(demand: Demand, eligibility: Eligibility): Place | undefined {
		return place(demand, this.upstreams.of(demand.service), this.service(demand.service)?.engine, this.#around(eligibility));
	}

	/**
	 * @param demand - Request that was sent a moment ago.
	 * @param current - Where it went.
	 * @param job - Its job.
	 * @param eligibility - Upstreams that it may go to.
	 * @returns What it loses there and elsewhere; undefined for plain services.
	 */
	reconsider(demand: Demand, current: Place, job: string, eligibility: Eligibility): Second | undefined {
		return reconsider(demand, current, this.upstreams.of(demand.service), this.service(demand.service)?.engine, {...this.#around(eligibility), except: job});
	}

	/**
	 * @param demand - Request that is sent.
	 * @param chosen - Where it goes.
	 * @param placing - Which placing of it this is.
	 * @returns The job, told to peers.
	 */
	begin(demand: Demand, chosen: Place, placing: Placing): Job {
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
			urgency: chosen.urgency,
			weight: model === undefined || demand.prompt === undefined ? 1 : weigh(model, demand.prompt),
			placing,
			began: now,
			due: demand.due,
			deadline: demand.deadline,
		};
		this.news.begin(job);
		return job;
	}

	/**
	 * @param upstream - Upstream.
	 * @param verdict - What an attempt says of it.
	 */
	judge(upstream: string, verdict: Verdict): void {
		this.reputation.judge(upstream, this.upstreams.get(upstream), verdict, this.#clock.now());
	}

	/**
	 * Tells peers of an upstream that is not there.
	 *
	 * @param upstream - Upstream.
	 * @param reason - How an attempt found it so.
	 */
	tellAbsence(upstream: string, reason: AbsenceReason): void {
		this.news.tellAbsence(absenceOf(upstream, reason, this.upstreams.get(upstream)?.failureDomain, this.#settings.failureDomain));
	}

	/**
	 * @param upstream - Engine that writes a request.
	 * @returns Milliseconds that its passes may take now, as far as is known of what it reads and writes.
	 */
	longestPass(upstream: string): number {
		const model = this.modelAt(upstream);
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

	async [Symbol.asyncDispose](): Promise<void> {
		clearInterval(this.#expiry);
		this.registrations[Symbol.dispose]();
		await this.peers[Symbol.asyncDispose]();
	}

	#around(eligibility: Eligibility): Surroundings {
		const now = this.#clock.now();
		this.reputation.look(now);
		return {
			policy: usualPolicy,
			load: this.load,
			health: this.reputation.health,
			host: this.#settings.host,
			failureDomain: this.#settings.failureDomain,
			unreachable: this.reputation.unreachable,
			eligibility,
			now,
		};
	}

	#heard(from: Host, message: Message): void {
		switch (message.type) {
			case 'load': {
				this.news.heard(from, message);
				return;
			}

			case 'load-wanted': {
				this.news.wanted(from, message);
				return;
			}

			case 'load-told': {
				this.news.told(from, message);
				return;
			}

			case 'hosts-lost': {
				this.news.heardLost(message);
				return;
			}

			case 'crash':
			case 'acquittal': {
				this.convictions.heard(message);
				return;
			}

			case 'state-wanted': {
				this.sharing.answer(from.name, message);
				return;
			}

			case 'configuration': {
				this.adopt(message.configuration);
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

/** Hosts that find out together which parts of prompts crash engines, on one virtual clock: engines, links and callers are modelled. */
import {type Random} from '../../src/core/index.js';
import {listCauses} from '../../src/core/gateway/suspicion/causes.js';
import {type GatewayUpstream} from '../../src/core/gateway/types.js';
import {ignore} from '../../src/entry/ignore.js';
import {encode, type Message} from '../../src/gateway/peers/messages.js';
import {Convictions} from '../../src/gateway/suspicion/convictions.js';
import {type SuspicionMessage} from '../../src/gateway/suspicion/former-messages.js';
import {type RunningAttempt} from '../../src/gateway/suspicion/running-attempts.js';

const service = 'model';
const domainCount = 3;
const slots = 16;

/** Largest fleet in which every host is linked with every other one. */
const maxFullMeshHosts = 24;

/** The first host of each failure domain, in a large fleet. */
const relayNames = Array.from({length: domainCount}, (_, index) => `h${index}`);

/** Milliseconds from one host to another. */
const linkDelay = {least: 1, most: 8};

type Engine = {
	readonly id: string;
	readonly version: string;
	isDown: boolean;
	readonly running: Set<Run>;
};

type Run = {
	readonly request: ModelRequest;
	readonly attempt: RunningAttempt;
	readonly host: ModelHost;
	hasBegun: boolean;
	isOver: boolean;
};

/** A request of a caller. */
export type ModelRequest = {
	readonly id: string;
	readonly parts: readonly string[];
	/** Engines that it was sent to. */
	readonly sent: string[];
};

/** What happened to requests, with the virtual time. */
export type ModelEvent
	= | {readonly type: 'arrived'; readonly at: number; readonly host: string; readonly request: ModelRequest; readonly isCrashing: boolean}
		| {readonly type: 'crashed'; readonly at: number; readonly part: string | undefined}
		| {readonly type: 'refused'; readonly at: number; readonly host: string; readonly request: ModelRequest}
		| {readonly type: 'answered' | 'lost'; readonly at: number; readonly request: ModelRequest};

/** A time in which a host was cut from the others, or the moment of its restart. */
export type Disturbance = {
	readonly host: string;
	readonly from: number;
	readonly to: number;
};

export type ModelOptions = {
	readonly hosts: number;
	readonly engines: number;
	readonly random: Random;
	/** Virtual time in milliseconds. */
	readonly now: () => number;
	/** Parts that crash engines of a version. */
	readonly isCrashing: (part: string, version: string) => boolean;
	/** Whether messages are encoded and counted. */
	readonly isMeasured?: boolean;
};

class ModelHost {
	readonly name: string;
	readonly failureDomain: string;
	isCut = false;
	convictions: Convictions;
	#attempts = 0;

	constructor(name: string, failureDomain: string, create: (host: ModelHost) => Convictions) {
		this.name = name;
		this.failureDomain = failureDomain;
		this.convictions = create(this);
	}

	nextAttempt(): string {
		this.#attempts++;
		return `${this.name}.${this.#attempts}`;
	}
}

export class ModelFleet {
	readonly hosts: readonly ModelHost[];
	readonly events: ModelEvent[] = [];
	/** When hosts were cut from the others, or restarted. */
	readonly disturbances: Disturbance[] = [];
	/** Bytes sent, as far as they are counted. */
	bytes = 0;
	readonly #options: ModelOptions;
	readonly #engines: Engine[] = [];
	readonly #upstreams = new Map<string, GatewayUpstream>();
	#engineCount = 0;
	#requestCount = 0;

	constructor(options: ModelOptions) {
		this.#options = options;
		for (let index = 0; index < options.engines; index++) {
			this.addEngine('v1');
		}

		this.hosts = Array.from({length: options.hosts}, (_, index) => new ModelHost(`h${index}`, `d${index % domainCount}`, host => this.#createConvictions(host)));
	}

	get #isLarge(): boolean {
		return this.#options.hosts > maxFullMeshHosts;
	}

	/** Starts an engine, which registers at once. */
	addEngine(version: string): void {
		const id = `e${this.#engineCount}`;
		this.#engineCount++;
		this.#engines.push({
			id, version, isDown: false, running: new Set(),
		});
		this.#upstreams.set(id, {
			id, service, version, address: {host: 'h', port: 1}, failureDomain: `d${this.#engineCount % domainCount}`, slots, isDraining: false,
		});
	}

	/** Sends a request with parts to a random host. */
	send(parts: readonly string[]): void {
		const {random} = this.#options;
		this.#requestCount++;
		const id = `r${this.#requestCount}`;
		this.#place(this.hosts[random.integer(0, this.hosts.length - 1)]!, {id, parts: [...parts, `own-${id}`], sent: []});
	}

	/** Crashes a random engine without a cause. */
	crashAny(): void {
		const up = this.#engines.filter(({isDown}) => !isDown);
		const engine = up[this.#options.random.integer(0, Math.max(up.length - 1, 0))];
		if (engine !== undefined) {
			this.#crash(engine, undefined);
		}
	}

	/** Breaks the connections between a random host and an engine that goes on. */
	breakLink(): void {
		const {random} = this.#options;
		const host = this.hosts[random.integer(0, this.hosts.length - 1)]!;
		const engine = this.#engines[random.integer(0, this.#engines.length - 1)]!;
		for (const run of [...engine.running].filter(each => each.host === host)) {
			this.#break(engine, run);
		}
	}

	/** Cuts a random host from the others for a while. */
	cutHost(length: number): void {
		const host = this.hosts[this.#options.random.integer(0, this.hosts.length - 1)]!;
		host.isCut = true;
		const from = this.#options.now();
		this.disturbances.push({host: host.name, from, to: from + length});
		setTimeout(() => {
			host.isCut = false;
			this.#join(host);
		}, length);
	}

	/** Restarts a random host: it knows nothing until it is linked. */
	restartHost(): void {
		const host = this.hosts[this.#options.random.integer(0, this.hosts.length - 1)]!;
		const at = this.#options.now();
		this.disturbances.push({host: host.name, from: at, to: at});
		host.convictions[Symbol.dispose]();
		host.convictions = this.#createConvictions(host);
		this.#join(host);
	}

	/** Replaces the engines by ones of another version, one after the other. */
	release(version: string, interval: number): void {
		for (const [index, engine] of [...this.#engines].entries()) {
			setTimeout(() => {
				this.addEngine(version);
				this.#remove(engine);
			}, index * interval);
		}
	}

	#createConvictions(host: ModelHost): Convictions {
		const {random, now} = this.#options;
		return new Convictions({
			self: host.name,
			failureDomain: host.failureDomain,
			upstreams: {get: id => this.#upstreams.get(id), listByService: () => [...this.#upstreams.values()]},
			peers: {
				broadcast: message => {
					this.#deliver(host, this.#findReceivers(host), message);
				},
				domainCount,
				isLargeFleet: this.#isLarge,
				relays: this.#isLarge ? relayNames : [],
				listDomainHosts: domain => this.hosts.filter(each => each.failureDomain === domain && each !== host).map(({name}) => name),
			},
			clock: {now, wall: now},
			log: {write: ignore},
			random: () => random.integer(0, 999) / 1000,
			confirmedAge: () => Number.POSITIVE_INFINITY,
			onForeignCrash: ignore,
			areLinksInDoubt: () => false,
		});
	}

	/** All others in a small fleet; in a large one the first host of the own domain, or as that, its domain and the first of the others. */
	#findReceivers(from: ModelHost): readonly ModelHost[] {
		if (!this.#isLarge) {
			return this.hosts.filter(host => host !== from);
		}

		const relays = this.hosts.slice(0, domainCount);
		return relays.includes(from)
			? this.hosts.filter(host => host !== from && (host.failureDomain === from.failureDomain || relays.includes(host)))
			: relays.filter(host => host.failureDomain === from.failureDomain);
	}

	#deliver(from: ModelHost, to: readonly ModelHost[], message: Message): void {
		if (message.type !== 'crash' && message.type !== 'acquittal') {
			return;
		}

		const {random, isMeasured} = this.#options;
		const receivers = from.isCut ? [] : to.filter(host => !host.isCut);
		this.bytes += isMeasured === true ? encode(message).length * receivers.length : 0;
		const copy: SuspicionMessage = structuredClone(message);
		for (const host of receivers) {
			setTimeout(() => {
				host.convictions.exchange.handleMessage({name: from.name, failureDomain: from.failureDomain}, copy);
			}, random.integer(linkDelay.least, linkDelay.most));
		}
	}

	/** Links a host with the others, each of which sends what it knows. */
	#join(host: ModelHost): void {
		for (const other of this.#findReceivers(host)) {
			for (const [from, to] of [[host, other], [other, host]] as const) {
				from.convictions.exchange.handlePeerJoined(message => {
					this.#deliver(from, [to], message);
				});
			}
		}
	}

	#place(host: ModelHost, request: ModelRequest): void {
		const {random, now} = this.#options;
		const causes = listCauses(request.id, request.parts);
		const assessment = host.convictions.assess({service, causes});
		if (assessment.type === 'convicted') {
			this.events.push({
				type: 'refused', at: now(), host: host.name, request,
			});
			return;
		}

		const permitted = host.convictions.listPermitted(assessment, service);
		const avoided = host.convictions.listAvoided(service, request.sent.length > 0);
		const usable = this.#engines.filter(({id}) => !request.sent.includes(id));
		const candidates = permitted === undefined
			? usable.filter(({id}) => !avoided.has(id))
			: permitted.flatMap(id => usable.find(engine => engine.id === id) ?? []).slice(0, 1);
		const all = candidates.length > 0 ? candidates : usable;
		const engine = all[random.integer(0, Math.max(all.length - 1, 0))];
		if (engine === undefined) {
			this.events.push({type: 'lost', at: now(), request});
			return;
		}

		if (assessment.type === 'trial') {
			host.convictions.beginTrial(assessment);
		}

		this.#start(host, engine, request, causes);
	}

	#start(host: ModelHost, engine: Engine, request: ModelRequest, causes: RunningAttempt['causes']): void {
		const {random, now, isCrashing} = this.#options;
		request.sent.push(engine.id);
		if (engine.isDown) {
			this.#place(host, request);
			return;
		}

		this.events.push({
			type: 'arrived', at: now(), host: host.name, request, isCrashing: request.parts.some(part => isCrashing(part, engine.version)),
		});
		const run: Run = {
			request,
			host,
			hasBegun: false,
			isOver: false,
			attempt: {
				attempt: host.nextAttempt(), upstream: engine.id, scope: {service, version: engine.version}, causes, fingerprint: request.id, helpers: [], sent: now(), hasBegun: () => run.hasBegun,
				cancel() {
					run.isOver = true;
					engine.running.delete(run);
				},
			},
		};
		engine.running.add(run);
		const tracked = host.convictions.track(run.attempt);
		setTimeout(() => {
			if (run.isOver) {
				tracked[Symbol.dispose]();
				return;
			}

			const part = request.parts.find(each => isCrashing(each, engine.version));
			if (part !== undefined) {
				tracked[Symbol.dispose]();
				this.#crash(engine, part);
				return;
			}

			run.hasBegun = true;
			host.convictions.recordBegun(run.attempt);
			setTimeout(() => {
				tracked[Symbol.dispose]();
				if (!run.isOver) {
					run.isOver = true;
					engine.running.delete(run);
					host.convictions.recordAnswered(run.attempt);
					this.events.push({type: 'answered', at: now(), request});
				}
			}, random.integer(200, 1500));
		}, random.integer(30, 200));
	}

	#crash(engine: Engine, part: string | undefined): void {
		const {random, now} = this.#options;
		this.events.push({type: 'crashed', at: now(), part});
		engine.isDown = true;
		for (const run of engine.running) {
			this.#break(engine, run);
		}

		setTimeout(() => {
			this.#remove(engine);
			this.addEngine(engine.version);
		}, random.integer(2000, 4000));
	}

	#remove(engine: Engine): void {
		engine.isDown = true;
		const index = this.#engines.indexOf(engine);
		if (index !== -1) {
			this.#engines.splice(index, 1);
			this.#upstreams.delete(engine.id);
		}

		for (const run of engine.running) {
			this.#break(engine, run);
		}
	}

	#break(engine: Engine, run: Run): void {
		run.isOver = true;
		engine.running.delete(run);
		setTimeout(() => {
			run.host.convictions.recordBroken(run.attempt);
			if (run.request.sent.length < 3) {
				this.#place(run.host, run.request);
			} else {
				this.events.push({type: 'lost', at: this.#options.now(), request: run.request});
			}
		}, this.#options.random.integer(1, 5));
	}
}

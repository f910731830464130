/** A host of the gateway as its daemon assembles it, between callers and engines in memory: it runs in virtual time and uses no network. */
import {createServer, request, type Server} from 'node:http';
import {type Socket} from 'node:net';
import {decodeConfiguration} from '../../platform/configuration.js';
import {headerFormat} from '../../platform/headers.js';
import {HealthCheckClient} from '../../platform/health.js';
import {type RegistryChange} from '../../src/core/gateway/registry/registry.js';
import {type GatewayUpstream} from '../../src/core/gateway/types.js';
import {Clock} from '../../src/entry/clock.js';
import {ignore} from '../../src/entry/ignore.js';
import {Log, type LogLine} from '../../src/entry/logs.js';
import {Exchange} from '../../src/gateway/callers/exchange.js';
import {RequestBodies} from '../../src/gateway/callers/request-bodies.js';
import {ResponseBuffers} from '../../src/gateway/callers/response-buffers.js';
import {Gateway} from '../../src/gateway/gateway.js';
import {GatewayMetrics} from '../../src/gateway/metrics.js';
import {Holds} from '../../src/gateway/requests/holds.js';
import {type GatewayServices} from '../../src/gateway/services.js';
import {settingsSchema, type Settings} from '../../src/gateway/settings.js';
import {UpstreamAgent} from '../../src/gateway/upstreams/agent.js';
import {ResponseEnds} from '../../src/gateway/upstreams/response-ends.js';
import {EngineChecks} from '../../src/gateway/upstreams/engine-checks.js';
import {createConfiguration, routes} from '../gateway/configuration.js';
import {connectTo, stride, type ModelEngine} from './engines.js';

/** Longest time of a request in milliseconds: no silence of a run makes an answer so late. */
const timeoutMs = 25_000;

/** Both clocks of a host in virtual time. */
class VirtualClock extends Clock {
	readonly #now: () => number;

	constructor(now: () => number) {
		super();
		this.#now = now;
	}

	override now(): number {
		return this.#now();
	}

	override wall(): number {
		return this.#now();
	}
}

/** Keeps the lines of a host, with the virtual time in milliseconds. */
class KeptLog extends Log {
	readonly lines: LogLine[] = [];
	readonly #now: () => number;

	constructor(host: string, now: () => number) {
		super(host);
		this.#now = now;
	}

	override write(line: LogLine): void {
		this.lines.push({at: this.#now(), ...line});
	}
}

/** What a caller has received. */
export type CallerAnswer = {
	readonly id: string;
	/** Events that a whole answer has. */
	readonly events: number;
	/** Engines that the request may be sent to. */
	readonly maxAttempts: number;
	status: number;
	body: string;
	/** Whether it was complete according to its framing; undefined until it has ended. */
	isWhole?: boolean;
	/** Longest time in milliseconds between two pieces. */
	longestPause: number;
};

export type ModelHostOptions = {
	readonly name: string;
	readonly failureDomain: string;
	readonly retries: Settings['retries'];
	/** Virtual time in milliseconds. */
	readonly now: () => number;
	/** Uniform from 0 to 1. */
	readonly random: () => number;
	/** Returns the engine that listens at a port. */
	readonly findEngine: (port: number) => ModelEngine | undefined;
};

export class ModelHost implements AsyncDisposable {
	readonly gateway: Gateway;
	readonly #options: ModelHostOptions;
	readonly #log: KeptLog;
	readonly #server: Server;
	#version = 0;
	#maxAttempts = 0;

	/**
	 * @param options - Host, and the engines that it reaches.
	 */
	constructor(options: ModelHostOptions) {
		const {name, failureDomain, retries, now} = options;
		const unused = 'host:1';
		const clock = new VirtualClock(now);
		const settings = settingsSchema.parse({
			host: name, failureDomain, retries, caller: unused, ready: unused, peer: unused, store: unused, tunnel: 'none',
		});
		this.#options = options;
		this.#log = new KeptLog(name, now);
		this.gateway = new Gateway(settings, clock, this.#log);
		const services = this.#createServices(clock);
		this.#server = createServer((incoming, outgoing) => {
			void new Exchange(services, incoming, outgoing).run();
		});
	}

	get lines(): readonly LogLine[] {
		return this.#log.lines;
	}

	/**
	 * Puts the next version of the configuration in force.
	 *
	 * @param maxAttempts - Engines that a request may be sent to.
	 */
	changeConfiguration(maxAttempts: number): void {
		this.#version++;
		this.#maxAttempts = maxAttempts;
		const changed = routes.map(route => ({
			...route, Public: true, TimeoutMs: timeoutMs, TargetLatencyMs: 3000, MaxAttempts: maxAttempts,
		}));
		this.gateway.applyConfiguration(decodeConfiguration(createConfiguration(this.#version, {Routes: changed}), ignore));
	}

	/**
	 * @param upstreams - All registered engines.
	 */
	register(upstreams: readonly GatewayUpstream[]): void {
		this.gateway.registrations.replaceAll(upstreams, {era: 0, revision: 1});
		this.gateway.confirm(0);
	}

	/**
	 * @param change - Change of the store.
	 */
	applyChange(change: RegistryChange): void {
		this.gateway.registrations.applyChanges([change], {era: change.era, revision: change.revision});
		this.gateway.confirm(0);
	}

	/**
	 * @param id - Id of the request.
	 * @param prompt - Tokens of its prompt.
	 * @param events - Events of its answer.
	 * @returns What its caller receives, which grows as the answer arrives.
	 */
	send(id: string, prompt: number, events: number): CallerAnswer {
		const {now} = this.#options;
		const answer: CallerAnswer = {
			id, events, maxAttempts: this.#maxAttempts, status: 0, body: '', longestPause: 0,
		};
		const outgoing = request({
			method: 'POST', path: '/ask/x', createConnection: () => connectTo(this.#server), headers: {
				host: 'api.example', 'x-request-id': id, 'x-model': 'm', 'x-token-count': `${prompt},${events * stride}`,
			},
		}, incoming => {
			let lastAt = now();
			answer.status = incoming.statusCode ?? 0;
			incoming.setEncoding('utf8');
			incoming.on('data', (text: string) => {
				answer.body += text;
				answer.longestPause = Math.max(answer.longestPause, now() - lastAt);
				lastAt = now();
			});
			const end = () => {
				answer.isWhole ??= incoming.complete;
			};

			incoming.on('error', end);
			incoming.on('close', end);
		});
		outgoing.on('error', () => {
			answer.isWhole ??= false;
		});
		outgoing.end();
		return answer;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#server.closeAllConnections();
		await this.gateway[Symbol.asyncDispose]();
	}

	#createServices(clock: Clock): GatewayServices {
		const {gateway} = this;
		const {random} = this.#options;
		const metrics = new GatewayMetrics();
		const agent = new UpstreamAgent({
			connect: async ({port}) => this.#connect(port),
			findRoute: () => ({type: 'direct'}),
			isOffered: () => false,
		});
		const engineControl = {
			reserve: async () => true,
			release: async () => undefined,
		};
		return {
			gateway,
			headerFormat,
			agent,
			responseEnds: new ResponseEnds({
				// Streams in these situations end with their last chunk.
				witnesses: {follow: () => undefined, release: () => undefined, testify: async () => []},
				loop: {hasStalledSince: () => false},
				clock,
				log: this.#log,
				findRegistered: id => gateway.upstreams.get(id),
				isLeaving: upstream => gateway.isLeaving(upstream),
				confirmedAge: () => gateway.confirmedAge,
				onVerdict: () => undefined,
			}),
			engineChecks: new EngineChecks({
				client: new HealthCheckClient(agent),
				random,
				maxPending: 3,
				findService: name => gateway.service(name),
				onSent({id}) {
					gateway.selfReports.countRequest(id, clock.now());
				},
				onAnswer(upstream) {
					gateway.stallDetectors.recordLife(upstream);
				},
				onSilence(upstream) {
					gateway.stallDetectors.recordFailedCheck(upstream);
				},
			}),
			holds: new Holds(engineControl, this.#log, metrics, gateway.incarnation),
			metrics,
			responseBuffers: new ResponseBuffers({budget: 50_000_000, clock, metrics}),
			requestBodies: new RequestBodies(undefined, metrics),
			responseBounds: {eventBytes: 1_000_000, interim: 16, bodyBytes: 100_000_000},
			log: this.#log,
			clock,
			findStop: () => undefined,
			random,
		};
	}

	#connect(port: number): Socket {
		const engine = this.#options.findEngine(port);
		if (engine === undefined) {
			throw new Error(`nothing listens at ${port}`);
		}

		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Clients of Node.js take any duplex stream.
		return engine.connect() as Socket;
	}
}

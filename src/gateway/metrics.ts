/** Counters and histograms, served as text. Series are bounded: no label names an organisation, a caller or a request. */
import {createServer, type Server} from 'node:http';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {messageOf, type Address} from '../core/index.js';
import {type Log} from '../entry/logs.js';
import {close, open} from './listening.js';

/** Upper bounds in milliseconds: objectives of the services lie between 150 ms and 3 s, deadlines up to 15 s. */
const latencyBuckets = [25, 50, 100, 150, 200, 300, 500, 750, 1000, 1500, 2500, 4000, 7000, 10_000, 15_000];

/** Tokens from which on a prompt counts as middle and as long in the labels. */
const middleFrom = 16_000;
const longFrom = 80_000;

/**
 * @param tokens - Length of a prompt, undefined for plain services.
 * @returns The label of its length class.
 */
export function lengthClass(tokens: number | undefined): string {
	if (tokens === undefined) {
		return 'none';
	}

	if (tokens >= longFrom) {
		return 'long';
	}

	return tokens >= middleFrom ? 'middle' : 'short';
}

const prefix = 'cranberrytide_';

function counter(registry: Registry, name: string, help: string, labelNames: string[]): Counter {
	return new Counter({
		name: prefix + name, help, labelNames, registers: [registry],
	});
}

function gauge(registry: Registry, name: string, help: string): Gauge {
	return new Gauge({name: prefix + name, help, registers: [registry]});
}

function histogram(registry: Registry, name: string, help: string): Histogram {
	return new Histogram({
		name: prefix + name, help, labelNames: ['service', 'length'], buckets: latencyBuckets, registers: [registry],
	});
}

export class GatewayMetrics {
	readonly requests: Counter;
	readonly attempts: Counter;
	readonly retries: Counter;
	readonly holds: Counter;
	readonly storeCalls: Counter;
	readonly droppedLines: Gauge;
	readonly firstByte: Histogram;
	readonly total: Histogram;
	readonly inFlight: Gauge;
	readonly knownJobs: Gauge;
	readonly peers: Gauge;
	readonly version: Gauge;
	readonly confirmedAge: Gauge;
	readonly upstreams: Gauge;
	readonly doubted: Gauge;
	readonly unreachable: Gauge;
	readonly suspects: Gauge;
	readonly #registry = new Registry();

	constructor() {
		const registry = this.#registry;
		this.requests = counter(registry, 'requests_total', 'Requests by how they ended', ['service', 'kind', 'length', 'outcome']);
		this.attempts = counter(registry, 'attempts_total', 'Attempts at upstreams by how they ended', ['service', 'ending']);
		this.retries = counter(registry, 'retries_total', 'Attempts after the first, and those the budget did not allow', ['service', 'allowed']);
		this.holds = counter(registry, 'holds_total', 'Memory reserved at several engines', ['result']);
		this.storeCalls = counter(registry, 'store_calls_total', 'Calls to the platform store', ['result']);
		this.droppedLines = gauge(registry, 'log_lines_dropped', 'Log lines dropped as nobody read them, not yet told of in the log');
		this.firstByte = histogram(registry, 'first_byte_milliseconds', 'From arrival to the first byte of the answer');
		this.total = histogram(registry, 'request_milliseconds', 'From arrival to the end of the answer');
		this.inFlight = gauge(registry, 'requests_in_flight', 'Requests of callers that are not answered');
		this.knownJobs = gauge(registry, 'upstream_jobs_known', 'Requests at upstreams, own and of peers');
		this.peers = gauge(registry, 'peers_linked', 'Hosts linked');
		this.version = gauge(registry, 'configuration_version', 'Version in force');
		this.confirmedAge = gauge(registry, 'configuration_confirmed_age_milliseconds', 'Time since the store last confirmed the version in force');
		this.upstreams = gauge(registry, 'upstreams_known', 'Upstreams that may be used');
		this.doubted = gauge(registry, 'upstreams_doubted', 'Upstreams that were left alone and have not answered since');
		this.unreachable = gauge(registry, 'domains_unreachable', 'Failure domains out of reach');
		this.suspects = gauge(registry, 'requests_suspected', 'Requests during which a connection of their upstream broke');
	}

	/** @returns All figures as text. */
	async text(): Promise<string> {
		return this.#registry.metrics();
	}
}

/** Serves the metrics of a process. */
export class MetricsListener implements AsyncDisposable {
	readonly #server: Server;

	/**
	 * @param metrics - What is served.
	 * @param refresh - Called before each reading, to set the gauges.
	 * @param log - Told of failed readings.
	 */
	constructor(metrics: GatewayMetrics, refresh: () => void, log: Log) {
		this.#server = createServer((incoming, outgoing) => {
			incoming.resume();
			refresh();
			void (async () => {
				try {
					const text = await metrics.text();
					outgoing.writeHead(200, {'content-type': 'text/plain; version=0.0.4'}).end(text);
				} catch (error) {
					log.write({event: 'metrics-failed', detail: messageOf(error)}, 'error');
					outgoing.writeHead(500).end();
				}
			})();
		});
	}

	/**
	 * @param address - Where to listen.
	 */
	async listen(address: Address): Promise<void> {
		await open(this.#server, address);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await close(this.#server);
	}
}

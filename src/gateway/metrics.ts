/** Prometheus metrics of the gateway. The number of series is bounded: no label contains an organisation, caller or request. */
import {createServer, type Server} from 'node:http';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {messageOf, type Address} from '../core/index.js';
import {type Log} from '../entry/logs.js';
import {closeServer, openServer} from './callers/listening.js';

/** Upper bounds that cover the services' objectives between 150 ms and 3 s, and deadlines up to 15 s. */
const latencyBucketsMs = [25, 50, 100, 150, 200, 300, 500, 750, 1000, 1500, 2500, 4000, 7000, 10_000, 15_000];

/** Lower bounds in tokens of the prompt lengths `middle` and `long` in the labels. */
const middlePromptTokens = 16_000;
const longPromptTokens = 80_000;

/**
 * @param tokens - Length of a prompt; undefined for plain services.
 * @returns Value of the `length` label.
 */
export function classifyLength(tokens: number | undefined): string {
	if (tokens === undefined) {
		return 'none';
	}

	if (tokens >= longPromptTokens) {
		return 'long';
	}

	return tokens >= middlePromptTokens ? 'middle' : 'short';
}

const prefix = 'cranberrytide_';

function createCounter(registry: Registry, name: string, help: string, labelNames: string[]): Counter {
	return new Counter({
		name: prefix + name, help, labelNames, registers: [registry],
	});
}

function createGauge(registry: Registry, name: string, help: string, labelNames: string[] = []): Gauge {
	return new Gauge({
		name: prefix + name, help, labelNames, registers: [registry],
	});
}

function createHistogram(registry: Registry, name: string, help: string): Histogram {
	return new Histogram({
		name: prefix + name, help, labelNames: ['service', 'length'], buckets: latencyBucketsMs, registers: [registry],
	});
}

export class GatewayMetrics {
	readonly requests: Counter;
	readonly attempts: Counter;
	readonly retries: Counter;
	readonly successions: Counter;
	readonly engineChecks: Counter;
	readonly returnChecks: Counter;
	readonly holds: Counter;
	readonly memoryWaits: Counter;
	readonly memoryWaiting: Gauge;
	readonly shareRefusals: Counter;
	readonly stopRefusals: Counter;
	readonly bodyBytes: Gauge;
	readonly bodiesWaited: Counter;
	readonly bodiesRefused: Counter;
	readonly prioritised: Counter;
	readonly servicesPressed: Gauge;
	readonly sharesKept: Gauge;
	readonly sharesLearned: Gauge;
	readonly storeCalls: Counter;
	readonly droppedLines: Gauge;
	readonly firstByte: Histogram;
	readonly total: Histogram;
	readonly inFlight: Gauge;
	readonly knownJobs: Gauge;
	readonly peers: Gauge;
	readonly refusedPeers: Gauge;
	readonly peerBytes: Gauge;
	readonly groups: Gauge;
	readonly version: Gauge;
	readonly confirmedAge: Gauge;
	readonly storeEra: Gauge;
	readonly upstreams: Gauge;
	readonly unhealthy: Gauge;
	readonly limited: Gauge;
	readonly cold: Gauge;
	readonly coldChecks: Counter;
	readonly unreachable: Gauge;
	readonly evacuated: Gauge;
	readonly evacuatedJobs: Gauge;
	readonly uneven: Gauge;
	readonly badPaces: Gauge;
	readonly suspects: Gauge;
	readonly convictions: Gauge;
	readonly ignoredEvidence: Gauge;
	readonly responseBytes: Gauge;
	readonly responseBudget: Gauge;
	readonly responsesUnread: Gauge;
	readonly responsesStopped: Counter;
	readonly responsesEnded: Counter;
	readonly tunnelSearches: Counter;
	readonly tunnelRequests: Counter;
	readonly responseEnds: Counter;
	readonly tunnelsServed: Gauge;
	readonly linksCut: Gauge;
	readonly linkChecks: Counter;
	readonly linkProbes: Counter;
	readonly tunnelHosts: Gauge;
	readonly tunnelsOffered: Gauge;
	readonly #registry = new Registry();

	constructor() {
		const registry = this.#registry;
		this.requests = createCounter(registry, 'requests_total', 'Requests by how they ended', ['service', 'kind', 'length', 'outcome']);
		this.attempts = createCounter(registry, 'attempts_total', 'Attempts at upstreams by how they ended', ['service', 'ending']);
		this.successions = createCounter(registry, 'successions_total', 'Attempts that another one of their request replaced, and those outrun by the one to replace', ['service', 'reason']);
		this.engineChecks = createCounter(registry, 'engine_checks_total', 'Health checks of engines that were to take over answers', []);
		this.returnChecks = createCounter(registry, 'return_checks_total', 'Health checks of upstreams that were found silent', []);
		this.retries = createCounter(registry, 'retries_total', 'Attempts after the first, and those the budget did not allow', ['service', 'allowed']);
		this.holds = createCounter(registry, 'holds_total', 'Reservations of memory at engines, by result and reason', ['result', 'reason']);
		this.memoryWaits = createCounter(registry, 'memory_waits_total', 'Requests that waited for memory, by how the wait ended', ['result']);
		this.memoryWaiting = createGauge(registry, 'memory_waiting', 'Requests that wait for memory');
		this.shareRefusals = createCounter(registry, 'share_refusals_total', 'Requests refused as their organisation used far more than its usual share', ['service']);
		this.stopRefusals = createCounter(registry, 'stop_refusals_total', 'Requests refused as their answers could not be complete before this host stops', ['service']);
		this.bodyBytes = createGauge(registry, 'request_body_bytes', 'Memory that the bodies of requests take');
		this.bodiesWaited = createCounter(registry, 'request_bodies_waited_total', 'Requests whose bodies were read later, as memory was short', []);
		this.bodiesRefused = createCounter(registry, 'request_bodies_refused_total', 'Requests refused as there was no memory for their bodies', []);
		this.prioritised = createCounter(registry, 'prioritised_requests_total', 'Requests of organisations whose priority differs from that of the route', ['service', 'served']);
		this.servicesPressed = createGauge(registry, 'services_full', 'Services whose upstreams were full within the last seconds');
		this.sharesKept = createGauge(registry, 'organisation_shares', 'Organisations whose use of a service is kept');
		this.sharesLearned = createGauge(registry, 'organisation_shares_learned', 'Organisations whose use was learned from a peer after the start');
		this.storeCalls = createCounter(registry, 'store_calls_total', 'Calls to the platform store', ['result']);
		this.droppedLines = createGauge(registry, 'log_lines_dropped', 'Log lines dropped as nobody read them, not yet told of in the log');
		this.firstByte = createHistogram(registry, 'first_byte_milliseconds', 'From arrival to the first byte of the answer');
		this.total = createHistogram(registry, 'request_milliseconds', 'From arrival to the end of the answer');
		this.inFlight = createGauge(registry, 'requests_in_flight', 'Requests of callers that are not answered');
		this.knownJobs = createGauge(registry, 'upstream_jobs_known', 'Requests at upstreams, own and of peers');
		this.peers = createGauge(registry, 'peers_linked', 'Hosts linked');
		this.refusedPeers = createGauge(registry, 'peer_connections_refused', 'Connections refused since the start, by reason', ['reason']);
		this.peerBytes = createGauge(registry, 'peer_bytes_sent', 'Bytes sent to other hosts since the start, by kind of message', ['kind']);
		this.groups = createGauge(registry, 'host_groups', 'Groups into which the hosts of this failure domain are divided; 1 if every host receives every job');
		this.version = createGauge(registry, 'configuration_version', 'Version in force');
		this.confirmedAge = createGauge(registry, 'configuration_confirmed_age_milliseconds', 'Time since the store last confirmed the version in force');
		this.storeEra = createGauge(registry, 'store_era', 'Era of the platform store: rises each time it returns from a backup');
		this.upstreams = createGauge(registry, 'upstreams_known', 'Upstreams that may be used');
		this.unhealthy = createGauge(registry, 'upstreams_doubted', 'Upstreams that were left alone and have not answered since');
		this.limited = createGauge(registry, 'upstreams_limited', 'Upstreams that limit the rate of requests from all hosts');
		this.cold = createGauge(registry, 'upstreams_cold', 'Upstreams that are cold and take few requests');
		this.coldChecks = createCounter(registry, 'cold_checks_total', 'Health checks that tell whether an upstream is cold, by result', ['result']);
		this.uneven = createGauge(registry, 'engines_uneven', 'Engines whose pace differs clearly from the configured one');
		this.badPaces = createGauge(registry, 'pace_reports_ignored', 'Reports of engine paces that could not be right, since the start');
		this.unreachable = createGauge(registry, 'domains_unreachable', 'Failure domains out of reach');
		this.evacuated = createGauge(registry, 'domains_evacuated', 'Failure domains that the operator has evacuated');
		this.evacuatedJobs = createGauge(registry, 'evacuated_jobs', 'Requests that still run in evacuated failure domains, own and of peers');
		this.suspects = createGauge(registry, 'requests_suspected', 'Attempts of any host that ended as their upstream crashed, in the last ten minutes');
		this.convictions = createGauge(registry, 'convictions', 'Parts of prompts and whole requests that are refused, as they crash engines or an operator says so');
		this.ignoredEvidence = createGauge(registry, 'evidence_ignored', 'Pieces of evidence of other hosts that were invalid, since the start');
		this.responseBytes = createGauge(registry, 'response_bytes_held', 'Bytes of responses that callers have not read');
		this.responseBudget = createGauge(registry, 'response_bytes_budget', 'Bytes of responses that may be held for callers; 0 without a limit');
		this.responsesUnread = createGauge(registry, 'responses_unread', 'Responses that are not read from their upstreams at present, as memory is short');
		this.responsesStopped = createCounter(registry, 'responses_stopped_total', 'Responses that stopped being read from their upstreams, as memory was short', []);
		this.tunnelSearches = createCounter(registry, 'tunnel_searches_total', 'Searches for a host that connects to an upstream which this host does not reach, by result', ['result']);
		this.responseEnds = createCounter(registry, 'response_ends_total', 'Responses that ended with their connections, by verdict', ['verdict']);
		this.tunnelRequests = createCounter(registry, 'tunnel_requests_total', 'Tunnels that other hosts asked for, by result', ['result']);
		this.tunnelsServed = createGauge(registry, 'tunnels_served', 'Tunnels that are open for other hosts');
		this.linksCut = createGauge(registry, 'links_cut', 'Upstreams that other hosts reach and this one does not');
		this.linkChecks = createCounter(registry, 'link_checks_total', 'Connections made only to check a link', []);
		this.linkProbes = createCounter(registry, 'link_probes_total', 'Health checks that tell whether an upstream answers over a link', []);
		this.tunnelsOffered = createGauge(registry, 'tunnels_offered', 'Whether this host connects others to upstreams that they do not reach: 1 or 0');
		this.tunnelHosts = createGauge(registry, 'tunnel_hosts', 'Hosts that are linked for tunnels only');
		this.responsesEnded = createCounter(registry, 'responses_ended_total', 'Responses that were cut off as memory was short or their caller did not read', ['reason']);
	}

	/** @returns All metrics in Prometheus text format. */
	async text(): Promise<string> {
		return this.#registry.metrics();
	}
}

/** Serves the metrics over HTTP. */
export class MetricsListener implements AsyncDisposable {
	readonly #server: Server;

	/**
	 * @param metrics - Metrics to serve.
	 * @param refresh - Called before each response to update the gauges.
	 * @param log - Receives failures to serve metrics.
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
	 * @param address - Address to listen on.
	 */
	async listen(address: Address): Promise<void> {
		await openServer(this.#server, address);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await closeServer(this.#server);
	}
}

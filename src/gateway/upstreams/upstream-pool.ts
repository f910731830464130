/** Connections to upstreams over the links of this host and over other hosts, and what watches the links. */
import {type Agent} from 'node:http';
import {assertNever} from '../../core/index.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {findLinkGroup, type LinkScope} from '../../core/gateway/health/links.js';
import {type Clock} from '../../entry/clock.js';
import {type Log} from '../../entry/logs.js';
import {type Gateway} from '../gateway.js';
import {LoopWatch} from '../loop-watch.js';
import {type GatewayMetrics} from '../metrics.js';
import {type HealthClient} from '../platform-adapter.js';
import {UpstreamAgent} from './agent.js';
import {Connector, type LinkChange} from './connector.js';
import {LinkProbe} from './link-probe.js';
import {LinkWatch} from './link-watch.js';
import {ResponseEnds} from './response-ends.js';
import {UpstreamWitnesses} from './upstream-witnesses.js';

export type UpstreamPoolOptions = {
	/** State of this host. */
	readonly gateway: Gateway;
	/** Counts tunnels and checks. */
	readonly metrics: Pick<GatewayMetrics, 'linkChecks' | 'linkProbes' | 'responseEnds' | 'tunnelSearches'>;
	readonly clock: Clock;
	readonly log: Pick<Log, 'write'>;
	readonly createHealthClient: (agent: Agent) => HealthClient;
};

export class UpstreamPool implements Disposable {
	readonly agent: UpstreamAgent;
	readonly linkWatch: LinkWatch;
	readonly responseEnds: ResponseEnds;
	readonly #connector: Connector;
	readonly #witnesses: UpstreamWitnesses;
	readonly #loop: LoopWatch;

	/**
	 * @param options - State of this host, and how it reaches upstreams.
	 */
	constructor({gateway, metrics, clock, log, createHealthClient}: UpstreamPoolOptions) {
		const {tunnels, upstreams} = gateway;
		const {links, peers} = tunnels;
		const now = () => clock.now();
		// Upstreams that want no requests at present get no health checks either.
		const mayCheck = (upstream: GatewayUpstream) => gateway.findObstacle(upstream) === undefined;
		const findUpstream = (address: string) => upstreams.findByAddress(address);
		const probe = new LinkProbe({
			createHealthClient,
			findHealthPath: service => gateway.service(service)?.healthPath ?? '/',
			onSent(upstream) {
				metrics.linkProbes.inc();
				gateway.coldStarts.countCheck(upstream);
				gateway.selfReports.countRequest(upstream.id, now());
			},
		});
		this.#connector = new Connector({
			links,
			peers,
			probe,
			log,
			now,
			findUpstream,
			listOthers: upstream => drawOthers(upstream, upstreams.all.filter(each => mayCheck(each))),
			onChange: change => {
				this.#applyChange(gateway, change);
			},
			onTunnel(result) {
				metrics.tunnelSearches.inc({result});
			},
		});
		this.agent = new UpstreamAgent(this.#connector);
		this.#witnesses = new UpstreamWitnesses({
			connect: async options => this.#connector.connect(options), probe, now, mayCheck,
		});
		this.#loop = new LoopWatch(clock);
		this.responseEnds = new ResponseEnds({
			witnesses: this.#witnesses,
			loop: this.#loop,
			clock,
			log,
			findRegistered: id => upstreams.get(id),
			isLeaving: upstream => gateway.isLeaving(upstream),
			confirmedAge: () => gateway.confirmedAge,
			onVerdict(verdict) {
				metrics.responseEnds.inc({verdict});
			},
		});
		this.linkWatch = new LinkWatch({
			agent: this.agent,
			links,
			connector: this.#connector,
			peers,
			random: Math.random,
			now,
			findUpstream,
			listUpstreams: () => upstreams.all,
			mayCheck,
			track() {
				metrics.linkChecks.inc();
				return tunnels.trackCheck();
			},
			onUpdate() {
				tunnels.update();
			},
		});
		tunnels.listen({
			lost: () => {
				this.agent.closeUnfit();
			},
			alerted: groups => {
				this.linkWatch.survey(groups);
			},
			suspected: upstream => {
				this.linkWatch.suspect(upstream);
			},
			distrusted: peer => {
				this.agent.closeTunnels(peer);
			},
			found() {
				gateway.excuseUnlinked();
			},
		});
	}

	/**
	 * @param upstream - Upstream that this host couldn't connect to.
	 * @param since - Monotonic time in milliseconds; only what has worked since then counts.
	 * @returns To which other upstreams its links are sound.
	 */
	async findSoundScope(upstream: GatewayUpstream, since: number): Promise<LinkScope> {
		return this.#connector.findSoundScope(upstream, since);
	}

	[Symbol.dispose](): void {
		this.linkWatch[Symbol.dispose]();
		this.#witnesses[Symbol.dispose]();
		this.#loop[Symbol.dispose]();
		this.agent.destroy();
	}

	/** Uses no connection that a cut link leaves behind, and takes back what was blamed on upstreams that other hosts reach. */
	#applyChange(gateway: Gateway, change: LinkChange): void {
		gateway.tunnels.update();
		this.agent.closeUnfit();
		switch (change.type) {
			case 'cut': {
				gateway.excuseUnlinked();
				gateway.convictions.recordReached({upstream: change.upstream.id, started: change.upstream.started});
				gateway.stallDetectors.hurry();
				this.linkWatch.startChecks();
				this.linkWatch.survey();
				return;
			}

			case 'lost': {
				this.linkWatch.startChecks();
				this.linkWatch.survey();
				return;
			}

			case 'restored': {
				return;
			}

			default: {
				assertNever(change);
			}
		}
	}
}

/** Draws another upstream of the group of an upstream, and one of another group. */
function drawOthers(upstream: GatewayUpstream, all: readonly GatewayUpstream[]): readonly GatewayUpstream[] {
	const isNeighbour = (other: GatewayUpstream) => findLinkGroup(other) === findLinkGroup(upstream);
	const others = all.filter(({id}) => id !== upstream.id);
	return [others.filter(other => isNeighbour(other)), others.filter(other => !isNeighbour(other))]
		.flatMap(candidates => candidates[Math.floor(Math.random() * candidates.length)] ?? []);
}

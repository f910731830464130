/** Connections to upstreams over the links of this host and over other hosts, and what watches the links. */
import {type Clock} from '../../entry/clock.js';
import {type Log} from '../../entry/logs.js';
import {type Gateway} from '../gateway.js';
import {type GatewayMetrics} from '../metrics.js';
import {UpstreamAgent} from './agent.js';
import {Connector} from './connector.js';
import {LinkWatch} from './link-watch.js';

export class UpstreamPool implements Disposable {
	readonly agent: UpstreamAgent;
	readonly linkWatch: LinkWatch;

	/**
	 * @param gateway - State of this host.
	 * @param metrics - Counts tunnels and checks.
	 * @param clock - Monotonic time.
	 * @param log - Log.
	 */
	constructor(gateway: Gateway, metrics: Pick<GatewayMetrics, 'linkChecks' | 'tunnelSearches'>, clock: Pick<Clock, 'now'>, log: Pick<Log, 'write'>) {
		const {links, tunnelPeers, upstreams, stallDetectors} = gateway;
		const now = () => clock.now();
		const findUpstream = (address: string) => upstreams.findByAddress(address);
		const connector = new Connector({
			links,
			peers: tunnelPeers,
			log,
			now,
			findUpstream,
			onCut: () => {
				this.agent.closeUnfit();
				this.linkWatch.startChecks();
				stallDetectors.hurry();
			},
			onTunnel(result) {
				metrics.tunnelSearches.inc({result});
			},
		});
		this.agent = new UpstreamAgent(connector);
		this.linkWatch = new LinkWatch({
			agent: this.agent,
			links,
			connector,
			now,
			findUpstream,
			listUpstreams: () => upstreams.all,
			onCheck() {
				metrics.linkChecks.inc();
			},
		});
		gateway.onTunnelsLost(() => {
			this.agent.closeUnfit();
		});
		stallDetectors.onSilence(upstream => {
			this.linkWatch.suspect(upstream);
		});
	}

	[Symbol.dispose](): void {
		this.linkWatch[Symbol.dispose]();
		this.agent.destroy();
	}
}

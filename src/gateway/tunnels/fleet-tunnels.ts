/** What this host knows of its links to upstreams, and the tunnels by which hosts that have lost theirs help each other. */
import {Links} from '../../core/gateway/health/links.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {type Log} from '../../entry/logs.js';
import {type Host} from '../peers/messages.js';
import {type Peers} from '../peers/peers.js';
import {LinkAlerts} from './link-alerts.js';
import {maxLostGroups, type TunnelOffer} from './messages.js';
import {TunnelPeers} from './tunnel-peers.js';

export type FleetTunnelsOptions = {
	readonly host: string;
	readonly failureDomain: string;
	/** Unique name of this run of the process. */
	readonly incarnation: string;
	readonly log: Pick<Log, 'write'>;
	readonly now: () => number;
	/** Returns the links to other hosts. */
	readonly peers: () => Peers;
};

/** Notified of what changes. */
export type TunnelListener = {
	/** A host no longer opens tunnels. */
	readonly lost: () => void;
	/** Another host has lost its links to these groups of upstreams. */
	readonly alerted: (groups: readonly string[]) => void;
	/** An attempt over the link of this host got no answer. */
	readonly suspected: (upstream: GatewayUpstream) => void;
	/** An attempt over another host got no answer. */
	readonly distrusted: (peer: string) => void;
	/** A host connects to upstreams that none has reached before. */
	readonly found: () => void;
};

/** Creates an offer of tunnels for a host. */
export type OfferSource = (host: string) => TunnelOffer;

export class FleetTunnels {
	readonly links = new Links();
	readonly peers: TunnelPeers;
	readonly #options: FleetTunnelsOptions;
	#alerts: LinkAlerts | undefined;
	#source: OfferSource | undefined;
	#listener: TunnelListener | undefined;
	#runningChecks = 0;
	/** Groups of upstreams without links, as last announced. */
	#lostGroups: readonly string[] = [];

	/**
	 * @param options - This host.
	 */
	constructor(options: FleetTunnelsOptions) {
		const {peers} = options;
		this.#options = options;
		this.peers = new TunnelPeers({
			...options,
			listLostGroups: () => this.links.lostGroups,
			listUnlinkedHosts: () => peers().unlinkedHosts,
			dial(host) {
				peers().dialForTunnels(host);
			},
			release(host) {
				peers().releaseTunnelLink(host);
			},
			onWay: () => {
				this.#listener?.found();
			},
		});
	}

	/** Whether some links of this host are cut, or being checked. */
	get areLinksInDoubt(): boolean {
		return this.links.hasCuts || this.#runningChecks > 0;
	}

	/** @returns Ends a check of a link that begins now when disposed of. */
	trackCheck(): Disposable {
		this.#runningChecks++;
		return {
			[Symbol.dispose]: () => {
				this.#runningChecks--;
			},
		};
	}

	/**
	 * @param host - Name of a host.
	 * @returns The offer for it; undefined while this host offers no tunnels.
	 */
	createOffer(host: string): TunnelOffer | undefined {
		const offer = this.#source?.(host);
		return offer?.type === 'open' && this.#lostGroups.length > 0 ? {...offer, lost: this.#lostGroups.slice(0, maxLostGroups)} : offer;
	}

	/**
	 * Offers tunnels to the hosts that are linked, now and later.
	 *
	 * @param source - Creates the offers; it replaces the one before.
	 */
	offer(source: OfferSource): void {
		this.#source = source;
		this.#options.peers().offerTunnels();
	}

	/**
	 * @param listener - Notified of what changes.
	 */
	listen(listener: TunnelListener): void {
		this.#listener = listener;
	}

	/**
	 * @param from - Host that has offered tunnels, or withdrawn its offer.
	 * @param offer - Offer.
	 */
	handleOffer(from: Host, offer: unknown): void {
		if (this.peers.applyOffer(from, offer)) {
			this.#listener?.lost();
		}
	}

	/**
	 * @param from - Host that says that links to upstreams are lost.
	 * @param alert - What it says.
	 */
	handleAlert(from: Host, alert: unknown): void {
		this.#getAlerts().handle(from, alert);
	}

	/**
	 * @param host - Name of a host that is no longer linked.
	 */
	handleHostLost(host: string): void {
		this.peers.remove(host);
		this.#listener?.lost();
	}

	/**
	 * Notes that an attempt got no answer: either the upstream is to blame, or the link that it was sent over.
	 *
	 * @param upstream - Upstream.
	 * @param tunnel - Tunnel of the attempt; undefined if it was sent over the link of this host.
	 */
	noteUnanswered(upstream: GatewayUpstream, tunnel: {readonly peer: string} | undefined): void {
		if (tunnel === undefined) {
			this.#listener?.suspected(upstream);
		} else {
			this.peers.distrust(tunnel.peer, upstream);
			this.#listener?.distrusted(tunnel.peer);
		}
	}

	/** Announces to which groups of upstreams this host has lost its links, if that has changed. */
	update(): void {
		const lost = this.links.lostGroups;
		const previous = this.#lostGroups;
		if (lost.length === previous.length && lost.every(group => previous.includes(group))) {
			return;
		}

		this.#lostGroups = lost;
		this.#options.peers().offerTunnels();
		const fresh = lost.filter(group => !previous.includes(group));
		if (fresh.length > 0) {
			this.#getAlerts().raise(fresh);
		}
	}

	#getAlerts(): LinkAlerts {
		const {host: self, log, now, peers} = this.#options;
		this.#alerts ??= new LinkAlerts({
			self,
			peers: peers(),
			log,
			now,
			onAlert: groups => {
				this.#listener?.alerted(groups);
			},
		});
		return this.#alerts;
	}
}

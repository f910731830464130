/** Hosts that offer tunnels, and the search for one that connects to an upstream. */
import {type Socket} from 'node:net';
import {type StatedEnd} from '../../core/gateway/health/connection-ends.js';
import {findLinkGroup, type LinkedUpstream} from '../../core/gateway/health/links.js';
import {Prospects} from '../../core/gateway/health/prospects.js';
import {rankTunnelPeers, TunnelRefusals} from '../../core/gateway/health/tunnel-peers.js';
import {type Log} from '../../entry/logs.js';
import {type Host} from '../peers/messages.js';
import {Introductions} from './introductions.js';
import {tunnelOfferSchema} from './messages.js';
import {askTunnelEnd, openTunnel, type TunnelResult} from './tunnel-client.js';
import {TunnelSearch, type Offerer, type TunnelSearchResult} from './tunnel-search.js';

/** Hosts that reach upstreams which this one doesn't to keep at hand, so that its tunnels are spread. */
const wantedOfferers = 8;

/** Time in milliseconds for which an answer over a host shows that its links to a group of upstreams are sound. */
const verificationMs = 2000;

export type TunnelPeersOptions = {
	readonly host: string;
	readonly failureDomain: string;
	/** Unique name of this run of the process. */
	readonly incarnation: string;
	readonly log: Pick<Log, 'write'>;
	readonly now: () => number;
	/** Returns the groups of upstreams that this host doesn't reach over its own links. */
	readonly listLostGroups: () => readonly string[];
	/** Returns the known hosts that this one isn't linked with. */
	readonly listUnlinkedHosts: () => readonly Host[];
	/** Opens a link for tunnels only. */
	readonly dial: (host: Host) => void;
	/** Closes a link for tunnels only. */
	readonly release: (host: string) => void;
	/** Called when a host connects to upstreams that none has reached before. */
	readonly onWay: () => void;
};

/** Returns whether an answer of the upstream came back over a connection, which it closes. */
export type TunnelVerification = (socket: Socket) => Promise<boolean>;

/** A connection to ask a host for. */
type TunnelToOpen = {
	/** Id of the tunnel. */
	readonly tunnel: string;
	readonly upstream: LinkedUpstream;
	readonly verify?: TunnelVerification;
};

export class TunnelPeers {
	readonly #options: TunnelPeersOptions;
	readonly #offerers = new Map<string, Offerer>();
	readonly #refusals = new TunnelRefusals();
	readonly #prospects = new Prospects();
	readonly #introductions: Introductions;
	readonly #searches = new Set<TunnelSearch>();
	/** Times at which an answer came back over a host, by its name and the group of the upstream. */
	readonly #verifiedAt = new Map<string, number>();
	#searchCount = 0;

	/**
	 * @param options - This host, and how it gets to others.
	 */
	constructor(options: TunnelPeersOptions) {
		const {listUnlinkedHosts: listHosts, dial, release, now} = options;
		this.#options = options;
		this.#introductions = new Introductions({
			now, listHosts, dial, release, rank: hosts => this.#rank(hosts, {id: '', service: '', failureDomain: options.failureDomain}),
		});
	}

	/** Whether there is a host to ask. */
	get isAvailable(): boolean {
		return this.#offerers.size > 0;
	}

	/** Number of hosts that are linked for tunnels only. */
	get introducedCount(): number {
		return this.#introductions.size;
	}

	/**
	 * @param peer - Name of a host.
	 * @returns Whether it opens tunnels.
	 */
	has(peer: string): boolean {
		return this.#offerers.has(peer);
	}

	/**
	 * @param upstream - Upstream that this host doesn't reach.
	 * @returns Whether no host gave a connection a moment ago, so that a search would only delay the refusal.
	 */
	isHopeless(upstream: LinkedUpstream): boolean {
		return this.#prospects.isHopeless(upstream, this.#options.now());
	}

	/**
	 * @param peer - Host that is linked, if only for tunnels.
	 * @param offer - Its offer, as received; ignored if it is invalid or names the address of another host.
	 * @returns Whether it no longer opens tunnels.
	 */
	applyOffer({name, failureDomain, capacity, address}: Host, offer: unknown): boolean {
		const parsed = tunnelOfferSchema.safeParse(offer);
		if (!parsed.success) {
			return this.#ignore(name, parsed.error.issues[0]?.message);
		}

		// Requests go over hosts that this one is linked with, wherever else a peer would have them go.
		if (parsed.data.type === 'open' && parsed.data.host !== address.host) {
			return this.#ignore(name, `address of another host than ${address.host}: ${parsed.data.host}`);
		}

		const isOpen = parsed.data.type === 'open';
		const wasOpen = this.#offerers.has(name);
		if (parsed.data.type === 'open') {
			const {lost = []} = parsed.data;
			this.#offerers.set(name, {
				name, failureDomain, capacity, tunnels: this.#offerers.get(name)?.tunnels, lost: new Set(lost), offer: parsed.data,
			});
			this.#introductions.recordOffer(name, this.#isUseful(lost));
		} else {
			this.#offerers.delete(name);
			this.#introductions.recordOffer(name, false);
		}

		this.#proceed();
		return wasOpen && !isOpen;
	}

	/**
	 * @param peer - Name of a host that is no longer linked, or couldn't be linked for tunnels.
	 */
	remove(peer: string): void {
		this.#offerers.delete(peer);
		for (const key of this.#verifiedAt.keys()) {
			if (key.startsWith(`${peer} `)) {
				this.#verifiedAt.delete(key);
			}
		}

		this.#introductions.recordClosed(peer);
		this.#proceed();
	}

	/** Gets further offers if few of the hosts at hand reach what this one doesn't, as far as they say. */
	prepare(): void {
		const useful = [...this.#offerers.values()].filter(({lost}) => this.#isUseful([...lost]));
		if (useful.length < wantedOfferers) {
			this.#introductions.request(new Set(this.#offerers.keys()));
		}
	}

	/** Closes the links that are for tunnels only. */
	releaseIntroduced(): void {
		this.#introductions.releaseAll();
	}

	/**
	 * Asks hosts for a connection until one has it.
	 *
	 * @param upstream - Upstream to connect to.
	 * @param signal - Ends the search.
	 * @param verify - Checks the connection of each host; absent if connecting is enough.
	 * @returns The first connection, or why there is none.
	 */
	async search(upstream: LinkedUpstream, signal: AbortSignal, verify?: TunnelVerification): Promise<TunnelSearchResult> {
		this.#searchCount++;
		const turn = this.#searchCount;
		const group = findLinkGroup(upstream);
		const search = new TunnelSearch({
			id: `${this.#options.incarnation}.t${turn}`,
			rank: asked => this.#rank([...this.#offerers.values()].filter(({name, lost}) => !asked.has(name) && !lost.has(group)), upstream, turn),
			introduce: asked => this.#introductions.request(asked),
			open: async (host, tunnel, ended) => this.#open(host, {tunnel, upstream, verify}, ended),
			onRefusal: host => {
				this.#refusals.record(host.name, group, this.#options.now());
			},
		});
		this.#searches.add(search);
		try {
			const result = await search.run(signal);
			if (!signal.aborted && this.#prospects.record(upstream, result.type !== 'none', this.#options.now()) && result.type === 'connected') {
				this.#options.onWay();
			}

			return result;
		} finally {
			this.#searches.delete(search);
		}
	}

	/**
	 * @param tunnel - Tunnel that has ended, and the upstream that it led to.
	 * @returns What the host that carried it says of its end.
	 */
	async askEnd({tunnel, offer}: Pick<Extract<TunnelSearchResult, {readonly type: 'connected'}>, 'offer' | 'tunnel'>, upstream: LinkedUpstream): Promise<StatedEnd> {
		return askTunnelEnd(offer, {id: tunnel, from: this.#options.host, upstream: upstream.id});
	}

	/**
	 * Asks a host later than others, since requests over it got no answer.
	 *
	 * @param peer - Name of the host.
	 * @param upstream - Upstream.
	 */
	distrust(peer: string, upstream: LinkedUpstream): void {
		const group = findLinkGroup(upstream);
		this.#verifiedAt.delete(`${peer} ${group}`);
		this.#refusals.record(peer, group, this.#options.now());
	}

	#ignore(peer: string, problem: string | undefined): false {
		this.#options.log.write({event: 'tunnel-offer-ignored', peer, problem}, 'warn');
		return false;
	}

	/** Whether a host that doesn't reach some groups itself reaches one that this host doesn't. */
	#isUseful(lost: readonly string[]): boolean {
		const needed = this.#options.listLostGroups();
		return lost.length === 0 || needed.some(group => !lost.includes(group));
	}

	async #open(host: Offerer, request: TunnelToOpen, signal: AbortSignal): Promise<TunnelResult> {
		const {tunnel, upstream, verify} = request;
		const target = {id: tunnel, from: this.#options.host, upstream: upstream.id};
		const result = await openTunnel(host.offer, target, signal);
		if (result.type === 'connected') {
			this.#noteTunnels(host.name, result.tunnels);
			if (verify === undefined || this.#isVerified(host.name, upstream)) {
				this.#refusals.forget(host.name, findLinkGroup(upstream));
				return result;
			}

			if (!(await verify(result.socket))) {
				return {type: 'refused', reason: 'cut'};
			}

			this.#verifiedAt.set(`${host.name} ${findLinkGroup(upstream)}`, this.#options.now());
			return this.#open(host, {tunnel, upstream}, signal);
		}

		const isOfUse = result.type === 'absent' && result.scope !== undefined && result.scope !== 'none';
		if (!isOfUse && !signal.aborted) {
			this.#introductions.recordOffer(host.name, false);
		}

		return result;
	}

	#isVerified(peer: string, upstream: LinkedUpstream): boolean {
		return this.#options.now() - (this.#verifiedAt.get(`${peer} ${findLinkGroup(upstream)}`) ?? Number.NEGATIVE_INFINITY) < verificationMs;
	}

	#noteTunnels(peer: string, tunnels: number | undefined): void {
		const offerer = this.#offerers.get(peer);
		if (offerer !== undefined && tunnels !== undefined) {
			this.#offerers.set(peer, {...offerer, tunnels});
		}
	}

	#rank<T extends Offerer | Host>(hosts: readonly T[], upstream: LinkedUpstream, turn = this.#searchCount): readonly T[] {
		return rankTunnelPeers(hosts, upstream, {
			ownDomain: this.#options.failureDomain, refusals: this.#refusals, turn, now: this.#options.now(),
		});
	}

	#proceed(): void {
		for (const search of this.#searches) {
			search.proceed();
		}
	}
}

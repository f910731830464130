/** Links to the other hosts. Discovers hosts through seeds and the lists that peers send, and dials again when a link is lost. */
import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';
import {type Address} from '../../core/index.js';
import {type Log} from '../../entry/logs.js';
import {Announcer} from './announcer.js';
import {KnownPeers} from './known-peers.js';
import {Dialer} from './dialer.js';
import {FleetReach, maxActiveGapMs} from './fleet-reach.js';
import {type RefusalReason} from './foreign-hosts.js';
import {Gatekeeper, type Identification} from './gatekeeper.js';
import {HostLists} from './host-lists.js';
import {Link, type LinkEvents, type LinkPurpose} from './link.js';
import {
	type Heartbeat, type Hello, type Host, type Message,
} from './messages.js';
import {Sender} from './sender.js';
import {type StateSummary} from './state.js';
import {TunnelLinks} from './tunnel-links.js';
import {SilenceDetector} from './silence-detector.js';
import {isPossibleCapacity} from './topology.js';

/** Each heartbeat also updates the links. */
const heartbeatIntervalMs = 500;

/**
 * Time without a message after which a link is closed: four heartbeats. The socket's own timeout can't be used, as writing to an
 * unresponsive peer counts as activity too.
 */
const silenceTimeoutMs = 2000;

/** Time in milliseconds after which a link is closed that another one to the same process has replaced. */
const replacedLinkMs = 2000;

/** One heartbeat in this many names other hosts, so that hosts that lost track of each other are linked again within seconds. */
const heartbeatsPerHostSample = 8;

/** How long heartbeats include a summary of this host's state after `announceState`. */
const stateAnnouncementMs = 10_000;

/** Hosts named in such a heartbeat: within a minute, all are named. */
const hostSampleSize = 6;

/** Hosts whose impossible capacity is logged. */
const maxLoggedCapacities = 256;

export type PeerEvents = {
	/** A host is linked; `send` writes to the new link. */
	readonly joined: (host: Host, send: (message: Message) => void) => void;
	readonly message: (from: Host, message: Message) => void;
	/** A link was closed, or the host has restarted. */
	readonly lost: (host: Host, reason: string) => void;
	/** A host has sent a summary of its state. */
	readonly summary?: (from: Host, summary: StateSummary) => void;
	/** A host of a large fleet has stated into how many groups it takes its failure domain to be divided; undefined if it receives everything. */
	readonly groups?: (from: Host, count: unknown) => void;
	/** A host has offered tunnels, or withdrawn its offer. */
	readonly tunnel?: (from: Host, offer: unknown) => void;
	/** A host that was dialled for tunnels can't be linked, or no longer is. */
	readonly tunnelLinkLost?: (host: string) => void;
	/** A host has lost its links to upstreams of some failure domains, as it or a relay says. */
	readonly linksLost?: (from: Host, report: unknown) => void;
};

export type PeersOptions = {
	readonly self: Host;
	readonly seeds: readonly Address[];
	/** How hosts of the same fleet are recognised; every host is accepted if it is absent. */
	readonly identification?: Identification;
	readonly log: Pick<Log, 'write'>;
	readonly now: () => number;
	readonly events: PeerEvents;
	/** Summarizes this host's state; absent if peers needn't know it. */
	readonly summarizeState?: () => StateSummary;
	/** Returns the number of groups to announce in heartbeats of a large fleet; undefined to receive everything. Absent to announce none. */
	readonly countGroups?: () => number | undefined;
	/** Returns the offer of tunnels for a host, if there is one. */
	readonly createTunnelOffer?: (host: string) => unknown;
};

export class Peers implements AsyncDisposable {
	readonly #options: PeersOptions;
	readonly #server: Server;
	readonly #links = new Map<string, Link>();
	readonly #openLinks = new Set<Link>();
	readonly #tunnelLinks: TunnelLinks;
	/** Links over which this host has sent its handshake. */
	readonly #greeted = new WeakSet<Link>();
	/** Links that one end no longer needs. */
	readonly #releasedLinks = new WeakSet<Link>();
	readonly #knownPeers: KnownPeers;
	readonly #hostLists: HostLists;
	readonly #gatekeeper: Gatekeeper;
	readonly #silenceDetector: SilenceDetector;
	/** Time of the last message over each link. */
	readonly #lastMessageAt = new Map<Link, number>();
	readonly #reach: FleetReach;
	readonly #sender: Sender;
	readonly #linkEvents: LinkEvents;
	readonly #heartbeatTimer: NodeJS.Timeout;
	readonly #dialer: Dialer;
	readonly #announcer = new Announcer({
		isBatching: () => this.isLargeFleet,
		send: joined => {
			this.#announce(joined);
		},
	});

	/** Hosts whose capacity was logged as impossible. */
	readonly #impossibleCapacities = new Set<string>();
	#heartbeatCount = 0;
	#lastLoadBroadcastAt = Number.NEGATIVE_INFINITY;
	#stateAnnouncementEnd = Number.NEGATIVE_INFINITY;

	constructor(options: PeersOptions) {
		this.#options = options;
		this.#knownPeers = new KnownPeers(options.self, options.now());
		this.#hostLists = new HostLists(this.#knownPeers);
		this.#gatekeeper = new Gatekeeper({
			identification: options.identification ?? {type: 'none'}, log: options.log, now: options.now, knownPeers: this.#knownPeers,
		});
		this.#silenceDetector = new SilenceDetector(options.self.failureDomain);
		this.#reach = new FleetReach({
			self: options.self, seeds: options.seeds, links: this.#links, lastMessageAt: this.#lastMessageAt, knownPeers: this.#knownPeers, silenceDetector: this.#silenceDetector,
		});
		this.#sender = new Sender(options.self.failureDomain, this.#links, this.#reach);
		this.#dialer = new Dialer({
			self: options.self,
			seeds: options.seeds,
			knownPeers: this.#knownPeers,
			links: this.#links,
			isLargeFleet: () => this.isLargeFleet,
			now: options.now,
			connected: (socket, address) => {
				this.#openLink(socket, address);
			},
			release: link => {
				this.#releasedLinks.add(link);
				link.send({type: 'release'});
				link.closeAfterFlush();
			},
		});
		this.#tunnelLinks = new TunnelLinks({
			connected: (socket, address) => {
				this.#openLink(socket, address, 'tunnels');
			},
			onClosed(host) {
				options.events.tunnelLinkLost?.(host);
			},
			onOffer(from, offer) {
				options.events.tunnel?.(from, offer);
			},
			createOffer: host => options.createTunnelOffer?.(host),
		});
		this.#linkEvents = {
			authenticated: link => {
				this.#greet(link);
			},
			failed: (link, reason, detail) => {
				this.#gatekeeper.refuse(link, reason, detail);
			},
			hello: (link, hello) => {
				this.#handleHello(link, hello);
			},
			message: (link, message) => {
				this.#handleMessage(link, message);
			},
			closed: (link, reason) => {
				this.#handleClose(link, reason);
			},
		};
		this.#server = createServer(socket => {
			if (this.#gatekeeper.mayAccept(socket.remoteAddress ?? 'unknown')) {
				this.#openLink(socket, undefined);
			} else {
				socket.destroy();
			}
		});
		this.addSeeds(options.seeds);

		this.#heartbeatTimer = setInterval(() => {
			this.#heartbeat();
		}, heartbeatIntervalMs);
	}

	/** Bytes sent to peers since the start, by kind of message. */
	get sentBytes(): ReadonlyMap<Message['type'], number> {
		return this.#sender.bytes;
	}

	/** Connections refused since the start of this host, by reason. */
	get refusals(): ReadonlyMap<RefusalReason, number> {
		return this.#gatekeeper.refusals;
	}

	/** Known hosts that this one isn't to be linked with, since they are linked through relays. */
	get unlinkedHosts(): readonly Host[] {
		return this.isLargeFleet ? this.#knownPeers.reachableHosts.filter(({name}) => !this.#links.has(name)) : [];
	}

	/** Hosts that are linked at present. */
	get hosts(): readonly Host[] {
		return this.#reach.hosts;
	}

	/** Number of hosts of the fleet known here, this one included; hosts that are cut off still count. */
	get fleetSize(): number {
		return this.#reach.fleetSize;
	}

	/** Whether hosts are linked through the relays of their failure domains. */
	get isLargeFleet(): boolean {
		return this.#reach.isLargeFleet;
	}

	/** Names of the relays of this host's failure domain in order of preference, among this host and the linked ones. */
	get relays(): readonly string[] {
		return this.#reach.relays;
	}

	/** Number of failure domains of the known hosts, linked or not, and this one. */
	get domainCount(): number {
		return this.#reach.domainCount;
	}

	/** Whether this host has met another one of the fleet, or has no other address to dial. */
	get isFleetKnown(): boolean {
		return this.#reach.isFleetKnown;
	}

	/** Number of hosts of this failure domain, this one included, whose load updates arrive here. */
	get domainHostCount(): number {
		return this.#reach.domainHostCount;
	}

	/**
	 * @param failureDomain - Failure domain.
	 * @returns Number of the known hosts of the domain, without this one, that were alive a short time ago.
	 */
	countRecentDomainHosts(failureDomain: string): number {
		return this.#reach.countRecentDomainHosts(failureDomain, this.#options.now());
	}

	/**
	 * @param failureDomain - Failure domain.
	 * @returns Names of the known hosts of the domain, linked or not, without this one.
	 */
	listDomainHosts(failureDomain: string): readonly string[] {
		return this.#reach.listDomainHosts(failureDomain);
	}

	/**
	 * @param now - Monotonic time in milliseconds.
	 * @returns Share of the fleet whose load updates arrive here without delay, this host included; above 0 and at most 1.
	 */
	computeVisibleShare(now: number): number {
		return this.#reach.computeVisibleShare(now);
	}

	/**
	 * @param now - Monotonic time in milliseconds.
	 * @returns Milliseconds since the last message of the relay that forwards load updates to this host; undefined if none does, or if it has
	 * been silent for so long that the visible share doesn't include it.
	 */
	computeRelaySilence(now: number): number | undefined {
		const link = this.isLargeFleet ? this.#links.get(this.relays[0] ?? '') : undefined;
		const silence = link === undefined ? undefined : now - (this.#lastMessageAt.get(link) ?? now);
		return silence === undefined || silence >= maxActiveGapMs ? undefined : silence;
	}

	/**
	 * @param now - Monotonic time in milliseconds.
	 * @returns Failure domains whose hosts are all silent, as observed here or by a relay of this domain.
	 */
	unreachableDomains(now: number): ReadonlySet<string> {
		return this.#reach.unreachableDomains(now);
	}

	/** Listens for connections and starts to dial peers. */
	async start(): Promise<void> {
		const {host, port} = this.#options.self.address;
		this.#server.listen(port, host);
		await once(this.#server, 'listening');
		this.#dialer.start();
	}

	broadcast(message: Message): void {
		this.#sender.broadcast(message);
	}

	/** Sends a summary of this host's state to all linked hosts now, and with each heartbeat for a while. */
	announceState(): void {
		this.#stateAnnouncementEnd = this.#options.now() + stateAnnouncementMs;
		this.broadcast({type: 'heartbeat', state: this.#options.summarizeState?.()});
	}

	/** Sends every linked host its offer of tunnels. */
	offerTunnels(): void {
		for (const host of this.#links.keys()) {
			this.send(host, {type: 'heartbeat', tunnel: this.#options.createTunnelOffer?.(host)});
		}

		this.#tunnelLinks.announceOffer();
	}

	/**
	 * Opens a link for tunnels only.
	 *
	 * @param host - Known host that isn't linked.
	 */
	dialForTunnels(host: Host): void {
		this.#tunnelLinks.dial(host);
	}

	/**
	 * @param host - Name of a host whose link for tunnels isn't needed any more.
	 */
	releaseTunnelLink(host: string): void {
		this.#tunnelLinks.release(host);
	}

	/** Records that a load update was just sent to every linked host: it replaces the next heartbeat. */
	recordLoadBroadcast(): void {
		this.#lastLoadBroadcastAt = this.#options.now();
	}

	/**
	 * @param message - Message for the first relay of each other failure domain.
	 */
	sendToOtherDomains(message: Message): void {
		this.#sender.sendToOtherDomains(message);
	}

	/**
	 * @param message - Message for the other hosts of this failure domain.
	 * @param delay - Milliseconds that the message may wait to be sent together with others.
	 */
	sendToDomain(message: Message, delay = 0): void {
		this.#sender.sendToDomain(message, delay);
	}

	/**
	 * @param hosts - Names of linked hosts.
	 * @param message - Message, which is encoded once.
	 * @param delay - Milliseconds that the message may wait to be sent together with others.
	 */
	sendToHosts(hosts: readonly string[], message: Message, delay = 0): void {
		this.#sender.sendToHosts(hosts, message, delay);
	}

	/**
	 * Sends the messages that wait for a host.
	 *
	 * @param host - Name of the host.
	 */
	flush(host: string): void {
		this.#sender.flush(host);
	}

	/**
	 * @param host - Name of a host; nothing is sent if it isn't linked.
	 * @param message - Message.
	 */
	send(host: string, message: Message): void {
		this.#sender.send(host, message);
	}

	/**
	 * @param host - Name of a host; nothing is sent if it isn't linked.
	 * @param frame - Message, encoded once for several hosts.
	 * @param type - Its kind.
	 */
	sendFrame(host: string, frame: Uint8Array, type: Message['type']): void {
		this.#sender.sendFrame(host, frame, type);
	}

	/**
	 * @param seeds - Seed peers of the current settings.
	 */
	addSeeds(seeds: readonly Address[]): void {
		for (const seed of seeds) {
			this.#knownPeers.add(seed, undefined, this.#options.now());
		}
	}

	/**
	 * @param keys - Fleet keys of the current settings, for new links.
	 */
	updateKeys(keys: readonly string[]): void {
		this.#gatekeeper.updateKeys(keys);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		clearInterval(this.#heartbeatTimer);
		this.#announcer[Symbol.dispose]();
		this.#dialer[Symbol.dispose]();
		this.#tunnelLinks[Symbol.dispose]();
		const closed = once(this.#server, 'close');
		this.#server.close();
		for (const link of this.#openLinks) {
			link.close('shut down');
		}

		await closed;
	}

	#heartbeat(): void {
		const now = this.#options.now();
		this.#heartbeatCount++;
		const knownHosts = this.#heartbeatCount % heartbeatsPerHostSample === 0 ? this.#nextHostSample() : undefined;
		const state = now < this.#stateAnnouncementEnd ? this.#options.summarizeState?.() : undefined;
		const isCoveredByLoad = now - this.#lastLoadBroadcastAt < heartbeatIntervalMs && knownHosts === undefined && state === undefined && !this.isLargeFleet;
		if (!isCoveredByLoad) {
			const groups = this.#options.countGroups?.();
			const {hostCount} = this.#hostLists;
			this.broadcast({
				type: 'heartbeat', known: knownHosts, silent: this.isLargeFleet ? [...this.#reach.findSilentDomains(now)] : undefined, state, ...(groups === undefined ? {} : {groups}), ...(hostCount === undefined ? {} : {hostCount}),
			});
			this.#completeHostLists();
		}

		for (const link of this.#openLinks) {
			if (now - (this.#lastMessageAt.get(link) ?? now) > silenceTimeoutMs) {
				link.close('silent');
			}
		}

		this.#tunnelLinks.heartbeat();
		this.#dialer.updateLinks();
	}

	/** Sends a part of the known hosts, as a relay, to peers that know fewer. */
	#completeHostLists(): void {
		const part = this.isLargeFleet && this.relays.includes(this.#options.self.name) ? this.#hostLists.nextPart(this.#links.values()) : undefined;
		if (part !== undefined) {
			this.#sender.sendToLinks(part.message, link => part.links.has(link));
		}
	}

	/** A sample of the linked hosts, which rotates with each call. */
	#nextHostSample(): Host[] {
		const all = this.hosts;
		const start = (this.#heartbeatCount * hostSampleSize) % Math.max(all.length, 1);
		return [...all, ...all].slice(start, start + Math.min(hostSampleSize, all.length));
	}

	#openLink(socket: Socket, dialledAddress: Address | undefined, purpose?: LinkPurpose): void {
		const authentication = this.#gatekeeper.createAuthentication(dialledAddress !== undefined);
		const link = new Link(socket, dialledAddress !== undefined, this.#linkEvents, {dialledAddress, authentication, purpose});
		this.#openLinks.add(link);
		this.#gatekeeper.addPending(link);
		this.#lastMessageAt.set(link, this.#options.now());
		if (authentication === undefined) {
			this.#greet(link);
		}
	}

	/** Sends the handshake. In a large fleet, a host that was dialled waits for that of the other, which says whether to name known hosts. */
	#greet(link: Link): void {
		if (this.#greeted.has(link) || (this.isLargeFleet && !link.isDialled && link.hello === undefined)) {
			return;
		}

		this.#greeted.add(link);
		const {identity: fleet} = this.#gatekeeper;
		if (link.purpose === 'tunnels') {
			this.#sender.sendOver(link, {
				type: 'hello', from: this.#options.self, known: [], fleet, purpose: 'tunnels',
			});
			return;
		}

		const groups = this.#options.countGroups?.();
		const {hostCount} = this.#hostLists;
		this.#sender.sendOver(link, {
			type: 'hello', from: this.#options.self, known: [...this.#hostLists.sample], state: this.#options.summarizeState?.(), fleet, ...(groups === undefined ? {} : {groups}), ...(hostCount === undefined ? {} : {hostCount}),
		});
	}

	#handleHello(link: Link, hello: Hello): void {
		if (!this.#gatekeeper.admit(link, hello)) {
			return;
		}

		this.#greet(link);
		if (link.purpose === 'tunnels') {
			this.#tunnelLinks.add(link);
			return;
		}

		const {from, known, state, hostCount} = hello;
		this.#hostLists.record(link, hostCount);
		const now = this.#options.now();
		const areNew = known.map(host => this.#knownPeers.add(host.address, host, now));
		this.#knownPeers.markAlive(from, now);
		if (areNew.includes(true)) {
			this.#dialer.updateLinks();
		}

		const previous = this.#links.get(from.name);
		if (previous !== undefined && previous !== link && !this.#isReplacement(link, previous, from)) {
			link.close('linked already');
			return;
		}

		this.#links.set(from.name, link);
		this.#reach.noteLinksChanged();
		this.#silenceDetector.recordMessage(from.failureDomain, now);
		if (previous !== undefined) {
			this.#replace(previous, from);
		}

		this.#options.log.write({
			event: 'peer-linked', peer: from.name, domain: from.failureDomain, hosts: this.#reach.maxLinkedHosts,
		});
		this.#noteCapacity(from);
		this.#announcer.add(from);
		this.#options.events.groups?.(from, hello.groups);
		this.#options.events.joined(from, message => {
			this.#sender.sendOver(link, message);
		});
		this.#handleSummary(from, state);
	}

	/** Logs once that a host can't become a relay because of its capacity. */
	#noteCapacity({name, capacity}: Host): void {
		if (isPossibleCapacity(capacity) || this.#impossibleCapacities.has(name) || this.#impossibleCapacities.size >= maxLoggedCapacities) {
			return;
		}

		this.#impossibleCapacities.add(name);
		this.#options.log.write({
			event: 'peer-capacity-ignored', peer: name, capacity, reason: 'not a number of cores above 0 and up to 1024',
		}, 'warn');
	}

	#handleSummary(from: Host, summary: StateSummary | undefined): void {
		if (summary !== undefined) {
			this.#options.events.summary?.(from, summary);
		}
	}

	/** Announces new hosts to the linked ones: hosts that start together discover each other through their seeds. */
	#announce(joined: readonly Host[]): void {
		const isOnlyNewcomer = (link: Link) => joined.length === 1 && link.hello?.from.name === joined[0]!.name;
		this.#sender.sendToLinks({type: 'heartbeat', known: [...joined]}, link => !isOnlyNewcomer(link));
	}

	/** The other end uses the former link until the answer to its own dial has arrived, and would lose this host if it were closed before. */
	#replace(previous: Link, from: Host): void {
		if (previous.hello?.from.started === from.started) {
			setTimeout(() => {
				previous.close('replaced');
			}, replacedLinkMs).unref();
			return;
		}

		this.#options.events.lost(from, 'started anew');
		previous.close('replaced');
	}

	/** Both ends keep the link that was dialled by the host with the smaller name, unless the other host has restarted. */
	#isReplacement(link: Link, previous: Link, from: Host): boolean {
		if (previous.hello?.from.started !== from.started) {
			return true;
		}

		const isSmaller = this.#options.self.name < from.name;
		return link.isDialled === isSmaller && previous.isDialled !== isSmaller;
	}

	#handleMessage(link: Link, message: Message): void {
		const from = link.hello?.from;
		if (from === undefined) {
			link.close('no hello');
			return;
		}

		const now = this.#options.now();
		this.#lastMessageAt.set(link, now);
		if (link.purpose === 'tunnels') {
			this.#tunnelLinks.handleMessage(link, message);
			return;
		}

		this.#silenceDetector.recordMessage(from.failureDomain, now);
		if (message.type === 'release') {
			this.#releasedLinks.add(link);
		} else if (message.type === 'heartbeat') {
			this.#hostLists.record(link, message.hostCount);
			this.#handleHeartbeat(from, message, now);
		} else {
			this.#options.events.message(from, message);
		}
	}

	/** The hosts that a peer is linked with are alive; a domain that is silent for a relay is out of reach from here as well. */
	#handleHeartbeat(from: Host, {
		known = [], others = [], silent, state, groups, tunnel, linksLost,
	}: Heartbeat, now: number): void {
		this.#handleSummary(from, state);
		if (tunnel !== undefined) {
			this.#options.events.tunnel?.(from, tunnel);
		}

		if (linksLost !== undefined) {
			this.#options.events.linksLost?.(from, linksLost);
		}

		const areNew = [...known.map(host => this.#knownPeers.markAlive(host, now)), ...others.map(host => this.#knownPeers.add(host.address, host, now))];
		if (areNew.includes(true)) {
			this.#dialer.updateLinks();
		}

		// Only the periodic heartbeats of a large fleet name silent domains, and the groups along with them.
		if (silent !== undefined) {
			this.#options.events.groups?.(from, groups);
		}

		if (from.failureDomain === this.#options.self.failureDomain && silent !== undefined && silent.length > 0) {
			this.#silenceDetector.recordReport(silent, now);
		}
	}

	#handleClose(link: Link, reason: string): void {
		this.#openLinks.delete(link);
		this.#gatekeeper.forget(link);
		this.#lastMessageAt.delete(link);
		if (link.purpose === 'tunnels') {
			this.#tunnelLinks.handleClose(link);
			return;
		}

		const from = link.hello?.from;
		if (from === undefined || this.#links.get(from.name) !== link) {
			return;
		}

		this.#links.delete(from.name);
		this.#reach.noteLinksChanged();
		if (reason !== 'silent' && !this.hosts.some(host => host.failureDomain === from.failureDomain)) {
			this.#silenceDetector.recordLastClose(from.failureDomain);
		}

		if (this.#releasedLinks.has(link)) {
			this.#options.log.write({event: 'peer-released', peer: from.name});
		} else {
			this.#options.log.write({event: 'peer-lost', peer: from.name, reason}, 'warn');
		}

		this.#options.events.lost(from, this.#releasedLinks.has(link) ? 'released' : reason);
	}
}

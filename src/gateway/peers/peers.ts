/** Links to the other hosts: found through seeds and what they tell, dialled again when they are lost. */
import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';
import {type Address} from '../../core/index.js';
import {type Log} from '../../entry/logs.js';
import {Acquaintances} from './acquaintances.js';
import {Dialling} from './dialling.js';
import {Link, type LinkEvents} from './link.js';
import {
	encode, type Heartbeat, type Host, type Message,
} from './messages.js';
import {Silence} from './silence.js';
import {relaysOf, smallFleet} from './topology.js';

/** Milliseconds between heartbeats, and between looks for hosts to dial. */
const heartbeatInterval = 500;

/**
 * Milliseconds of silence after which a link is given up: four heartbeats. A socket's own timeout does not serve, as what is
 * written to a silent peer counts as activity too.
 */
const silenceTimeout = 2000;

/** One heartbeat in so many tells of other hosts: a host that two others lost sight of is found again within seconds. */
const beatsPerIntroduction = 8;

/** Hosts named in a heartbeat that tells of some: all are heard of within a minute. */
const namedHosts = 6;

export type PeerEvents = {
	readonly joined: (host: Host, send: (message: Message) => void) => void;
	readonly message: (from: Host, message: Message) => void;
	/** A host is out of reach, or has started anew. */
	readonly lost: (host: Host, reason: string) => void;
};

export type PeersOptions = {
	readonly self: Host;
	readonly seeds: readonly Address[];
	readonly log: Pick<Log, 'write'>;
	readonly now: () => number;
	readonly events: PeerEvents;
};

export class Peers implements AsyncDisposable {
	readonly #options: PeersOptions;
	readonly #server: Server;
	readonly #links = new Map<string, Link>();
	readonly #all = new Set<Link>();
	/** Links that one end needs no more. */
	readonly #released = new WeakSet<Link>();
	readonly #acquaintances: Acquaintances;
	readonly #silence: Silence;
	/** Last word over each link. */
	readonly #heardAt = new Map<Link, number>();
	readonly #linkEvents: LinkEvents;
	readonly #timer: NodeJS.Timeout;
	readonly #dialling: Dialling;
	#beats = 0;
	#lastLoad = Number.NEGATIVE_INFINITY;
	/** Those of the hosts linked now; undefined until asked for. */
	#relays: readonly string[] | undefined;
	#most = 1;

	/**
	 * @param options - Who this host is and who is told.
	 */
	constructor(options: PeersOptions) {
		this.#options = options;
		this.#acquaintances = new Acquaintances(options.self, options.now());
		this.#silence = new Silence(options.self.failureDomain);
		this.#dialling = new Dialling({
			self: options.self,
			seeds: options.seeds,
			acquaintances: this.#acquaintances,
			links: this.#links,
			isLargeFleet: () => this.isLargeFleet,
			now: options.now,
			connected: socket => {
				this.#attach(socket, true);
			},
			release: link => {
				this.#released.add(link);
				link.send({type: 'release'});
				link.finish();
			},
		});
		this.#linkEvents = {
			hello: (link, hello) => {
				this.#greeted(link, hello.from, hello.known);
			},
			message: (link, message) => {
				this.#heard(link, message);
			},
			closed: (link, reason) => {
				this.#closed(link, reason);
			},
		};
		this.#server = createServer(socket => {
			this.#attach(socket, false);
		});
		this.addSeeds(options.seeds);

		this.#timer = setInterval(() => {
			this.#beat();
		}, heartbeatInterval);
	}

	/** Hosts linked now. */
	get hosts(): readonly Host[] {
		return [...this.#links.values()].map(link => link.greeting!.from);
	}

	/** Hosts of the fleet, this one included, as far as is known: those cut off still count. */
	get fleetSize(): number {
		return Math.max(this.#most, this.#acquaintances.knownCount + 1);
	}

	/** Whether hosts are linked through the relays of their failure domains. */
	get isLargeFleet(): boolean {
		return this.fleetSize > smallFleet;
	}

	/** Names of the relays of this host's failure domain, as far as they are linked, the first choice first; it may be one. */
	get relays(): readonly string[] {
		const {self} = this.#options;
		this.#relays ??= relaysOf(self.failureDomain, [self, ...this.hosts]).map(host => host.name);
		return this.#relays;
	}

	/**
	 * @param failureDomain - Failure domain.
	 * @returns Names of its hosts, linked or not, this one excluded.
	 */
	hostsOf(failureDomain: string): readonly string[] {
		return this.#acquaintances.known.filter(host => host.failureDomain === failureDomain).map(host => host.name);
	}

	/**
	 * Hosts of this failure domain, this one included, whose news come here: all that are known through a relay, and those that are linked
	 * with a relay. A host that has lost its links knows of itself alone.
	 */
	get domainHosts(): number {
		const {name, failureDomain} = this.#options.self;
		return this.relays[0] === name
			? this.hosts.filter(host => host.failureDomain === failureDomain).length + 1
			: this.hostsOf(failureDomain).length + 1;
	}

	/**
	 * @param now - Monotonic time in milliseconds.
	 * @returns Failure domains whose every host has fallen silent, here or at a relay of this domain.
	 */
	unreachableDomains(now: number): ReadonlySet<string> {
		return new Set([...this.#silentDomains(now), ...this.#silence.reported(now)]);
	}

	/** Starts to listen and to dial. */
	async start(): Promise<void> {
		const {host, port} = this.#options.self.address;
		this.#server.listen(port, host);
		await once(this.#server, 'listening');
		this.#dialling.start();
	}

	/**
	 * @param message - Message for every linked host.
	 */
	broadcast(message: Message): void {
		this.#writeAll(message, [...this.#links.values()]);
	}

	/** Notes that news of load went to every linked host just now: they say as much as a heartbeat. */
	noteLoad(): void {
		this.#lastLoad = this.#options.now();
	}

	/**
	 * @param message - Message for one relay of each other failure domain.
	 */
	tellForeign(message: Message): void {
		this.#writeAll(message, this.#foreignRelays());
	}

	/**
	 * @param message - Message for the other hosts of this failure domain.
	 * @param delay - Milliseconds that it may wait for others to the same host.
	 */
	tellDomain(message: Message, delay = 0): void {
		const {failureDomain} = this.#options.self;
		this.#writeAll(message, [...this.#links.values()].filter(link => link.greeting?.from.failureDomain === failureDomain), delay);
	}

	/**
	 * Sends what waits for a host.
	 *
	 * @param host - Name of a host.
	 */
	flush(host: string): void {
		this.#links.get(host)?.flush();
	}

	/**
	 * @param host - Name of a linked host; nothing is sent if it is linked no more.
	 * @param message - Message for it.
	 */
	send(host: string, message: Message): void {
		this.#links.get(host)?.send(message);
	}

	/**
	 * @param host - Name of a linked host; nothing is sent if it is linked no more.
	 * @param frame - Message for it, encoded once for several.
	 */
	sendFrame(host: string, frame: Uint8Array): void {
		this.#links.get(host)?.write(frame);
	}

	/**
	 * @param seeds - Peers to begin with, as settings name them now.
	 */
	addSeeds(seeds: readonly Address[]): void {
		for (const seed of seeds) {
			this.#acquaintances.meet(seed, undefined, this.#options.now());
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		clearInterval(this.#timer);
		this.#dialling[Symbol.dispose]();
		const closed = once(this.#server, 'close');
		this.#server.close();
		for (const link of this.#all) {
			link.close('shut down');
		}

		await closed;
	}

	#beat(): void {
		const now = this.#options.now();
		this.#beats++;
		const known = this.#beats % beatsPerIntroduction === 0 ? this.#someHosts() : undefined;
		const isNews = now - this.#lastLoad < heartbeatInterval && known === undefined && !this.isLargeFleet;
		if (!isNews) {
			this.broadcast({type: 'heartbeat', known, silent: this.isLargeFleet ? [...this.#silentDomains(now)] : undefined});
		}

		for (const link of this.#all) {
			if (now - (this.#heardAt.get(link) ?? now) > silenceTimeout) {
				link.close('silent');
			}
		}

		this.#dialling.look();
	}

	/**
	 * Failure domains whose every host that was linked with this one has fallen silent. In a large fleet only relays are linked with
	 * other domains for long: another host would take one that fell silent as they met for silent for ever.
	 */
	#silentDomains(now: number): readonly string[] {
		if (this.isLargeFleet && !this.relays.includes(this.#options.self.name)) {
			return [];
		}

		return this.#silence.observed(now);
	}

	/** The first linked relay of each other failure domain. */
	#foreignRelays(): readonly Link[] {
		const {hosts} = this;
		const domains = new Set(hosts.map(host => host.failureDomain));
		domains.delete(this.#options.self.failureDomain);
		return [...domains].flatMap(domain => {
			const [first] = relaysOf(domain, hosts);
			return first === undefined ? [] : this.#links.get(first.name) ?? [];
		});
	}

	/** Some known hosts, others each time. */
	#someHosts(): Host[] {
		const all = this.hosts;
		const start = (this.#beats * namedHosts) % Math.max(all.length, 1);
		return [...all, ...all].slice(start, start + Math.min(namedHosts, all.length));
	}

	#writeAll(message: Message, links: readonly Link[], delay = 0): void {
		if (links.length === 0) {
			return;
		}

		const bytes = encode(message);
		for (const link of links) {
			if (delay > 0) {
				link.writeWithin(bytes, delay);
			} else {
				link.write(bytes);
			}
		}
	}

	#attach(socket: Socket, isDialled: boolean): void {
		const link = new Link(socket, isDialled, this.#linkEvents);
		this.#all.add(link);
		this.#heardAt.set(link, this.#options.now());
		link.send({type: 'hello', from: this.#options.self, known: [...this.#acquaintances.known]});
	}

	#greeted(link: Link, from: Host, known: readonly Host[]): void {
		const now = this.#options.now();
		const met = known.map(host => this.#acquaintances.meet(host.address, host, now));
		this.#acquaintances.revive(from, now);
		if (met.includes(true)) {
			this.#dialling.look();
		}

		const before = this.#links.get(from.name);
		if (before !== undefined && before !== link && !this.#replaces(link, before, from)) {
			link.close('linked already');
			return;
		}

		this.#links.set(from.name, link);
		this.#relays = undefined;
		this.#most = Math.max(this.#most, this.#links.size + 1);
		this.#silence.heard(from.failureDomain, now);
		if (before !== undefined && before.greeting?.from.started !== from.started) {
			this.#options.events.lost(from, 'started anew');
		}

		before?.close('replaced');
		this.#options.log.write({
			event: 'peer-linked', peer: from.name, domain: from.failureDomain, hosts: this.#most,
		});
		this.#introduce(from);
		this.#options.events.joined(from, message => {
			link.send(message);
		});
	}

	/** Tells the other hosts of one that has come: hosts that start together hear of each other from their seeds this way. */
	#introduce(host: Host): void {
		const others = [...this.#links.values()].filter(link => link.greeting?.from.name !== host.name);
		this.#writeAll({type: 'heartbeat', known: [host]}, others);
	}

	/** Both ends keep the link that the host with the smaller name dialled, unless the other host has started anew. */
	#replaces(link: Link, before: Link, from: Host): boolean {
		if (before.greeting?.from.started !== from.started) {
			return true;
		}

		const isSmaller = this.#options.self.name < from.name;
		return link.isDialled === isSmaller && before.isDialled !== isSmaller;
	}

	#heard(link: Link, message: Message): void {
		const from = link.greeting?.from;
		if (from === undefined) {
			link.close('no hello');
			return;
		}

		const now = this.#options.now();
		this.#heardAt.set(link, now);
		this.#silence.heard(from.failureDomain, now);
		if (message.type === 'release') {
			this.#released.add(link);
		} else if (message.type === 'heartbeat') {
			this.#takeHeartbeat(from, message, now);
		} else {
			this.#options.events.message(from, message);
		}
	}

	/** Hosts that a peer is linked with are alive; domains that a relay hears nothing of are out of reach from here as well. */
	#takeHeartbeat(from: Host, {known, silent}: Heartbeat, now: number): void {
		const met = known?.map(host => this.#acquaintances.revive(host, now));
		if (met?.includes(true) === true) {
			this.#dialling.look();
		}

		if (from.failureDomain === this.#options.self.failureDomain && silent !== undefined && silent.length > 0) {
			this.#silence.report(silent, now);
		}
	}

	#closed(link: Link, reason: string): void {
		this.#all.delete(link);
		this.#heardAt.delete(link);
		const from = link.greeting?.from;
		if (from === undefined || this.#links.get(from.name) !== link) {
			return;
		}

		this.#links.delete(from.name);
		this.#relays = undefined;
		if (reason !== 'silent' && !this.hosts.some(host => host.failureDomain === from.failureDomain)) {
			this.#silence.closed(from.failureDomain);
		}

		if (this.#released.has(link)) {
			this.#options.log.write({event: 'peer-released', peer: from.name});
		} else {
			this.#options.log.write({event: 'peer-lost', peer: from.name, reason}, 'warn');
		}

		this.#options.events.lost(from, this.#released.has(link) ? 'released' : reason);
	}
}

/** Links to the other hosts: found through seeds and what they tell, dialled again when they are lost. */
import {once} from 'node:events';
import {
	createConnection, createServer, type Server, type Socket,
} from 'node:net';
import {type Address} from '../../core/index.js';
import {hashText, rank} from '../../core/utils/hashes.js';
import {type Log} from '../../entry/logs.js';
import {Link, type LinkEvents} from './link.js';
import {
	encode, type Host, type LoadNews, type Message,
} from './messages.js';

/** Milliseconds between heartbeats, and between looks for hosts to dial. */
const heartbeatInterval = 500;

/** Milliseconds to wait before a host is dialled again: at first, and at most after it failed several times. */
const shortestPause = 400;
const longestPause = 4000;

/** Milliseconds to make a connection. */
const connectTimeout = 800;

/** Milliseconds that a host which can't be reached is remembered. */
const memory = 60_000;

/**
 * Milliseconds of silence after which a link is given up: four heartbeats. A socket's own timeout does not serve, as what is
 * written to a silent peer counts as activity too.
 */
const silenceTimeout = 2000;

/**
 * Milliseconds without a word from any host of a failure domain after which the domain is taken to be cut off, where its
 * last link was not closed: a process that ends closes its connections, a cut says nothing. Two lost heartbeats and some.
 */
const domainSilence = 1300;

/**
 * Hosts up to which each is linked with each other one and tells all of them of its load. Beyond it hosts are linked within
 * their failure domain and with a few hosts of each other one, and tell one of these, which passes it on: 70 hosts that were
 * all linked sent 4.4 MB a second between domains. To tell the own domain alone cost 0.16 of a day's worth.
 */
const smallFleet = 14;

/** Links that a host of a large fleet dials to each other failure domain. */
const foreignLinks = 2;

/** One heartbeat in so many tells of other hosts: a host that two others lost sight of is found again within seconds. */
const beatsPerIntroduction = 8;

/** Failed dials in a row after which another host of the same failure domain is tried in place of one. */
const mostFailures = 2;

/** Hosts named in a heartbeat that tells of some: all are heard of within a minute. */
const namedHosts = 6;

type Acquaintance = {
	readonly address: Address;
	host?: Host;
	/** Monotonic times in milliseconds. */
	seen: number;
	nextDial: number;
	failures: number;
	isDialling: boolean;
};

export type PeerEvents = {
	readonly joined: (host: Host, send: (message: Message) => void) => void;
	readonly message: (from: Host, message: Message) => void;
	/** A host is out of reach, or has started anew. */
	readonly lost: (host: Host, reason: string) => void;
};

export type PeersOptions = {
	readonly self: Host;
	readonly seeds: readonly Address[];
	readonly log: Log;
	readonly now: () => number;
	readonly events: PeerEvents;
};

function keyOf({host, port}: Address): string {
	return `${host}:${port}`;
}

export class Peers implements AsyncDisposable {
	readonly #options: PeersOptions;
	readonly #server: Server;
	readonly #links = new Map<string, Link>();
	readonly #all = new Set<Link>();
	/** Links that one end needs no more. */
	readonly #released = new WeakSet<Link>();
	readonly #acquaintances = new Map<string, Acquaintance>();
	/** Last word from a host of each failure domain; absent where the last link was closed by its other end. */
	readonly #domains = new Map<string, number>();
	/** Last word over each link. */
	readonly #heardAt = new Map<Link, number>();
	readonly #linkEvents: LinkEvents;
	readonly #timer: NodeJS.Timeout;
	#beats = 0;
	#lastLoad = Number.NEGATIVE_INFINITY;
	#most = 1;

	/**
	 * @param options - Who this host is and who is told.
	 */
	constructor(options: PeersOptions) {
		this.#options = options;
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
		for (const seed of options.seeds) {
			this.#meet(seed);
		}

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
		return Math.max(this.#most, this.#known().length + 1);
	}

	/** Whether hosts know the load of their own failure domain only. */
	get isLargeFleet(): boolean {
		return this.fleetSize > smallFleet;
	}

	/**
	 * @param now - Monotonic time in milliseconds.
	 * @returns Failure domains whose every host has fallen silent.
	 */
	unreachableDomains(now: number): ReadonlySet<string> {
		const silent = new Set<string>();
		for (const [domain, at] of this.#domains) {
			if (now - at > domainSilence && domain !== this.#options.self.failureDomain) {
				silent.add(domain);
			}
		}

		return silent;
	}

	/** Starts to listen and to dial. */
	async start(): Promise<void> {
		const {host, port} = this.#options.self.address;
		this.#server.listen(port, host);
		await once(this.#server, 'listening');
		this.#beat();
	}

	/**
	 * @param message - Message for every linked host.
	 */
	broadcast(message: Message): void {
		this.#writeAll(message, [...this.#links.values()]);
	}

	/**
	 * @param news - What this host sent to upstreams and what has ended.
	 */
	tellLoad(news: Omit<LoadNews, 'type'>): void {
		this.#lastLoad = this.#options.now();
		if (!this.isLargeFleet) {
			this.broadcast({type: 'load', ...news});
			return;
		}

		this.tellDomain({type: 'load', ...news});
		this.#writeAll({type: 'load', ...news, isForDomain: true}, this.#relays());
	}

	/**
	 * @param message - Message for the other hosts of this failure domain.
	 */
	tellDomain(message: Message): void {
		const {failureDomain} = this.#options.self;
		this.#writeAll(message, [...this.#links.values()].filter(link => link.greeting?.from.failureDomain === failureDomain));
	}

	/**
	 * @param host - Name of a linked host; nothing is sent if it is linked no more.
	 * @param message - Message for it.
	 */
	send(host: string, message: Message): void {
		this.#links.get(host)?.send(message);
	}

	/**
	 * @param seeds - Peers to begin with, as settings name them now.
	 */
	addSeeds(seeds: readonly Address[]): void {
		for (const seed of seeds) {
			this.#meet(seed);
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		clearInterval(this.#timer);
		const closed = once(this.#server, 'close');
		this.#server.close();
		for (const link of this.#all) {
			link.close('shut down');
		}

		await closed;
	}

	#meet(address: Address, host?: Host): void {
		const key = keyOf(address);
		if (key === keyOf(this.#options.self.address)) {
			return;
		}

		const known = this.#acquaintances.get(key);
		if (known !== undefined) {
			known.host ??= host;
			return;
		}

		this.#acquaintances.set(key, {
			address, host, seen: this.#options.now(), nextDial: 0, failures: 0, isDialling: false,
		});
	}

	#beat(): void {
		const now = this.#options.now();
		this.#beats++;
		const known = this.#beats % beatsPerIntroduction === 0 ? this.#someHosts() : undefined;
		// News of load say as much as a heartbeat: among 70 hosts they spare most of 140 messages a second and host.
		const isNews = now - this.#lastLoad < heartbeatInterval && known === undefined && !this.isLargeFleet;
		if (!isNews) {
			this.broadcast({type: 'heartbeat', known});
		}

		for (const link of this.#all) {
			if (now - (this.#heardAt.get(link) ?? now) > silenceTimeout) {
				link.close('silent');
			}
		}

		const wanted = this.#wanted();
		for (const [key, each] of this.#acquaintances) {
			this.#consider(key, each, wanted, now);
		}
	}

	/** Other hosts whose name and place are known. */
	#known(): readonly Host[] {
		return [...this.#acquaintances.values()].flatMap(each => each.host ?? []);
	}

	/** One linked host of each other failure domain. */
	#relays(): readonly Link[] {
		const found = new Map<string, Link>();
		for (const link of this.#links.values()) {
			const domain = link.greeting?.from.failureDomain;
			if (domain !== undefined && domain !== this.#options.self.failureDomain && !found.has(domain) && !this.#released.has(link)) {
				found.set(domain, link);
			}
		}

		return [...found.values()];
	}

	/** Some known hosts, others each time. */
	#someHosts(): Host[] {
		const all = this.hosts;
		const start = (this.#beats * namedHosts) % Math.max(all.length, 1);
		return [...all, ...all].slice(start, start + Math.min(namedHosts, all.length));
	}

	/** Keys of the hosts to be linked with; undefined where that is everyone. */
	#wanted(): ReadonlySet<string> | undefined {
		if (!this.isLargeFleet) {
			return undefined;
		}

		const {self} = this.#options;
		const keys = new Set<string>();
		const foreign = new Map<string, number>();
		const reachable = [...this.#acquaintances.values()].filter(each => each.failures < mostFailures);
		for (const {member} of rank(hashText(self.name), reachable.map(member => ({member, hash: hashText(keyOf(member.address))})))) {
			const domain = member.host?.failureDomain;
			const linked = foreign.get(domain ?? '') ?? 0;
			if (domain === undefined || domain === self.failureDomain || linked < foreignLinks) {
				keys.add(keyOf(member.address));
				foreign.set(domain ?? '', linked + 1);
			}
		}

		return keys;
	}

	#writeAll(message: Message, links: readonly Link[]): void {
		if (links.length === 0) {
			return;
		}

		const bytes = encode(message);
		for (const link of links) {
			link.write(bytes);
		}
	}

	#consider(key: string, each: Acquaintance, wanted: ReadonlySet<string> | undefined, now: number): void {
		const isWanted = wanted === undefined || wanted.has(key);
		const link = each.host === undefined ? undefined : this.#links.get(each.host.name);
		if (link !== undefined) {
			each.seen = now;
			if (!isWanted && link.isDialled) {
				this.#released.add(link);
				link.send({type: 'release'});
				link.finish();
			}

			return;
		}

		if (!isWanted) {
			return;
		}

		const isSeed = this.#options.seeds.some(seed => keyOf(seed) === key);
		if (!isSeed && now - each.seen > memory) {
			this.#acquaintances.delete(key);
		} else if (!each.isDialling && now >= each.nextDial) {
			this.#dial(each);
		}
	}

	#dial(each: Acquaintance): void {
		each.isDialling = true;
		const socket = createConnection({host: each.address.host, port: each.address.port});
		const timer = setTimeout(() => {
			socket.destroy();
		}, connectTimeout);
		let isConnected = false;
		socket.once('connect', () => {
			isConnected = true;
			clearTimeout(timer);
			this.#attach(socket, true);
		});
		socket.on('error', () => {
			// The close that follows counts it; a host that can't be reached is no news until it was linked.
		});
		socket.once('close', () => {
			clearTimeout(timer);
			each.isDialling = false;
			each.failures = isConnected ? 0 : each.failures + 1;
			const pause = Math.min(shortestPause * (2 ** each.failures), longestPause);
			each.nextDial = this.#options.now() + pause;
		});
	}

	#attach(socket: Socket, isDialled: boolean): void {
		const link = new Link(socket, isDialled, this.#linkEvents);
		this.#all.add(link);
		this.#heardAt.set(link, this.#options.now());
		link.send({type: 'hello', from: this.#options.self, known: [...this.#known()]});
	}

	#greeted(link: Link, from: Host, known: readonly Host[]): void {
		for (const host of known) {
			this.#meet(host.address, host);
		}

		this.#meet(from.address, from);
		const acquaintance = this.#acquaintances.get(keyOf(from.address));
		if (acquaintance !== undefined) {
			acquaintance.host = from;
		}

		const before = this.#links.get(from.name);
		if (before !== undefined && before !== link && !this.#replaces(link, before, from)) {
			link.close('linked already');
			return;
		}

		this.#links.set(from.name, link);
		this.#most = Math.max(this.#most, this.#links.size + 1);
		this.#domains.set(from.failureDomain, this.#options.now());
		if (before !== undefined && before.greeting?.from.started !== from.started) {
			this.#options.events.lost(from, 'started anew');
		}

		before?.close('replaced');
		this.#options.log.write({
			event: 'peer-linked', peer: from.name, domain: from.failureDomain, hosts: this.#most,
		});
		this.#options.events.joined(from, message => {
			link.send(message);
		});
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
		this.#domains.set(from.failureDomain, now);
		if (message.type === 'release') {
			this.#released.add(link);
		} else if (message.type === 'heartbeat') {
			for (const host of message.known ?? []) {
				this.#meet(host.address, host);
			}
		} else {
			this.#options.events.message(from, message);
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
		if (reason !== 'silent' && !this.hosts.some(host => host.failureDomain === from.failureDomain)) {
			this.#domains.delete(from.failureDomain);
		}

		if (this.#released.has(link)) {
			this.#options.log.write({event: 'peer-released', peer: from.name});
		} else {
			this.#options.log.write({event: 'peer-lost', peer: from.name, reason}, 'warn');
		}

		this.#options.events.lost(from, this.#released.has(link) ? 'released' : reason);
	}
}

/** Dials the peers that this host should be linked with, and releases the links that it no longer needs. */
import {createConnection, type Socket} from 'node:net';
import {type Address} from '../../core/index.js';
import {type KnownPeer, type KnownPeers, addressKey} from './known-peers.js';
import {type Link} from './link.js';
import {type Host} from './messages.js';
import {selectNeighbours} from './topology.js';

const connectTimeoutMs = 800;

/** Interval of link updates during startup; later, every heartbeat updates the links. */
const startupCheckIntervalMs = 50;

export type DialerOptions = {
	readonly self: Host;
	readonly seeds: readonly Address[];
	readonly knownPeers: KnownPeers;
	/** Links by the name of the peer. */
	readonly links: ReadonlyMap<string, Link>;
	readonly isLargeFleet: () => boolean;
	readonly now: () => number;
	/** Takes over the socket of a new connection. */
	readonly connected: (socket: Socket, address: Address) => void;
	/** Closes a link that this host dialled and no longer needs. */
	readonly release: (link: Link) => void;
};

export class Dialer implements Disposable {
	readonly #options: DialerOptions;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: DialerOptions) {
		this.#options = options;
	}

	/** Updates the links at once, then at short intervals during startup. */
	start(): void {
		const {knownPeers, now} = this.#options;
		this.updateLinks();
		this.#timer = setInterval(() => {
			if (knownPeers.isStartingUp(now())) {
				this.updateLinks();
			} else {
				clearInterval(this.#timer);
			}
		}, startupCheckIntervalMs);
	}

	/** Dials peers that are selected and not linked, and releases links to peers that aren't selected. */
	updateLinks(): void {
		const now = this.#options.now();
		const selected = this.#selectPeers();
		for (const [key, peer] of this.#options.knownPeers.entries) {
			this.#updateLink(peer, selected?.has(key) ?? true, now);
		}
	}

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
	}

	/** Keys of the peers to link with; undefined means all. */
	#selectPeers(): ReadonlySet<string> | undefined {
		const {self, knownPeers, isLargeFleet} = this.#options;
		return isLargeFleet() ? new Set(selectNeighbours(self, knownPeers.reachableHosts).map(host => addressKey(host.address))) : undefined;
	}

	#updateLink(peer: KnownPeer, isSelected: boolean, now: number): void {
		const {links, release, seeds, knownPeers} = this.#options;
		const isNeeded = isSelected || peer.host === undefined;
		const link = peer.host === undefined ? undefined : links.get(peer.host.name);
		if (link !== undefined) {
			peer.lastSeen = now;
			if (!isNeeded && link.isDialled) {
				release(link);
			}

			return;
		}

		if (!isNeeded) {
			return;
		}

		const isSeed = seeds.some(seed => addressKey(seed) === addressKey(peer.address));
		const isRemoved = !isSeed && knownPeers.removeExpired(peer, now);
		if (!isRemoved && !peer.isDialling && now >= peer.nextDialAt) {
			this.#dial(peer);
		}
	}

	#dial(peer: KnownPeer): void {
		peer.isDialling = true;
		const socket = createConnection({host: peer.address.host, port: peer.address.port});
		const timer = setTimeout(() => {
			socket.destroy();
		}, connectTimeoutMs);
		let isConnected = false;
		socket.once('connect', () => {
			isConnected = true;
			clearTimeout(timer);
			this.#options.connected(socket, peer.address);
		});
		socket.on('error', () => {
			// The `close` event that follows records the failure; an unreachable peer isn't reported before it was linked once.
		});
		socket.once('close', () => {
			clearTimeout(timer);
			this.#options.knownPeers.recordDial(peer, isConnected, this.#options.now());
		});
	}
}

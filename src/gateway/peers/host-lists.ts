/**
 * Decides which hosts a message names in a fleet of hundreds. A handshake names a sample of the known hosts; a relay sends the others, in
 * parts, only to hosts that state that they know fewer.
 */
import {type KnownPeers} from './known-peers.js';
import {type Link} from './link.js';
import {type Heartbeat, type Host} from './messages.js';

/** Hosts named in one message. With all 300 in every handshake, 180 hosts that started together sent 14 MB. */
export const maxNamedHosts = 64;

/** A host that still knows fewer after it was sent all hosts this many times, for example as some are gone, gets no more. */
const maxRounds = 2;

/** What a linked host knows. */
type Progress = {
	readonly hostCount: number;
	/** Hosts named to it since it, or this host, last knew more than before. */
	sent: number;
	/** Number of hosts known here then. */
	target: number;
};

export class HostLists {
	readonly #knownPeers: KnownPeers;
	readonly #progress = new WeakMap<Link, Progress>();
	/** Number of known hosts at the last call of `nextPart`. */
	#lastHostCount = 0;
	/** Whether a peer knows more hosts than one message names. */
	#isLargeElsewhere = false;

	/**
	 * @param knownPeers - Hosts that are known here.
	 */
	constructor(knownPeers: KnownPeers) {
		this.#knownPeers = knownPeers;
	}

	/** Hosts to name in a handshake. */
	get sample(): readonly Host[] {
		return this.#knownPeers.nextSample(maxNamedHosts);
	}

	/** Number of known hosts to state in a heartbeat or handshake; undefined in a fleet whose hosts fit into one message. */
	get hostCount(): number | undefined {
		const {hostCount} = this.#knownPeers;
		return this.#isLargeElsewhere || hostCount > maxNamedHosts ? hostCount : undefined;
	}

	/**
	 * @param link - Link.
	 * @param hostCount - Number of hosts that its peer knows; absent from a host that doesn't state it.
	 */
	record(link: Link, hostCount: number | undefined): void {
		if (hostCount === undefined) {
			return;
		}

		this.#isLargeElsewhere ||= hostCount > maxNamedHosts;
		const before = this.#progress.get(link);
		if (before === undefined || hostCount > before.hostCount) {
			this.#progress.set(link, {hostCount, sent: 0, target: 0});
		}
	}

	/**
	 * Called with each heartbeat. Nothing is sent while this host still learns of others, as a fleet that starts together does.
	 *
	 * @param links - Links of this host, a relay.
	 * @returns The next part of the known hosts, and the links whose peers know fewer; undefined if there are none.
	 */
	nextPart(links: Iterable<Link>): {readonly message: Heartbeat; readonly links: ReadonlySet<Link>} | undefined {
		const {hostCount} = this.#knownPeers;
		const isGrowing = hostCount > this.#lastHostCount;
		this.#lastHostCount = hostCount;
		if (isGrowing) {
			return undefined;
		}

		const behind = new Set<Link>();
		for (const link of links) {
			const progress = this.#progress.get(link);
			if (progress === undefined || progress.hostCount >= hostCount) {
				continue;
			}

			if (hostCount > progress.target) {
				progress.target = hostCount;
				progress.sent = 0;
			}

			if (progress.sent < hostCount * maxRounds) {
				progress.sent += maxNamedHosts;
				behind.add(link);
			}
		}

		return behind.size === 0 ? undefined : {message: {type: 'heartbeat', others: [...this.sample]}, links: behind};
	}
}

/** Which hosts of the fleet this host knows, and which of them it reaches over its links, directly or through a relay. */
import {type Address} from '../../core/index.js';
import {type KnownPeers} from './known-peers.js';
import {type Link} from './link.js';
import {type Host} from './messages.js';
import {type SilenceDetector} from './silence-detector.js';
import {selectRelays, maxFullMeshHosts} from './topology.js';

/** Longest gap between messages over a link whose load updates arrive without delay: two heartbeats. */
export const maxActiveGapMs = 1000;

export type FleetReachOptions = {
	readonly self: Host;
	readonly seeds: readonly Address[];
	/** Links by the name of the peer. */
	readonly links: ReadonlyMap<string, Link>;
	/** Time of the last message over each link. */
	readonly lastMessageAt: ReadonlyMap<Link, number>;
	readonly knownPeers: KnownPeers;
	readonly silenceDetector: SilenceDetector;
};

/** All times are monotonic, in milliseconds. */
export class FleetReach {
	readonly #options: FleetReachOptions;
	/** Relays among the linked hosts; undefined after the links have changed. */
	#relays: readonly string[] | undefined;
	/** Highest number of hosts linked at once, this one included. */
	#maxLinkedHosts = 1;

	constructor(options: FleetReachOptions) {
		this.#options = options;
	}

	/** Hosts that are linked at present. */
	get hosts(): readonly Host[] {
		return [...this.#options.links.values()].map(link => link.hello!.from);
	}

	/** Highest number of hosts linked at once, this one included. */
	get maxLinkedHosts(): number {
		return this.#maxLinkedHosts;
	}

	/** Number of hosts of the fleet known here, this one included; hosts that are cut off still count. */
	get fleetSize(): number {
		return Math.max(this.#maxLinkedHosts, this.#options.knownPeers.hostCount + 1);
	}

	/** Whether hosts are linked through the relays of their failure domains. */
	get isLargeFleet(): boolean {
		return this.fleetSize > maxFullMeshHosts;
	}

	/** Names of the relays of this host's failure domain in order of preference, among this host and the linked ones. */
	get relays(): readonly string[] {
		const {self} = this.#options;
		this.#relays ??= selectRelays(self.failureDomain, [self, ...this.hosts]).map(host => host.name);
		return this.#relays;
	}

	/** Number of failure domains of the known hosts, linked or not, and this one. */
	get domainCount(): number {
		const {self, knownPeers} = this.#options;
		return new Set([self, ...knownPeers.hosts].map(host => host.failureDomain)).size;
	}

	/** Whether this host has met another one of the fleet, or has no other address to dial. */
	get isFleetKnown(): boolean {
		const {self: {address}, seeds} = this.#options;
		return this.fleetSize > 1 || seeds.every(seed => seed.host === address.host && seed.port === address.port);
	}

	/**
	 * Number of hosts of this failure domain, this one included, whose load updates arrive here. These are the linked hosts if this one is
	 * the relay, and all known hosts otherwise. A host that has lost all links is its own relay and counts itself only.
	 */
	get domainHostCount(): number {
		const {name, failureDomain} = this.#options.self;
		return this.relays[0] === name
			? this.hosts.filter(host => host.failureDomain === failureDomain).length + 1
			: this.listDomainHosts(failureDomain).length + 1;
	}

	/** Records that a link was added or removed. */
	noteLinksChanged(): void {
		this.#relays = undefined;
		this.#maxLinkedHosts = Math.max(this.#maxLinkedHosts, this.#options.links.size + 1);
	}

	/**
	 * @param failureDomain - Failure domain.
	 * @returns Names of the known hosts of the domain, linked or not, without this one.
	 */
	listDomainHosts(failureDomain: string): readonly string[] {
		return this.#options.knownPeers.hosts.filter(host => host.failureDomain === failureDomain).map(host => host.name);
	}

	/**
	 * @param failureDomain - Failure domain.
	 * @param now - Time.
	 * @returns Number of the known hosts of the domain, without this one, that were alive a short time ago.
	 */
	countRecentDomainHosts(failureDomain: string, now: number): number {
		return this.#options.knownPeers.countRecent(failureDomain, now);
	}

	/**
	 * @param now - Time.
	 * @returns Share of the fleet whose load updates arrive here without delay, this host included; above 0 and at most 1.
	 */
	computeVisibleShare(now: number): number {
		const {links, lastMessageAt} = this.#options;
		const activeLinks = [...links.values()].filter(link => now - (lastMessageAt.get(link) ?? now) < maxActiveGapMs);
		return (this.#countVisibleHosts(activeLinks, now) + 1) / this.fleetSize;
	}

	/**
	 * @param now - Time.
	 * @returns Failure domains whose hosts are all silent, as observed here or by a relay of this domain.
	 */
	unreachableDomains(now: number): ReadonlySet<string> {
		return new Set([...this.findSilentDomains(now), ...this.#options.silenceDetector.getReported(now)]);
	}

	/**
	 * Finds failure domains whose linked hosts are all silent. In a large fleet, only relays keep links to other domains: any other host
	 * would count a domain as silent forever once a short-lived link to it timed out.
	 *
	 * @param now - Time.
	 * @returns The silent domains.
	 */
	findSilentDomains(now: number): readonly string[] {
		if (this.isLargeFleet && !this.relays.includes(this.#options.self.name)) {
			return [];
		}

		return this.#options.silenceDetector.getObserved(now);
	}

	/** Returns the number of other hosts whose load updates arrive over the given links, directly or through a relay. */
	#countVisibleHosts(links: readonly Link[], now: number): number {
		const {self: {name, failureDomain}, knownPeers} = this.#options;
		const linked = links.map(link => link.hello!.from);
		const [relay] = this.relays;
		if (!this.isLargeFleet) {
			return linked.length;
		}

		if (relay === name) {
			const domains = new Set(linked.map(host => host.failureDomain));
			const own = linked.filter(host => host.failureDomain === failureDomain).length;
			return own + knownPeers.hosts.filter(host => host.failureDomain !== failureDomain && domains.has(host.failureDomain)).length;
		}

		const unreachable = this.unreachableDomains(now);
		return linked.some(host => host.name === relay) ? knownPeers.hosts.filter(host => !unreachable.has(host.failureDomain)).length : linked.length;
	}
}

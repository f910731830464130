/** Groups of the hosts of this failure domain: the one of this host, and those that the others have announced. */
import {
	computeGroupCount, findHostGroup, isSameGroup, parseGroupCount, type HostGroup,
} from '../../core/gateway/registry/host-groups.js';
import {type Host} from '../peers/messages.js';
import {type Peers} from '../peers/peers.js';

/** Hosts that receive the same load updates. */
export type Receivers = {
	/** Undefined if they receive everything. */
	readonly group: HostGroup | undefined;
	readonly hosts: readonly string[];
};

export class DomainGroups {
	readonly #self: Pick<Host, 'failureDomain' | 'name'>;
	readonly #peers: Peers;
	/** Numbers of groups that linked hosts have announced; 1 is left out. */
	readonly #announced = new Map<string, number>();
	/** Known hosts of this failure domain, this one included. */
	#hosts: Set<string>;
	#count = 1;
	#own: HostGroup | undefined;

	/**
	 * @param self - This host.
	 * @param peers - Links to other hosts.
	 */
	constructor(self: Pick<Host, 'failureDomain' | 'name'>, peers: Peers) {
		this.#self = self;
		this.#peers = peers;
		this.#hosts = new Set([self.name]);
	}

	/** Number of groups of this failure domain; 1 if every host receives everything. */
	get count(): number {
		return this.#count;
	}

	/** Group of this host; undefined if it receives everything, as do relays, which forward it. */
	get own(): HostGroup | undefined {
		return this.#own;
	}

	/**
	 * Updates the groups to the known hosts of this failure domain.
	 *
	 * @returns Number of groups to announce to peers; undefined if this host is to receive everything.
	 */
	update(): number | undefined {
		const peers = this.#peers;
		const {name, failureDomain} = this.#self;
		this.#hosts = new Set([name, ...peers.listDomainHosts(failureDomain)]);
		this.#count = peers.isLargeFleet ? computeGroupCount(peers.countRecentDomainHosts(failureDomain) + 1) : 1;
		this.#own = this.#isRelay() ? undefined : findHostGroup(name, this.#count);
		return this.#own?.count;
	}

	/**
	 * @param host - Linked host.
	 * @returns Group that it has announced; undefined if it receives everything.
	 */
	findGroup(host: string): HostGroup | undefined {
		return findHostGroup(host, this.#announced.get(host) ?? 1);
	}

	/**
	 * @param host - Linked host.
	 * @param value - Number of groups that it announces; absent if it is to receive everything.
	 * @returns Whether its group differs from the previous one.
	 */
	isChange(host: string, value: unknown): boolean {
		return !isSameGroup(this.findGroup(host), findHostGroup(host, parseGroupCount(value)));
	}

	/**
	 * @param host - Linked host.
	 * @param value - Number of groups that it announces; absent if it is to receive everything.
	 */
	record(host: string, value: unknown): void {
		const count = parseGroupCount(value);
		this.#hosts.add(host);
		if (count === 1) {
			this.#announced.delete(host);
		} else {
			this.#announced.set(host, count);
		}
	}

	/**
	 * @param host - Host whose link was closed.
	 */
	forget(host: string): void {
		this.#announced.delete(host);
	}

	/**
	 * @param host - Host of any failure domain.
	 * @param group - Group of this one.
	 * @returns Whether the host belongs to the group. A relay, which receives everything, belongs to the group that it would have otherwise, so
	 * that all hosts agree also while relays change.
	 */
	isMember(host: string, group: HostGroup): boolean {
		return this.#hosts.has(host) && isSameGroup(findHostGroup(host, group.count), group);
	}

	/** Whether other hosts are linked with this one as their relay. A host that has just lost its relays would also count itself. */
	#isRelay(): boolean {
		const {relays, hosts} = this.#peers;
		const {name, failureDomain} = this.#self;
		return relays.includes(name) && hosts.filter(host => host.failureDomain === failureDomain).length > relays.length;
	}

	/** Linked hosts of this failure domain by what they receive. */
	get receivers(): readonly Receivers[] {
		const byGroup = new Map<string, {readonly group: HostGroup | undefined; readonly hosts: string[]}>();
		for (const {name, failureDomain} of this.#peers.hosts) {
			if (failureDomain !== this.#self.failureDomain) {
				continue;
			}

			const group = this.findGroup(name);
			const key = keyOf(group);
			const known = byGroup.get(key) ?? {group, hosts: []};
			known.hosts.push(name);
			byGroup.set(key, known);
		}

		return [...byGroup.values()];
	}
}

/**
 * @param group - Group; undefined for hosts that receive everything.
 * @returns Key of the group in maps.
 */
export function keyOf(group: HostGroup | undefined): string {
	return group === undefined ? 'all' : `${group.index} of ${group.count}`;
}

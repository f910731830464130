/** Removes the jobs of hosts that have failed, stopped or become unresponsive, and notifies the hosts that aren't linked with them. */
import {type Load} from '../../core/gateway/engines/load.js';
import {type Host, type HostsLost} from '../peers/messages.js';
import {type Peers} from '../peers/peers.js';

/** Time after which the jobs of an unresponsive host are removed: most answers have ended by then. */
const silentHostRetentionMs = 3000;

export type HostLossesOptions = {
	readonly failureDomain: string;
	readonly load: Load;
	readonly peers: Peers;
	readonly now: () => number;
};

export class HostLosses {
	readonly #options: HostLossesOptions;

	constructor(options: HostLossesOptions) {
		this.#options = options;
	}

	/**
	 * @param message - Hosts that a peer has lost; those that are linked with this one are alive and keep their jobs.
	 */
	handleHostsLost({hosts, audience}: HostsLost): void {
		this.#forgetUnlinked(hosts, audience);
	}

	/**
	 * Removes the jobs of a host whose link was closed: after a delay if it was unresponsive, and not at all if the link was released.
	 *
	 * @param host - Host.
	 * @param reason - `silent`, `released` or any other reason.
	 */
	handlePeerLost(host: Host, reason: string): void {
		const {peers, failureDomain} = this.#options;
		if (reason === 'released') {
			return;
		}

		if (reason !== 'silent') {
			this.#forgetHosts([host.name], 'fleet');
			return;
		}

		setTimeout(() => {
			const isOtherDomain = peers.isLargeFleet && host.failureDomain !== failureDomain;
			if (!isOtherDomain) {
				this.#forgetUnlinked([host.name], 'fleet');
			} else if (!peers.hosts.some(each => each.failureDomain === host.failureDomain)) {
				this.#forgetUnlinked(peers.listDomainHosts(host.failureDomain), 'domain');
			}
		}, silentHostRetentionMs);
	}

	#forgetUnlinked(hosts: readonly string[], audience: HostsLost['audience']): void {
		const linked = new Set(this.#options.peers.hosts.map(host => host.name));
		this.#forgetHosts(hosts.filter(name => !linked.has(name)), audience);
	}

	/** Removes the jobs of failed or stopped hosts, and notifies the hosts that aren't linked with them. */
	#forgetHosts(hosts: readonly string[], audience: HostsLost['audience']): void {
		const {load, now, peers} = this.#options;
		for (const name of hosts) {
			load.forgetHost(name, now());
		}

		if (hosts.length === 0 || audience === undefined || !peers.isLargeFleet) {
			return;
		}

		peers.sendToDomain({type: 'hosts-lost', hosts: [...hosts]});
		if (audience === 'fleet') {
			peers.sendToOtherDomains({type: 'hosts-lost', hosts: [...hosts], audience: 'domain'});
		}
	}
}

/** What this host knows of its fleet, by which it recognises peers when no key is set. */
import {
	createIdentity, hashRegistration, judgeIdentity, maxStores, type FleetIdentity, type FleetKnowledge, type Kinship,
} from '../../core/gateway/fleet-identity.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {hashText} from '../../core/utils/hashes.js';
import {type Address} from '../../core/index.js';
import {addressKey} from './known-peers.js';

export class FleetView {
	readonly #listUpstreams: () => readonly GatewayUpstream[];
	/** Hashes of the addresses at which this host and its accepted peers reach the store. */
	readonly #stores: Set<number>;

	/**
	 * @param store - Address of the store in the settings of this host.
	 * @param listUpstreams - Returns the registrations that are known at present.
	 */
	constructor(store: Address, listUpstreams: () => readonly GatewayUpstream[]) {
		this.#stores = new Set([hashText(addressKey(store))]);
		this.#listUpstreams = listUpstreams;
	}

	/** Identity to send in a handshake. */
	get identity(): FleetIdentity {
		return createIdentity(this.#knowledge);
	}

	get #knowledge(): FleetKnowledge {
		return {stores: this.#stores, upstreams: new Set(this.#listUpstreams().map(({id, address}) => hashRegistration(id, address)))};
	}

	/**
	 * @param peer - Identity in a handshake; absent from a host that sends none.
	 * @returns Whether the sender belongs to this fleet. One without an identity does.
	 */
	judge(peer: FleetIdentity | undefined): Kinship {
		return peer === undefined ? 'same' : judgeIdentity(this.#knowledge, peer);
	}

	/**
	 * Remembers at which addresses an accepted peer reaches the store, so that it is recognised after a restart while the store doesn't answer.
	 *
	 * @param peer - Identity of the peer.
	 */
	learn(peer: FleetIdentity): void {
		for (const store of peer.stores) {
			if (this.#stores.size < maxStores) {
				this.#stores.add(store);
			}
		}
	}
}

/**
 * @param identity - Identity of a host.
 * @returns Short text for the log.
 */
export function describeIdentity({stores, upstreams}: FleetIdentity): string {
	const format = (hashes: readonly number[]): string => hashes.slice(0, 3).map(hash => hash.toString(16)).join(' ');
	return `store ${format(stores)}; registrations ${format(upstreams)}`;
}

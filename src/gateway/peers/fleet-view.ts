/** What this host knows of its fleet, by which it recognises peers when no key is set. */
import {
	createIdentity, hashRegistration, judgeIdentity, maxStores, type FleetIdentity, type FleetKnowledge, type Kinship,
} from '../../core/gateway/registry/fleet-identity.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {hashText} from '../../core/utils/hashes.js';
import {type Address} from '../../core/index.js';
import {addressKey} from './known-peers.js';

/** Registrations that are known at present. */
export type RegisteredUpstreams = {
	readonly all: readonly GatewayUpstream[];
	/** Number of changes so far, by which hashes are kept until the next one. */
	readonly changeCount: number;
};

export class FleetView {
	readonly #findUpstreams: () => RegisteredUpstreams;
	/** Hashes of the addresses at which this host and its accepted peers reach the store. */
	readonly #stores: Set<number>;
	#hashes: ReadonlySet<number> = new Set();
	/** Value of `changeCount` for which the hashes were computed. */
	#hashedChange: number | undefined;

	/**
	 * @param store - Address of the store in the settings of this host.
	 * @param findUpstreams - Returns the registrations that are known at present.
	 */
	constructor(store: Address, findUpstreams: () => RegisteredUpstreams) {
		this.#stores = new Set([hashText(addressKey(store))]);
		this.#findUpstreams = findUpstreams;
	}

	/** Identity to send in a handshake. */
	get identity(): FleetIdentity {
		return createIdentity(this.#knowledge);
	}

	get #knowledge(): FleetKnowledge {
		const upstreams = this.#findUpstreams();
		if (upstreams.changeCount !== this.#hashedChange) {
			this.#hashes = new Set(upstreams.all.map(({id, address}) => hashRegistration(id, address)));
			this.#hashedChange = upstreams.changeCount;
		}

		return {stores: this.#stores, upstreams: this.#hashes};
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

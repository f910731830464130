/**
 * Decides whether two hosts without a shared key belong to the same fleet, from what each knows of the platform: addresses of the store
 * and registrations.
 */
import {hashText, mixHashes} from '../../utils/hashes.js';

/** Hashes of registrations that a handshake carries: equal registries have equal samples. */
export const maxSampledUpstreams = 8;

/** Addresses of the store that a host remembers; later ones are ignored. */
export const maxStores = 16;

/**
 * Registrations that must differ before hosts which share an address of the store count as foreign. Equal addresses may be local
 * addresses of two stores; a host that was cut off may know outdated registrations.
 */
const minDifferencesAtSameStore = 3;

/** What a host sends of its knowledge. All values are 32-bit hashes in ascending order. */
export type FleetIdentity = {
	/** Addresses at which hosts of the fleet reach the store. */
	readonly stores: readonly number[];
	/** The smallest hashes of the registrations, of which fewer than `maxSampledUpstreams` are all. */
	readonly upstreams: readonly number[];
};

/** What a host knows. */
export type FleetKnowledge = {
	readonly stores: ReadonlySet<number>;
	/** Hashes of all registrations. */
	readonly upstreams: ReadonlySet<number>;
};

/** Whether a peer belongs to the fleet of this host; `undecided` if one of them knows too little yet. */
export type Kinship = 'foreign' | 'same' | 'undecided';

/**
 * @param id - Id of an upstream.
 * @param address - Its address, as registered.
 * @returns Hash of the registration.
 */
export function hashRegistration(id: string, address: {readonly host: string; readonly port: number}): number {
	return mixHashes(hashText(id), hashText(`${address.host}:${address.port}`));
}

/**
 * @param knowledge - What this host knows.
 * @returns What it sends of it.
 */
export function createIdentity({stores, upstreams}: FleetKnowledge): FleetIdentity {
	const sort = (hashes: ReadonlySet<number>): readonly number[] => [...hashes].toSorted((a, b) => a - b);
	return {stores: sort(stores), upstreams: sort(upstreams).slice(0, maxSampledUpstreams)};
}

/**
 * A common registration proves the same fleet: two deployments share no upstream at the same address. If there is none although the
 * sample covers some of this host's registrations, the fleets differ. Addresses of the store only decide where registrations don't, as
 * hosts of one fleet may reach the store at different addresses.
 *
 * @param own - What this host knows.
 * @param peer - What the peer has sent.
 * @returns Whether the peer belongs to the same fleet.
 */
export function judgeIdentity(own: FleetKnowledge, peer: FleetIdentity): Kinship {
	if (peer.upstreams.some(hash => own.upstreams.has(hash))) {
		return 'same';
	}

	const isSameStore = peer.stores.some(hash => own.stores.has(hash));
	const differences = countCovered(own.upstreams, peer.upstreams);
	if (differences >= (isSameStore ? minDifferencesAtSameStore : 1)) {
		return 'foreign';
	}

	return isSameStore ? 'same' : 'undecided';
}

/** Returns how many hashes would be in the sample if the sender knew them. */
function countCovered(hashes: ReadonlySet<number>, sample: readonly number[]): number {
	if (sample.length === 0) {
		return 0;
	}

	const largest = sample.length < maxSampledUpstreams ? Number.POSITIVE_INFINITY : Math.max(...sample);
	return [...hashes].filter(hash => hash <= largest).length;
}

/**
 * Divides the weight store's rate among hosts without communication. Wall-clock time is divided into slots of one load; slots
 * are assigned to failure domains in turn, and within a domain to its serving hosts in turn. A partitioned domain keeps its
 * own slots.
 */
import {type State} from '../../types/state.js';
import {listServingHosts} from '../membership/queries.js';

const secondMs = 1000;

/** Loads that this host may order. */
export type Credit = {
	/** Loads; negative while more were ordered than earned. */
	readonly credit: number;
	/** Last slot that was counted. */
	readonly slot: number;
};

function isOwn(state: State, domains: readonly string[], hosts: readonly string[], slot: number): boolean {
	return domains[slot % domains.length] === state.self.failureDomain
		&& hosts[Math.floor(slot / domains.length) % hosts.length] === state.self.incarnation.host;
}

/**
 * @param state - Core state.
 * @param wall - Wall-clock time in milliseconds since 1970.
 * @returns Credit with this host's slots that have passed since the last one counted; slots older than a second expire.
 */
export function earnCredit(state: State, wall: number): Credit {
	const {inForce} = state.configuration;
	const {credit, slot} = state.placement;
	const rate = inForce?.weightStore?.loadsPerSecond;
	if (inForce === undefined || rate === undefined) {
		return {credit: Number.POSITIVE_INFINITY, slot};
	}

	const domains = inForce.failureDomains.map(domain => domain.id).toSorted();
	const hosts = listServingHosts(state, state.self.failureDomain).map(member => member.incarnation.host);
	const last = Math.floor(wall * rate / secondMs);
	const oldest = Math.floor(Math.max(0, wall - secondMs) * rate / secondMs);
	let earned = 0;
	for (let next = Math.max(slot, oldest) + 1; next <= last; next++) {
		earned += isOwn(state, domains, hosts, next) ? 1 : 0;
	}

	// Saves at most one load, or the loads of one second if that is more; earned slots reduce a negative credit first.
	const maxCredit = Math.max(1, rate / domains.length / Math.max(1, hosts.length));
	const saved = Number.isFinite(credit) ? credit : 0;
	return {credit: Math.min(maxCredit, saved + earned), slot: Math.max(slot, last)};
}

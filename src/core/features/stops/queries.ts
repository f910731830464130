/** Queries of planned stops. */
import {type PlannedStop} from '../../types/configuration.js';
import {type State} from '../../types/state.js';
import {type Peer} from '../membership/types.js';
import {sortStops} from './plan.js';

/** Silence after which a dead host counts as stopped although no newer incarnation was seen. */
const stoppedTimeoutMs = 30_000;

/** Time within which a newer incarnation is expected to serve. */
const startTimeoutMs = 60_000;

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @returns Whether it gets no new work because it is stopping or about to change what it serves.
 */
export function isStopping(state: State, upstream: string): boolean {
	return state.stops.upstreams.has(upstream) || state.placement.changing.has(upstream);
}

/** A stop has ended once a newer incarnation serves or takes too long to, or once the host has been dead for a while. */
function hasStopEnded(peer: Peer, stop: PlannedStop, now: number): boolean {
	if (peer.member.incarnation.started < stop.notBefore) {
		return peer.status === 'gone' && now - peer.lastSeen > stoppedTimeoutMs;
	}

	return (peer.status === 'live' && peer.phase === 'serving') || now - peer.addedAt > startTimeoutMs;
}

/**
 * Finds the stop that this host has to begin now. Hosts of a failure domain stop in the order of the document, up to the limit of
 * concurrent stops; hosts that are leaving for other reasons count towards the limit.
 *
 * @param state - Core state.
 * @param now - Monotonic time in milliseconds.
 * @param wall - Wall-clock time in milliseconds since 1970.
 * @returns The stop, if it is this host's turn.
 */
export function findDueStop(state: State, now: number, wall: number): PlannedStop | undefined {
	const {self, configuration: {inForce}, membership: {peers}} = state;
	if (inForce === undefined) {
		return undefined;
	}

	const stops = sortStops(inForce, 'host');
	const {host, started} = self.incarnation;
	const position = stops.findIndex(stop => stop.target.id === host && stop.notBefore <= wall && started < stop.notBefore);
	if (position === -1) {
		return undefined;
	}

	const isInOwnDomain = (peer: Peer) => peer.member.failureDomain === self.failureDomain;
	const earlier = stops.slice(0, position).flatMap(stop => {
		const peer = peers.get(stop.target.id);
		return peer !== undefined && isInOwnDomain(peer) && !hasStopEnded(peer, stop, now) ? [stop.target.id] : [];
	});
	const leaving = [...peers.values()]
		.filter(peer => isInOwnDomain(peer) && peer.phase === 'leaving' && peer.status !== 'gone')
		.map(peer => peer.member.incarnation.host);
	const active = new Set([...earlier, ...leaving]);
	return active.size < inForce.stopRule.concurrentHosts ? stops[position] : undefined;
}

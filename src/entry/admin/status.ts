/** Describes a host's state for operators. */
import {type Admission} from '../../core/features/requests/types.js';
import {type State, type Upstream} from '../../core/index.js';
import {type Status} from '../../protocol/admin.js';

function describePeers(state: State, now: number): Status['peers'] {
	return [...state.membership.peers.values()].map(peer => ({
		incarnation: peer.member.incarnation,
		failureDomain: peer.member.failureDomain,
		phase: peer.phase,
		connected: peer.connected,
		revision: peer.revision,
		silence: Math.round(now - peer.lastSeen),
	}));
}

function describeUpstream(state: State, {id, kind, service, failureDomain}: Upstream, now: number): Status['upstreams'][number] {
	const view = state.upstreams.views.get(id);
	const report = view?.report;
	return {
		id,
		kind,
		service,
		failureDomain,
		reachable: view?.reachable ?? true,
		requests: view?.requests ?? 0,
		prefill: view?.prefill ?? 0,
		decode: view?.decode ?? 0,
		...(report !== undefined && {
			report: {...report, age: Math.round(now - (view?.reportedAt ?? now))},
		}),
	};
}

function describeQueue(service: string, admissions: readonly Admission[], now: number): Status['queues'][number] {
	const waits = admissions.flatMap(({progress}) => progress.type === 'queued' ? [now - progress.since] : []);
	return {
		service,
		waiting: waits.length,
		running: admissions.length - waits.length,
		longestWait: Math.round(Math.max(0, ...waits)),
	};
}

/**
 * @param state - Core state.
 * @param now - Monotonic time in milliseconds.
 * @returns Status of the host, its peers, upstreams and queues; times in milliseconds.
 */
export function describeStatus(state: State, now: number): Status {
	const {inForce, digest} = state.configuration;
	const admissions = [...state.requests.admissions.values()];
	return {
		incarnation: state.self.incarnation,
		failureDomain: state.self.failureDomain,
		phase: state.membership.phase,
		revision: inForce?.revision ?? 0,
		digest,
		peers: describePeers(state, now),
		upstreams: (inForce?.upstreams ?? []).map(each => describeUpstream(state, each, now)),
		queues: (inForce?.services ?? []).map(({id}) =>
			describeQueue(id, admissions.filter(({request}) => request.service === id), now)),
	};
}

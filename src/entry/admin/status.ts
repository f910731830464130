/** What operators are told of a host. */
import {type Admission} from '../../core/features/requests/types.js';
import {type State, type Upstream} from '../../core/index.js';
import {type Status} from '../../protocol/admin.js';

function peers(state: State, now: number): Status['peers'] {
	return [...state.membership.peers.values()].map(peer => ({
		incarnation: peer.member.incarnation,
		failureDomain: peer.member.failureDomain,
		phase: peer.phase,
		connected: peer.connected,
		revision: peer.revision,
		silence: Math.round(now - peer.heard),
	}));
}

function upstream(state: State, {id, kind, service, failureDomain}: Upstream, now: number): Status['upstreams'][number] {
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

function queue(service: string, admissions: readonly Admission[], now: number): Status['queues'][number] {
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
 * @returns The host's status.
 */
export function statusOf(state: State, now: number): Status {
	const {inForce, digest} = state.configuration;
	const admissions = [...state.requests.admissions.values()];
	return {
		incarnation: state.self.incarnation,
		failureDomain: state.self.failureDomain,
		phase: state.membership.phase,
		revision: inForce?.revision ?? 0,
		digest,
		peers: peers(state, now),
		upstreams: (inForce?.upstreams ?? []).map(each => upstream(state, each, now)),
		queues: (inForce?.services ?? []).map(({id}) =>
			queue(id, admissions.filter(({request}) => request.service === id), now)),
	};
}

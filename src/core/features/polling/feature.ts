/** Shares load reports between the hosts of a failure domain, so that reading them costs each host little. */
import {type Effect} from '../../types/effect.js';
import {type Event} from '../../types/event.js';
import {type Report} from '../../types/upstream.js';
import {type Feature, type State, type Step} from '../../types/state.js';
import {only} from '../../utils/common.js';
import {livePeers} from '../membership/queries.js';
import {view} from '../upstreams/queries.js';

/** Milliseconds between two tellings. */
const shareInterval = 500;

function keep(state: State, report: Report, now: number): Step {
	const dated = {report, trueAt: now - report.age};
	return only({...state, polling: {...state.polling, unshared: state.polling.unshared.set(report.upstream, dated)}});
}

function share(state: State, now: number): Step {
	const {unshared, nextShare} = state.polling;
	if (now < nextShare || unshared.isEmpty()) {
		return only(state);
	}

	const reports = [...unshared.values()].map(({report, trueAt}) => ({...report, age: Math.round(now - trueAt)}));
	const effects = livePeers(state)
		.filter(peer => peer.connected && peer.member.failureDomain === state.self.failureDomain)
		.map((peer): Effect => ({type: 'peer-send', to: peer.member.incarnation.host, message: {type: 'reports', reports}}));
	return {
		state: {...state, polling: {unshared: unshared.clear(), nextShare: now + shareInterval}},
		effects,
	};
}

/** A report older than the one held would bring back an engine's earlier incarnation. */
function hear(state: State, reports: readonly Report[], now: number): Step {
	const newer = reports.filter(report => now - report.age > (view(state, report.upstream).reportedAt ?? Number.NEGATIVE_INFINITY));
	return {
		state,
		effects: newer.map((report): Effect => {
			const event: Event = {type: 'report-received', report, isRelayed: true};
			return {type: 'raise', event};
		}),
	};
}

export const pollingFeature: Feature = {
	name: 'polling',
	handle(state, event, {now}) {
		switch (event.type) {
			case 'report-received': {
				return event.isRelayed === true ? only(state) : keep(state, event.report, now);
			}

			case 'peer-message': {
				return event.message.type === 'reports' ? hear(state, event.message.reports, now) : only(state);
			}

			case 'tick': {
				return share(state, now);
			}

			default: {
				return only(state);
			}
		}
	},
};

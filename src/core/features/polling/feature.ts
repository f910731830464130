/** Shares load reports between the hosts of a failure domain, so that reading them costs each host little. */
import {type Effect} from '../../types/effect.js';
import {type Event} from '../../types/event.js';
import {type Report} from '../../types/upstream.js';
import {type Feature, type State, type Step} from '../../types/state.js';
import {only} from '../../utils/common.js';
import {livePeers} from '../membership/queries.js';
import {view} from '../upstreams/queries.js';
import {type DatedReport} from './types.js';

/** Milliseconds between two tellings to few peers, and to many. */
const shareInterval = 500;
const wideShareInterval = 2000;
const fewPeers = 8;

/** Milliseconds after which peers are told again though nothing changed; shorter than what they take for silence. */
const repeatInterval = 2000;

/** Share of an engine's memory or of its queue that counts as a change. */
const noticeable = 0.05;

function differs(one: number, other: number, whole: number): boolean {
	return Math.abs(one - other) > noticeable * Math.max(whole, 1);
}

function isNews({report, trueAt}: DatedReport, told: DatedReport | undefined): boolean {
	if (told === undefined || trueAt - told.trueAt >= repeatInterval) {
		return true;
	}

	const {report: before} = told;
	return report.incarnation !== before.incarnation
		|| report.ready !== before.ready
		|| report.running !== before.running
		|| report.waiting !== before.waiting
		|| report.current?.version !== before.current?.version
		|| differs(report.queuedPrefill, before.queuedPrefill, before.queuedPrefill)
		|| differs(report.usedMemory, before.usedMemory, report.memory);
}

function keep(state: State, report: Report, now: number): Step {
	const dated = {report, trueAt: now - report.age};
	const {unshared, told} = state.polling;
	return isNews(dated, told.get(report.upstream))
		? only({...state, polling: {...state.polling, unshared: unshared.set(report.upstream, dated)}})
		: only(state);
}

function share(state: State, now: number): Step {
	const {unshared, told, nextShare} = state.polling;
	if (now < nextShare || unshared.isEmpty()) {
		return only(state);
	}

	const reports = [...unshared.values()].map(({report, trueAt}) => ({...report, age: Math.round(now - trueAt)}));
	const listeners = livePeers(state)
		.filter(peer => peer.connected && peer.member.failureDomain === state.self.failureDomain);
	const interval = listeners.length > fewPeers ? wideShareInterval : shareInterval;
	const effects = listeners.map((peer): Effect => ({type: 'peer-send', to: peer.member.incarnation.host, message: {type: 'reports', reports}}));
	return {
		state: {...state, polling: {unshared: unshared.clear(), told: told.merge(unshared), nextShare: now + interval}},
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

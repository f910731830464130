/** Shares load reports among the hosts of a failure domain, so that each host polls only some of the engines. */
import {type Effect} from '../../types/effect.js';
import {type Event} from '../../types/event.js';
import {type LoadReport} from '../../types/upstream.js';
import {type Feature, type State, type StepResult} from '../../types/state.js';
import {withoutEffects} from '../../utils/common.js';
import {listLivePeers} from '../membership/queries.js';
import {getView} from '../upstreams/queries.js';
import {type DatedReport} from './types.js';

/** Interval between two publications to at most `maxFrequentPeers` peers, and to more. */
const publishIntervalMs = 500;
const widePublishIntervalMs = 2000;
const maxFrequentPeers = 8;

/** An unchanged report is published again after this time, before its receivers would consider it overdue. */
const republishIntervalMs = 2000;

/** A difference of more than this share of an engine's memory or queue counts as a change. */
const changeThreshold = 0.05;

function isChanged(one: number, other: number, whole: number): boolean {
	return Math.abs(one - other) > changeThreshold * Math.max(whole, 1);
}

function needsPublishing({report, reportedAt}: DatedReport, published: DatedReport | undefined): boolean {
	if (published === undefined || reportedAt - published.reportedAt >= republishIntervalMs) {
		return true;
	}

	const {report: before} = published;
	return report.incarnation !== before.incarnation
		|| report.ready !== before.ready
		|| report.running !== before.running
		|| report.waiting !== before.waiting
		|| report.current?.version !== before.current?.version
		|| isChanged(report.queuedPrefill, before.queuedPrefill, before.queuedPrefill)
		|| isChanged(report.usedMemory, before.usedMemory, report.memory);
}

function addUnpublished(state: State, report: LoadReport, now: number): StepResult {
	const dated = {report, reportedAt: now - report.age};
	const {unpublished, published} = state.polling;
	return needsPublishing(dated, published.get(report.upstream))
		? withoutEffects({...state, polling: {...state.polling, unpublished: unpublished.set(report.upstream, dated)}})
		: withoutEffects(state);
}

function publishReports(state: State, now: number): StepResult {
	const {unpublished, published, nextPublication} = state.polling;
	if (now < nextPublication || unpublished.isEmpty()) {
		return withoutEffects(state);
	}

	const reports = [...unpublished.values()].map(({report, reportedAt}) => ({...report, age: Math.round(now - reportedAt)}));
	const receivers = listLivePeers(state)
		.filter(peer => peer.connected && peer.member.failureDomain === state.self.failureDomain);
	const interval = receivers.length > maxFrequentPeers ? widePublishIntervalMs : publishIntervalMs;
	const effects = receivers.map((peer): Effect => ({type: 'peer-send', to: peer.member.incarnation.host, message: {type: 'reports', reports}}));
	return {
		state: {...state, polling: {unpublished: unpublished.clear(), published: published.merge(unpublished), nextPublication: now + interval}},
		effects,
	};
}

/** Skips reports older than the current one, which could restore an earlier incarnation of the engine. */
function handleReports(state: State, reports: readonly LoadReport[], now: number): StepResult {
	const newer = reports.filter(report => now - report.age > (getView(state, report.upstream).reportedAt ?? Number.NEGATIVE_INFINITY));
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
				return event.isRelayed === true ? withoutEffects(state) : addUnpublished(state, event.report, now);
			}

			case 'peer-message': {
				return event.message.type === 'reports' ? handleReports(state, event.message.reports, now) : withoutEffects(state);
			}

			case 'tick': {
				return publishReports(state, now);
			}

			default: {
				return withoutEffects(state);
			}
		}
	},
};

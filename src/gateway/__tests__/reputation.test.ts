/** Health of upstreams and reachability of failure domains, where each change is logged once. */
import {expect, it} from 'vitest';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {type Log} from '../../entry/logs.js';
import {Reputation} from '../upstreams/reputation.js';
import {Upstreams} from '../upstreams/upstreams.js';

type Line = {readonly event: string; readonly domain?: unknown};

function createRecorder(): {readonly lines: Line[]; readonly log: Pick<Log, 'write'>} {
	const lines: Line[] = [];
	return {
		lines,
		log: {
			write(line) {
				lines.push(line);
			},
		},
	};
}

function upstream(id: string, failureDomain: string, change: Partial<GatewayUpstream> = {}): GatewayUpstream {
	return {
		id, service: 'model', address: {host: 'h', port: 1}, failureDomain, slots: 8, isDraining: false, started: 1, ...change,
	};
}

function events(lines: readonly Line[]): unknown[] {
	return lines.map(line => line.event);
}

it('logs once that an upstream is excluded, and once that it answers again', () => {
	const {lines, log} = createRecorder();
	const reputation = new Reputation({failureDomain: 'a', log, silentDomains: () => new Set()});
	const engine = upstream('e1', 'a');
	for (const [now, verdict] of [[0, 'unreachable'], [10, 'unreachable'], [20, 'faulty']] as const) {
		reputation.recordVerdict('e1', engine, verdict, now);
	}

	expect([events(lines), reputation.unhealthyCount]).toEqual([['upstream-doubted'], 1]);
	reputation.recordVerdict('e1', engine, 'sound', 30);
	reputation.recordVerdict('e1', engine, 'sound', 40);
	expect([events(lines), reputation.unhealthyCount]).toEqual([['upstream-doubted', 'upstream-trusted'], 0]);
});

it('logs once that a failure domain is out of reach, with the reason, and once that it is back', () => {
	const {lines, log} = createRecorder();
	let silent: string[] = [];
	const reputation = new Reputation({failureDomain: 'a', log, silentDomains: () => new Set(silent)});
	reputation.recordVerdict('e1', upstream('e1', 'b'), 'broken', 0);
	reputation.updateReachability(1);
	expect(lines).toEqual([]);
	reputation.recordVerdict('e2', upstream('e2', 'b'), 'unreachable', 2);
	silent = ['c'];
	reputation.updateReachability(3);
	reputation.updateReachability(4);
	const cuts = lines.filter(line => line.event === 'domain-unreachable');
	expect(cuts).toEqual([
		{event: 'domain-unreachable', domain: 'c', reason: 'peers are silent'},
		{event: 'domain-unreachable', domain: 'b', reason: 'attempts fail'},
	]);
	expect([...reputation.unreachableDomains]).toEqual(['c', 'b']);

	reputation.recordVerdict('e3', upstream('e3', 'c'), 'sound', 5);
	reputation.recordVerdict('e1', upstream('e1', 'b'), 'sound', 5);
	reputation.updateReachability(6);
	expect(lines.filter(line => line.event === 'domain-reachable').map(line => line.domain)).toEqual(['c', 'b']);
	expect(reputation.unreachableDomains.size).toBe(0);
});

it('lists upstreams by service, and reports those that were restarted or removed', () => {
	const {log} = createRecorder();
	const notified: string[] = [];
	const upstreams = new Upstreams(log, {
		restarted(id) {
			notified.push(`${id} restarted`);
		},
		removed(id) {
			notified.push(`${id} gone`);
		},
	});
	const source = {type: 'store', era: 0, revision: 1} as const;
	upstreams.register(upstream('e1', 'a'), source);
	upstreams.register(upstream('e2', 'a', {service: 'portal'}), source);
	upstreams.register(upstream('e1', 'a', {isDraining: true}), source);
	expect(upstreams.listByService('model').map(each => [each.id, each.isDraining])).toEqual([['e1', true]]);
	upstreams.register(upstream('e1', 'a', {started: 2}), source);
	upstreams.unregister('e2', source);
	upstreams.register(upstream('e3', 'b'), source);
	expect([upstreams.listByService('portal'), upstreams.all.map(each => each.id), upstreams.size]).toEqual([[], ['e1', 'e3'], 2]);
	expect(notified).toEqual(['e1 restarted', 'e2 gone']);
});

it('upstreams replaced by other processes do not make their failure domain unreachable', () => {
	const {lines, log} = createRecorder();
	const reputation = new Reputation({failureDomain: 'a', log, silentDomains: () => new Set()});
	for (const id of ['e1', 'e2', 'e3']) {
		reputation.recordVerdict(id, upstream(id, 'b'), 'replaced', 0);
	}

	reputation.updateReachability(1);
	expect([...reputation.unreachableDomains]).toEqual([]);
	expect(events(lines)).toEqual(['upstream-doubted', 'upstream-doubted', 'upstream-doubted']);
	expect([reputation.health.isBackedOff('e1', 1900), reputation.health.isBackedOff('e1', 2100)]).toEqual([true, false]);
});

it('reports of several peers about an excluded upstream do not extend its exclusion', () => {
	const {log} = createRecorder();
	const reputation = new Reputation({failureDomain: 'a', log, silentDomains: () => new Set()});
	for (let now = 0; now < 200; now += 10) {
		reputation.recordAbsence({upstream: 'e1', reason: 'refused', isForAll: true}, 'h2', now);
	}

	expect([reputation.health.isBackedOff('e1', 240), reputation.health.isBackedOff('e1', 260)]).toEqual([true, false]);
});

it('an upstream that is silent for a peer has a higher failure probability, but is not excluded', () => {
	const {log} = createRecorder();
	const reputation = new Reputation({failureDomain: 'a', log, silentDomains: () => new Set()});
	const before = reputation.health.failureProbability('e1', 0);
	reputation.recordAbsence({upstream: 'e1', reason: 'silent', isForAll: true}, 'h2', 0);
	expect(reputation.health.isBackedOff('e1', 1)).toBe(false);
	expect(reputation.health.failureProbability('e1', 1)).toBeGreaterThan(before + 0.1);
});

it('names the peer whose report excluded an upstream in the log', () => {
	const {lines, log} = createRecorder();
	const reputation = new Reputation({failureDomain: 'a', log, silentDomains: () => new Set()});
	reputation.recordAbsence({upstream: 'e1', reason: 'refused', isForAll: true}, 'h2', 0);
	reputation.recordVerdict('e2', upstream('e2', 'a'), 'unreachable', 0);
	expect(lines).toMatchObject([{upstream: 'e1', verdict: 'unreachable', peer: 'h2'}, {upstream: 'e2', verdict: 'unreachable', peer: undefined}]);
});

it('logs silence that a peer reports, and its end by a sign of life or a peer, with the risk that placement sees', () => {
	const {lines, log} = createRecorder();
	const reputation = new Reputation({failureDomain: 'a', log, silentDomains: () => new Set()});
	for (const id of ['e1', 'e2']) {
		reputation.recordAbsence({upstream: id, reason: 'silent', isForAll: true}, 'h2', 0);
		reputation.recordAbsence({upstream: id, reason: 'silent', isForAll: true}, 'h3', 1);
	}

	expect(reputation.recordLife(upstream('e1', 'a'), 100)).toBe(false);
	reputation.recordReturn('e2', 'h2', 100);
	reputation.recordReturn('e2', 'h3', 101);
	expect(lines).toEqual([
		{
			event: 'silence-reported', upstream: 'e1', peer: 'h2', risk: 0.21,
		},
		{
			event: 'silence-reported', upstream: 'e2', peer: 'h2', risk: 0.21,
		},
		{
			event: 'silence-ended', upstream: 'e1', peer: undefined, risk: 0.01,
		},
		{
			event: 'silence-ended', upstream: 'e2', peer: 'h2', risk: 0.01,
		},
	]);
});

it('doubts an upstream whose silence it has met until it sends something, and tells peers then', () => {
	const {lines, log} = createRecorder();
	const reputation = new Reputation({failureDomain: 'a', log, silentDomains: () => new Set()});
	const engine = upstream('e1', 'a');
	reputation.recordSilence(engine, 0);
	reputation.recordReturn('e1', 'h2', 50);
	expect([reputation.health.isBackedOff('e1', 60), reputation.unhealthyCount]).toEqual([true, 1]);
	expect([reputation.recordLife(engine, 100), reputation.recordLife(engine, 101)]).toEqual([true, false]);
	expect([reputation.health.isBackedOff('e1', 110), reputation.unhealthyCount]).toEqual([false, 0]);
	expect(lines).toEqual([
		{
			event: 'upstream-doubted', upstream: 'e1', verdict: 'silent', peer: undefined, risk: 0.21,
		},
		{
			event: 'upstream-trusted', upstream: 'e1', reason: 'it sends again', risk: 0.01,
		},
	]);
});

it('keeps what else was held against an upstream when its silence ends', () => {
	const {log} = createRecorder();
	const reputation = new Reputation({failureDomain: 'a', log, silentDomains: () => new Set()});
	const engine = upstream('e1', 'a');
	reputation.recordVerdict('e1', engine, 'faulty', 0);
	const before = reputation.health.failureProbability('e1', 0);
	reputation.recordSilence(engine, 0);
	reputation.recordLife(engine, 0);
	expect(reputation.health.failureProbability('e1', 0)).toBe(before);
});

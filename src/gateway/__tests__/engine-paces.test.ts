/** Paces of engines shared between hosts whose messages are bad, lost or about a former process. */
import {beforeEach, expect, it} from 'vitest';
import {configuredPace, type PaceReport} from '../../core/gateway/engines/paces.js';
import {EnginePaces} from '../upstreams/engine-paces.js';
import {fromWirePace, toWirePace} from '../peers/load-messages.js';
import {createMessageReader, encode, type LoadUpdate} from '../peers/messages.js';

const emptyUpdate: LoadUpdate = {
	type: 'load', began: [], progressed: [], ended: [],
};

let now = 0;
let started = 1;
let lines: Array<Readonly<Record<string, unknown>>> = [];
let published: PaceReport[] = [];

beforeEach(() => {
	now = 1000;
	started = 1;
	lines = [];
	published = [];
});

function createPaces(host: string): EnginePaces {
	return new EnginePaces({
		host,
		log: {
			write(line: Readonly<Record<string, unknown>>) {
				lines.push(line);
			},
		},
		now: () => now,
		findProcess: upstream => upstream === 'e0' ? {upstream, started} : undefined,
		publish(report) {
			published.push(report);
		},
	});
}

function recordSlowEvents(paces: EnginePaces): void {
	for (let index = 0; index < 4; index++) {
		now += 172;
		paces.recordSample({
			upstream: 'e0', phase: 'decode', configured: 43, measured: 172, at: now,
		});
	}
}

/** Returns the reports of a load update as they arrive at a peer. */
function transfer(update: LoadUpdate): readonly PaceReport[] {
	const [message] = createMessageReader().push(encode(update));
	return message?.type === 'load' ? (message.paces ?? []).map(pace => fromWirePace(pace, now)) : [];
}

it('logs a slow engine, and tells peers within the second', () => {
	const [own, peer] = [createPaces('h0'), createPaces('h1')];
	recordSlowEvents(own);
	expect(published.length).toBe(1);
	for (const report of transfer({...emptyUpdate, paces: published.map(each => toWirePace(each, now))})) {
		peer.applyPeerReport('h0', report);
	}

	expect(peer.get('e0', now).decode).toBeCloseTo(0.25);
	expect(lines).toEqual([
		{
			event: 'engine-pace', upstream: 'e0', decode: 0.25, prefill: 0.25, source: 'response',
		},
		{
			event: 'engine-pace', upstream: 'e0', decode: 0.25, prefill: 0.25, source: 'h0',
		},
	]);
});

it('ignores reports of a pace that is zero, negative or not a number, with one line, and reads the rest of the message', () => {
	const paces = createPaces('h1');
	const wire = {
		host: 'h0', upstream: 'e0', started, phase: 'decode', confidence: 4, age: 1,
	} as const;
	const bad = [0, -0.25, Number.NaN, Number.POSITIVE_INFINITY, 'fast', null, undefined].map(pace => ({...wire, pace}));
	const reports = transfer({...emptyUpdate, paces: [...bad, {...wire, pace: 0.25}]});
	expect(reports.length).toBe(8);
	for (const report of reports) {
		paces.applyPeerReport('h0', report);
	}

	expect(paces.ignoredCount).toBe(7);
	expect(lines.filter(line => line.event === 'pace-ignored').length).toBe(1);
	expect(paces.get('e0', now).decode).toBe(0.25);
});

it('forgets a restarted engine, and ignores reports on its former process', () => {
	const paces = createPaces('h0');
	recordSlowEvents(paces);
	started = 2;
	paces.forget('e0');
	paces.applyPeerReport('h1', {...published[0]!, host: 'h1', started: 1});
	expect(paces.get('e0', now)).toBe(configuredPace);
});

it('ignores its own reports that a relay returns, and engines that are not registered', () => {
	const paces = createPaces('h0');
	const report: PaceReport = {
		host: 'h0', upstream: 'e0', started, phase: 'decode', pace: 0.25, confidence: 6, at: now,
	};
	paces.applyPeerReport('h1', report);
	paces.applyPeerReport('h1', {...report, host: 'h2', upstream: 'e9'});
	expect([paces.get('e0', now), paces.unevenCount]).toEqual([configuredPace, 0]);
});

it('returns to the configured pace if the reports that would end it are lost', () => {
	const paces = createPaces('h1');
	paces.applyPeerReport('h0', {
		host: 'h0', upstream: 'e0', started, phase: 'decode', pace: 0.25, confidence: 6, at: now,
	});
	expect(paces.unevenCount).toBe(1);
	now += 5000;
	expect(paces.unevenCount).toBe(0);
});

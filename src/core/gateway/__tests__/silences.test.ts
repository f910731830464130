import {describe, expect, it} from 'vitest';
import {mayTakeOver, Silences, type WatchedEngine} from '../health/silences.js';

const service = 'model';

/** When engines owe an event, in milliseconds, and a time at which they are silent. */
const due = 1000;
const later = 2000;

function createEngine(id: string, failureDomain = 'a'): WatchedEngine {
	return {id, service, failureDomain};
}

function createSilences(iterationTime = 0): Silences<string> {
	return new Silences<string>(() => iterationTime);
}

/** Expects an event of each engine. */
function expectAll(silences: Silences<string>, engines: readonly WatchedEngine[]): void {
	for (const engine of engines) {
		silences.expect(`at ${engine.id}`, engine, due);
	}
}

function sendAll(silences: Silences<string>, engines: readonly WatchedEngine[], now: number): void {
	for (const engine of engines) {
		silences.recordLife(engine, now);
	}
}

function listSilent(silences: Silences<string>, now: number): readonly string[] {
	return [...silences.view(service, now).silent];
}

function listLive(silences: Silences<string>, now: number): readonly string[] {
	return [...silences.view(service, now).live];
}

const a = createEngine('a');
const b = createEngine('b');
const c = createEngine('c');
const d = createEngine('d');
const fifth = createEngine('e');

describe('an engine', () => {
	it('is not silent while its next event may still come', () => {
		const silences = createSilences();
		silences.expect('x', a, due);
		expect([due - 1, due, due + 1].map(now => listSilent(silences, now))).toEqual([[], [], ['a']]);
	});

	it('is not silent during an iteration that takes as long as forecast', () => {
		const silences = createSilences(700);
		silences.expect('x', a, due);
		expect([due + 700, due + 701].map(now => listSilent(silences, now))).toEqual([[], ['a']]);
	});

	it('is not silent for one stream that waits while it sends on another connection', () => {
		const silences = createSilences();
		silences.expect('x', a, due);
		silences.recordLife(a, later - 500);
		expect([listSilent(silences, later), listSilent(silences, later + 1)]).toEqual([[], ['a']]);
	});

	it('is not silent for an answer that its caller does not read', () => {
		const silences = createSilences();
		silences.expect('x', a, due);
		silences.expect('x', a, Number.POSITIVE_INFINITY);
		expect([listSilent(silences, later), silences.isAwaited('a')]).toEqual([[], false]);
	});

	it('is no longer silent once its only attempt has ended', () => {
		const silences = createSilences();
		silences.expect('x', a, due);
		silences.end('x');
		expect(listSilent(silences, later)).toEqual([]);
	});

	it('is silent once however many of its attempts wait, and only for its service', () => {
		const silences = createSilences();
		silences.expect('x', a, due);
		silences.expect('y', a, due);
		silences.expect('z', {...b, service: 'other'}, due);
		expect([listSilent(silences, later), [...silences.view('other', later).silent]]).toEqual([['a'], ['b']]);
	});

	it('can take over a stream only for a moment after it has sent something', () => {
		const silences = createSilences();
		expect([silences.isLive('a', 0), listLive(silences, 0)]).toEqual([false, []]);
		silences.recordLife(a, 1000);
		expect([1000, 1499, 1500].map(now => [silences.isLive('a', now), listLive(silences, now)])).toEqual([[true, ['a']], [true, ['a']], [false, []]]);
	});
});

describe('a check without an answer', () => {
	it('shows for half a second that an engine without requests is silent', () => {
		const silences = createSilences();
		silences.recordFailedCheck(a, 1000);
		expect([1000, 1499, 1500].map(now => listSilent(silences, now))).toEqual([['a'], ['a'], []]);
	});

	it('keeps an engine from taking over that has sent something just before', () => {
		const silences = createSilences();
		silences.recordLife(a, 900);
		silences.recordFailedCheck(a, 1000);
		expect([listSilent(silences, 1000), listLive(silences, 1000)]).toEqual([['a'], []]);
	});

	it('is forgotten as soon as the engine sends something', () => {
		const silences = createSilences();
		silences.recordFailedCheck(a, 1000);
		silences.recordLife(a, 1001);
		expect([listSilent(silences, 1002), listLive(silences, 1002)]).toEqual([[], ['a']]);
	});
});

describe('an answer without a live engine to go to', () => {
	it('stays for a moment after the first one sends, as what the others hold back may be about to arrive', () => {
		const silences = createSilences();
		silences.recordStranded(service, 1000);
		expect([1000, 1249, 1250].map(now => silences.isSettled(service, now, false))).toEqual([false, false, true]);
	});

	it('is one at a silent engine as the first of all engines sends again', () => {
		const silences = createSilences();
		expectAll(silences, [a, b]);
		silences.recordLife(b, later);
		silences.recordLife(b, later + 100);
		expect([later + 249, later + 250].map(now => silences.isSettled(service, now, false))).toEqual([false, true]);
	});

	it('is none at an engine that falls silent while others send', () => {
		const silences = createSilences();
		expectAll(silences, [a, b]);
		for (let now = 0; now <= later; now += 200) {
			silences.recordLife(b, now);
		}

		expect([listSilent(silences, later), silences.isSettled(service, later, true)]).toEqual([['a'], true]);
	});

	it('keeps its place longer if it has queued behind others', () => {
		const silences = createSilences();
		silences.recordStranded(service, 1000);
		expect([1250, 2999, 3000].map(now => silences.isSettled(service, now, true))).toEqual([false, false, true]);
	});

	it('says nothing of another service', () => {
		const silences = createSilences();
		silences.recordStranded('other', 1000);
		expect([silences.isSettled(service, 1000, true), createSilences().isSettled(service, 0, true)]).toEqual([true, true]);
	});
});

describe('silence', () => {
	it('of one engine is its own while others send, so that its streams go on there', () => {
		const silences = createSilences();
		expectAll(silences, [a, b, c]);
		sendAll(silences, [b, c], later);
		expect(silences.view(service, later)).toEqual({silent: new Set(['a']), live: new Set(['b', 'c']), isCommon: false});
	});

	it('of the only engine in use is its own', () => {
		const silences = createSilences();
		expectAll(silences, [a]);
		expect(silences.view(service, later)).toEqual({silent: new Set(['a']), live: new Set(), isCommon: false});
	});

	it('of all engines says nothing of one of them', () => {
		const silences = createSilences();
		expectAll(silences, [a, b, createEngine('z', 'b')]);
		expect(silences.view(service, later)).toMatchObject({live: new Set(), isCommon: true});
	});

	it('of the engine in use and of one that was checked says nothing of one of them', () => {
		const silences = createSilences();
		expectAll(silences, [a]);
		silences.recordFailedCheck(b, later);
		expect(silences.view(service, later)).toMatchObject({live: new Set(), isCommon: true});
	});

	it('of all engines is not that of another service that sends', () => {
		const silences = createSilences();
		expectAll(silences, [a, b]);
		silences.recordLife({...c, service: 'other'}, later);
		expect([silences.view(service, later).isCommon, silences.view('other', later).isCommon]).toEqual([true, false]);
	});

	it('of most engines says nothing of one of them, but answers may go to those that send', () => {
		const silences = createSilences();
		expectAll(silences, [a, b, c, d, fifth]);
		sendAll(silences, [d, fifth], later);
		expect(silences.view(service, later)).toMatchObject({live: new Set(['d', 'e']), isCommon: true});
	});

	it('is that of each engine if as many send', () => {
		const silences = createSilences();
		expectAll(silences, [a, b, c, d]);
		sendAll(silences, [c, d], later);
		expect(silences.view(service, later).isCommon).toBe(false);
	});

	it('of a whole failure domain beside a sound one is that of its engines', () => {
		const silences = createSilences();
		const sound = [createEngine('x', 'b'), createEngine('y', 'b')];
		expectAll(silences, [a, b, c, ...sound]);
		sendAll(silences, sound, later);
		expect(silences.view(service, later)).toMatchObject({silent: new Set(['a', 'b', 'c']), isCommon: false});
	});
});

describe('an engine with a queue', () => {
	it('takes no request over that is queued at an engine that sends', () => {
		expect(mayTakeOver(true, 300)).toBe(false);
	});

	it('takes one over from an engine that sends nothing', () => {
		expect(mayTakeOver(false, 300)).toBe(true);
	});
});

it.each([0, undefined])('an engine without a queue takes any request over (slot wait: %s)', slotWait => {
	expect([true, false].map(isQueued => mayTakeOver(isQueued, slotWait))).toEqual([true, true]);
});

/** The soak itself: its checks can fail, its plans repeat, and seeds that found a fault stay green. */
import {describe, expect, it} from 'vitest';
import {type Answer} from '../../gateway/asking.js';
import {plan} from '../plan.js';
import {
	broken, goesBack, type Excuse, type Result, type Visit,
} from '../promises.js';
import {run} from '../run.js';

function answer(change: Partial<Answer> = {}): Answer {
	return {
		status: 200, headers: {}, body: 'a', isWhole: true, took: 10, ...change,
	};
}

function visit(result: Result, change: Partial<Visit> = {}): Visit {
	return {
		id: 'v', kind: 'once', host: 1, began: 1000, ended: 1100, limit: 1500, expected: 'a', result, ...change,
	};
}

const ran = {
	request: 'v', upstream: 'u', method: 'POST', path: '/', headers: {}, body: '', at: 0,
};

describe('promises', () => {
	const whole: Result = {type: 'answered', answer: answer(), got: 'a'};
	const cut: Result = {type: 'cut', reason: 'ECONNRESET', isIdle: false};
	const killed: Excuse = {
		host: 1, from: 1050, to: 1060, type: 'killed',
	};

	it('are kept by a whole answer in time', () => {
		expect(broken([visit(whole)], () => [ran], [], 0)).toEqual([]);
	});

	it.each<[string, Visit, number]>([
		['late', visit(whole, {ended: 4000}), 1],
		['never answered', visit({type: 'never'}), 1],
		['another\'s', visit({type: 'answered', answer: answer(), got: 'b'}), 1],
		['not run, though it ran', visit({type: 'answered', answer: answer({status: 503, headers: {'x-not-executed': '1'}}), got: ''}), 1],
		['cut', visit(cut), 1],
		['run twice', visit(whole), 2],
	])('are broken by an answer that is %s', (_, seen, runs) => {
		expect(broken([seen], () => Array.from({length: runs}, () => ran), [], 0)).toHaveLength(1);
	});

	it('excuse what a kill cut, and nothing else', () => {
		expect(broken([visit(cut)], () => [ran], [killed], 0)).toEqual([]);
		expect(broken([visit(cut)], () => [ran], [{...killed, host: 2}], 0)).toHaveLength(1);
		expect(broken([visit(cut)], () => [ran], [{...killed, type: 'paused'}], 0)).toHaveLength(1);
		expect(broken([visit({...cut, isIdle: true})], () => [ran], [{...killed, type: 'stopping'}], 0)).toEqual([]);
	});

	it('excuse a cut by a host that has long said it leaves, if nothing ran', () => {
		const stopping: Excuse = {
			host: 1, from: 0, to: 5000, type: 'stopping',
		};
		const late = visit(cut, {began: 3000, ended: 3010});
		expect(broken([late], () => [], [stopping], 0)).toEqual([]);
		expect(broken([late], () => [ran], [stopping], 0)).toHaveLength(1);
		expect(broken([{...late, began: 2000}], () => [], [stopping], 0)).toHaveLength(1);
	});

	it('notice a host that goes back to an earlier configuration', () => {
		expect([goesBack([1, 2, 5]), goesBack([1, 3, 2]), goesBack([2, 2])]).toEqual([false, true, true]);
	});
});

describe('a plan', () => {
	const shape = {
		hosts: 3, upstreams: 5, links: 5, length: 60_000,
	};

	it('repeats for its seed, and has every kind of mishap', () => {
		const all = Array.from({length: 10}, (_, seed) => plan(seed + 1, shape));
		expect(plan(1, shape)).toEqual(all[0]);
		expect(new Set(all.flat().map(({mishap}) => mishap.type)).size).toBe(10);
	});
});

describe('real gateway processes', () => {
	it.each([
		[3, 'a caller that connected as a stop ended was cut'],
		[404, 'a caller that waited to be accepted as listening ended was cut'],
	])('keep every promise (seed %i: %s)', {timeout: 120_000}, async seed => {
		const outcome = await run({
			seed, hosts: 3, clients: 8, length: 12_000,
		});
		expect(outcome.broken, outcome.story.join('\n')).toEqual([]);
		expect(outcome.served).toBeGreaterThan(50);
	});
});

/** Which causes are blamed for crashes: never one that only ran beside another, and soon the one that crashed engines. */
import {describe, expect, it} from 'vitest';
import {createRandom} from '../../../../bench/model/workload.js';
import {Answers} from '../suspicion/answers.js';
import {type Cause} from '../suspicion/causes.js';
import {Crashes, type CrashReport} from '../suspicion/crashes.js';
import {listAvoided, rankForCause} from '../suspicion/quarantine.js';
import {Suspects, type Assessment} from '../suspicion/suspects.js';
import {computeTrialTime} from '../suspicion/trials.js';
import {type GatewayUpstream} from '../types.js';

const service = 'model';
const scope = {service, version: 'v1'};
const noTurn = () => 0;
let attempts = 0;

function report(upstream: string, at: number, parts: string, change: Partial<CrashReport> = {}): CrashReport {
	attempts++;
	return {
		attempt: `a${attempts}`, upstream, started: 1, scope, causes: [...parts].map((part): Cause => `part:${part}`), hasBegun: false, sent: at - 100, at, ...change,
	};
}

function record(suspects: Suspects, reports: readonly CrashReport[]): void {
	for (const each of reports) {
		suspects.recordCrash(each, each.at);
	}
}

function assess(suspects: Suspects, parts: string, now = 1000, versions: readonly string[] = ['v1']): Assessment {
	return suspects.assess({service, causes: [...parts].map((part): Cause => `part:${part}`), versions}, noTurn, now);
}

function typesOf(suspects: Suspects, requests: readonly string[], now = 1000): readonly string[] {
	return requests.map(parts => assess(suspects, parts, now).type);
}

function listConvicted(suspects: Suspects): readonly string[] {
	return suspects.convictions.map(({causes}) => causes.map(cause => cause.replace('part:', '')).join('')).toSorted();
}

describe('a part that crashes engines', () => {
	it.each([['first', 'BA'], ['in the middle', 'AB']])('is convicted by its third crash when it comes %s, and its shared neighbours are not', (_, shared) => {
		const suspects = new Suspects();
		suspects.recordAnswers(scope, ['part:A'], 0);
		record(suspects, [report('e1', 100, `${shared}1`), report('e2', 300, `${shared}2`)]);
		expect(typesOf(suspects, [`${shared}3`, 'A4'])).toEqual(['suspected', 'unsuspected']);
		record(suspects, [report('e3', 500, `${shared}3`)]);
		expect([listConvicted(suspects), typesOf(suspects, [`${shared}4`, 'A4', '1', '9'])]).toEqual([['B'], ['convicted', 'unsuspected', 'unsuspected', 'unsuspected']]);
	});

	it('takes along requests that ran beside it, unbegun ones too, and convicts none of their parts', () => {
		const suspects = new Suspects();
		for (const [index, at] of [100, 300, 500, 700].entries()) {
			record(suspects, [report(`e${index}`, at, `B${index}`), report(`e${index}`, at, 'S'), report(`e${index}`, at, 'T', {hasBegun: true})]);
		}

		expect(listConvicted(suspects)).toEqual(['B', 'S']);
		suspects.recordAnswers(scope, ['part:S'], 710);
		expect([listConvicted(suspects), typesOf(suspects, ['S', 'T', 'B'])]).toEqual([['B'], ['unsuspected', 'unsuspected', 'convicted']]);
	});

	it('is told from another one that crashes engines at the same time', () => {
		const suspects = new Suspects();
		for (const [index, at] of [100, 300, 500].entries()) {
			record(suspects, [report(`e${index}`, at, `B${index}`), report(`f${index}`, at + 50, `C${index + 3}`)]);
		}

		expect(listConvicted(suspects)).toEqual(['B', 'C']);
	});

	it('is told from a part that came with it and with another one that crashes engines', () => {
		const suspects = new Suspects();
		record(suspects, [report('e1', 100, 'SB1'), report('e2', 200, 'SB1'), report('e3', 300, 'SB1'), report('e4', 400, 'B2')]);
		record(suspects, [report('f1', 500, 'C3'), report('f2', 600, 'C4'), report('f3', 700, 'C5'), report('f4', 800, 'SC6')]);
		expect([listConvicted(suspects), typesOf(suspects, ['S'])]).toEqual([['B', 'C'], ['unsuspected']]);
	});

	it('is convicted together with a part that always came with it, until one of them comes alone', () => {
		const suspects = new Suspects();
		record(suspects, [report('e1', 100, 'BC1'), report('e2', 300, 'BC2'), report('e3', 500, 'BC3')]);
		expect([listConvicted(suspects), typesOf(suspects, ['BC4', 'B4', 'C4'])]).toEqual([['BC'], ['convicted', 'suspected', 'suspected']]);
		record(suspects, [report('e4', 700, 'B5')]);
		expect([listConvicted(suspects), typesOf(suspects, ['BC6', 'B6', 'C6'])]).toEqual([['B'], ['convicted', 'convicted', 'unsuspected']]);
	});

	it('is convicted as soon as a second request with it comes, however rarely', () => {
		const suspects = new Suspects();
		record(suspects, [report('e1', 0, 'B1'), report('e2', 300, 'B1'), report('e3', 600, 'B1')]);
		expect(typesOf(suspects, ['B1', 'B2'])).toEqual(['convicted', 'suspected']);
		record(suspects, [report('e4', 400_000, 'B2')]);
		expect(typesOf(suspects, ['B3'], 400_001)).toEqual(['convicted']);
	});

	it('is convicted though its engines start anew as the same id, with and without a start time', () => {
		for (const started of [undefined, 1]) {
			const suspects = new Suspects();
			for (const [index, at] of [1000, 5000, 9000].entries()) {
				record(suspects, [report('e1', at, `B${index}`, {started: started === undefined ? undefined : index})]);
			}

			expect(listConvicted(suspects)).toEqual(['B']);
		}
	});

	it('that was answered before and crashes only sometimes is convicted later', () => {
		const suspects = new Suspects();
		suspects.recordAnswers(scope, ['part:B'], 0);
		for (let index = 1; index <= 5; index++) {
			record(suspects, [report(`e${index}`, index * 200, `B${index}`)]);
		}

		expect(typesOf(suspects, ['B9'], 2000)).toEqual(['suspected']);
		record(suspects, [report('e6', 1200, 'B6')]);
		expect(typesOf(suspects, ['B9'], 2000)).toEqual(['convicted']);
	});

	it('is told from one that was answered before and came with it and with another one that crashes engines', () => {
		const suspects = new Suspects();
		suspects.recordAnswers(scope, ['part:S'], 0);
		record(suspects, [report('e1', 100, 'SB1'), report('e2', 200, 'SB1'), report('e3', 300, 'SB1')]);
		record(suspects, [report('f1', 400, 'SC2'), report('f2', 500, 'SC2'), report('f3', 600, 'SC2')]);
		expect(typesOf(suspects, ['S3', 'SB1', 'SC2'])).toEqual(['unsuspected', 'convicted', 'convicted']);
	});

	it('that was answered before is convicted by the first crash of a third request if two requests were sent again and again', () => {
		const suspects = new Suspects();
		suspects.recordAnswers(scope, ['part:S'], 0);
		record(suspects, [100, 200, 300].map(at => report(`e${at}`, at, 'S1')));
		record(suspects, [400, 500, 600].map(at => report(`e${at}`, at, 'S2')));
		expect(typesOf(suspects, ['S9'])).toEqual(['unsuspected']);
		record(suspects, [report('e700', 700, 'S3')]);
		expect(typesOf(suspects, ['S9'])).toEqual(['convicted']);
	});
});

describe('a whole request that crashes engines', () => {
	const causes = ['part:A', 'part:own', 'request:F'] as const;
	const typeOf = (suspects: Suspects, ...each: readonly Cause[]) => suspects.assess({service, causes: each, versions: ['v1']}, noTurn, 1000).type;

	it('is convicted by its third crash, with and without a prompt, and others of its caller are not', () => {
		for (const own of [causes, ['request:F'] as const]) {
			const suspects = new Suspects();
			suspects.recordAnswers(scope, ['part:A'], 0);
			record(suspects, [100, 300, 500].map((at, index) => report(`e${index}`, at, '', {causes: own})));
			expect([typeOf(suspects, ...own), typeOf(suspects, 'part:A', 'part:other', 'request:G')]).toEqual(['convicted', 'unsuspected']);
		}
	});

	it('is not convicted of answers that were lost on the way, as it is answered in between', () => {
		const suspects = new Suspects();
		for (const [index, at] of [100, 300, 500, 700].entries()) {
			record(suspects, [report(`e${index}`, at, '', {causes})]);
			suspects.recordAnswers(scope, causes, at + 100);
		}

		expect(typeOf(suspects, ...causes)).toBe('unsuspected');
	});
});

describe('sound requests', () => {
	it('are not convicted by engines that crash in a group without a cause', () => {
		const suspects = new Suspects();
		record(suspects, [report('e1', 100, 'N1'), report('e2', 101, 'N2'), report('e3', 102, 'N3'), report('e4', 103, 'N4')]);
		expect(listConvicted(suspects)).toEqual([]);
		suspects.recordAnswers(scope, ['part:N'], 400);
		expect(typesOf(suspects, ['N5'])).toEqual(['unsuspected']);
	});

	it('are not suspected for connections that broke at engines that go on', () => {
		const suspects = new Suspects();
		record(suspects, [report('e1', 100, 'N1'), report('e2', 300, 'N2'), report('e3', 500, 'N3')]);
		expect(listConvicted(suspects)).toEqual(['N']);
		suspects.recordSurvival({upstream: 'e2', started: 1}, 600);
		expect([listConvicted(suspects), suspects.recordCrash(report('e2', 301, 'N7'), 700)]).toEqual([[], false]);
	});

	it('are not blamed for crashes of engines that were gone when they were sent, though something accepted their connections', () => {
		const suspects = new Suspects();
		record(suspects, ['e1', 'e2', 'e3'].map((engine, index) => report(engine, 100, `${index}`)));
		record(suspects, ['e1', 'e2', 'e3'].map((engine, index) => report(engine, 400 + index, 'N', {sent: 390 + index})));
		expect([listConvicted(suspects), typesOf(suspects, ['N'])]).toEqual([[], ['unsuspected']]);
	});

	it('are cleared by an answer whose report arrives before that of the crash', () => {
		const suspects = new Suspects();
		suspects.recordAnswers(scope, ['part:N'], 900);
		record(suspects, [report('e1', 100, 'N1'), report('e2', 300, 'N2'), report('e3', 500, 'N3')]);
		expect(typesOf(suspects, ['N5'])).toEqual(['unsuspected']);
	});
});

describe('a conviction', () => {
	function convict(): Suspects {
		const suspects = new Suspects();
		record(suspects, [report('e1', 100, 'B1'), report('e2', 300, 'B2'), report('e3', 500, 'B3')]);
		return suspects;
	}

	it('ends with an answer at any host', () => {
		const suspects = convict();
		expect(suspects.recordAnswers(scope, ['part:B', 'part:X'], 800)).toEqual(['part:B']);
		expect([listConvicted(suspects), typesOf(suspects, ['B4'])]).toEqual([[], ['unsuspected']]);
	});

	it('is tested by one request soon, by another one a minute after its crash, and rarely after five crashes', () => {
		const suspects = convict();
		for (const [last, due, upstream] of [[500, 10_500, 'e4'], [10_800, 70_800, 'e5']] as const) {
			expect(typesOf(suspects, ['B4'], due - 1)).toEqual(['convicted']);
			const trial = assess(suspects, 'B4', due);
			expect([trial.type, last]).toEqual(['trial', last]);
			suspects.recordTrial(trial.type === 'trial' ? trial.key : '', due);
			expect(typesOf(suspects, ['B5'], due + 100)).toEqual(['convicted']);
			record(suspects, [report(upstream, due + 300, 'B4')]);
		}

		expect([typesOf(suspects, ['B5'], 671_000), typesOf(suspects, ['B5'], 671_200)]).toEqual([['convicted'], ['trial']]);
		expect(computeTrialTime([0, 1, 2, 400_000, 1_000_000])).toBe(1_000_000 + 2_400_000);
	});

	it('for what all requests have in common is never found while answers to some of them have begun', () => {
		const suspects = new Suspects();
		record(suspects, [report('e1', 100, 'AB'), report('e1', 100, 'A1', {hasBegun: true}), report('e2', 300, 'AC'), report('e2', 300, 'AB'), report('e3', 500, 'AB')]);
		expect(listConvicted(suspects)).toEqual(['B']);
		const others = new Suspects();
		others.recordBeginnings(scope, ['part:A'], 50);
		record(others, [report('e1', 100, 'AB'), report('e2', 300, 'AB'), report('e3', 500, 'AB')]);
		expect(listConvicted(others)).toEqual(['B']);
	});

	it('for requests that crash engines in the middle of their answers is found once nothing else is left to blame', () => {
		const suspects = new Suspects();
		record(suspects, [100, 300, 500].flatMap((at, index) => [report(`e${index}`, at, 'L', {hasBegun: true}), report(`e${index}`, at, `${index}`)]));
		expect(listConvicted(suspects)).toEqual([]);
		suspects.recordAnswers(scope, ['part:0', 'part:1', 'part:2'], 700);
		expect(listConvicted(suspects)).toEqual(['L']);
	});

	it('is tested by one host after the other', () => {
		const suspects = convict();
		const request = {service, causes: ['part:B' as const], versions: ['v1']};
		expect([0, 2].map(turn => suspects.assess(request, () => turn, 11_000).type)).toEqual(['trial', 'convicted']);
		expect(suspects.assess(request, () => 2, 13_000).type).toBe('trial');
	});

	it('is tested once at engines of another version, which one crash convicts too', () => {
		const suspects = convict();
		expect(assess(suspects, 'B4', 1000, ['v1', 'v2']).type).toBe('convicted');
		const trial = assess(suspects, 'B4', 2500, ['v1', 'v2']);
		expect(trial).toMatchObject({type: 'trial', versions: ['v2']});
		suspects.recordTrial(trial.type === 'trial' ? trial.key : '', 2500);
		expect(assess(suspects, 'B5', 2600, ['v1', 'v2']).type).toBe('convicted');
		record(suspects, [report('n1', 2700, 'B4', {scope: {service, version: 'v2'}})]);
		expect(assess(suspects, 'B5', 60_000, ['v1', 'v2']).type).toBe('convicted');
	});

	it('holds for the former version only once engines of another one have answered', () => {
		const suspects = convict();
		suspects.recordAnswers({service, version: 'v2'}, ['part:B'], 2600);
		expect([assess(suspects, 'B5', 2700, ['v1', 'v2']), assess(suspects, 'B5', 2700, ['v1']).type]).toEqual([{type: 'unsuspected', versions: ['v2']}, 'convicted']);
	});

	it('is lifted by an operator until the next crash, and added without one', () => {
		const suspects = convict();
		const order = {
			service, cause: 'part:B', given: 10, reason: 'test', at: 900,
		} as const;
		expect([suspects.recordOrder({...order, action: 'lift'}), suspects.recordOrder({...order, action: 'add', given: 9})]).toEqual([true, false]);
		expect(typesOf(suspects, ['B4'])).toEqual(['unsuspected']);
		record(suspects, [report('e4', 1000, 'B4')]);
		expect(typesOf(suspects, ['B5'])).toEqual(['convicted']);
		suspects.recordOrder({...order, cause: 'part:X', action: 'add'});
		expect(assess(suspects, 'X').type).toBe('convicted');
	});

	it.each([1, 2, 3, 4, 5])('is the same at all hosts, in whatever order they learn of crashes and answers (order %i)', seed => {
		const random = createRandom(seed);
		const events: Array<(suspects: Suspects) => void> = [];
		for (const [index, at] of [100, 300, 500, 700].entries()) {
			for (const each of [report(`e${index}`, at, `AB${index}`), report(`e${index}`, at + 2, 'AS'), report(`e${index}`, at, 'T', {hasBegun: true})]) {
				events.push(suspects => {
					suspects.recordCrash(each, 1000);
				});
			}
		}

		events.push(suspects => {
			suspects.recordAnswers(scope, ['part:A', 'part:S'], 800);
		}, suspects => {
			suspects.recordSurvival({upstream: 'e3', started: 1}, 900);
		});
		const suspects = new Suspects();
		while (events.length > 0) {
			const [next] = events.splice(random.integer(0, events.length - 1), 1);
			next!(suspects);
		}

		expect(listConvicted(suspects)).toEqual(['B']);
	});
});

it('answers to parts that requests share are kept, however many requests with parts of their own are answered', () => {
	const answers = new Answers();
	for (let index = 0; index < 20_000; index++) {
		answers.record(scope, `part:own-${index}`, index);
		if (index < 1000) {
			answers.record(scope, `part:shared-${index % 60}`, index);
		}
	}

	expect([answers.findTime(scope, 'part:shared-39'), answers.findTime(scope, 'part:own-0'), answers.findTime(scope, 'part:own-19999')]).toEqual([999, undefined, 19_999]);
});

it('evidence is bounded, and that of convictions is dropped last', () => {
	const crashes = new Crashes();
	for (let index = 0; index < 3000; index++) {
		crashes.record(report(`e${index}`, index, `${index % 10}`));
	}

	crashes.prune(3000, ({upstream}) => upstream === 'e0');
	expect([crashes.reportCount, [...crashes.all][0]!.upstream]).toEqual([1000, 'e0']);
	crashes.prune(1_000_000, ({upstream}) => upstream === 'e0');
	expect(crashes.reportCount).toBe(1);
});

describe('suspected requests', () => {
	const engines = Array.from({length: 12}, (_, index): GatewayUpstream => ({
		id: `e${index}`, service, address: {host: 'h', port: index}, failureDomain: 'a', slots: 8, isDraining: false,
	}));

	it('go to the same engine from every host, and to the next one if that is gone', () => {
		const ranked = rankForCause('part:B', engines).map(({id}) => id);
		const shuffled = rankForCause('part:B', engines.toReversed()).map(({id}) => id);
		expect([shuffled, rankForCause('part:B', engines.filter(({id}) => id !== ranked[0]))[0]!.id]).toEqual([ranked, ranked[1]]);
	});

	it('have an engine to themselves from the second crash on, for a while, and at most a quarter of the engines', () => {
		const suspect = (cause: Cause, crashes: number, last = 0) => ({cause, crashes, last});
		expect([...listAvoided([suspect('part:B', 2), suspect('part:N', 1)], engines, 1000)]).toEqual([rankForCause('part:B', engines)[0]!.id]);
		expect(listAvoided([suspect('part:B', 2)], engines, 4000).size).toBe(0);
		expect(listAvoided([...'abcdefgh'].map(part => suspect(`part:${part}`, 2)), engines, 0).size).toBeLessThanOrEqual(3);
	});
});

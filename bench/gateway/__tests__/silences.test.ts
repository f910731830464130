/** Engines that send nothing for a while, in virtual time: what becomes of the answers that began there. */
import {describe, expect, it} from 'vitest';
import {countAnswers, type AnswerCounts} from '../results.js';
import {Simulation, type SimulationOptions} from '../simulation.js';
import {drawSilences, EngineClocks, type SilenceScope} from '../silences.js';
import {generateArrivals, newsroomKinds, replicaModel} from '../workload.js';

const hosts = 6;
const engines = 20;
const arrivalPeriodMs = 20_000;
const endMs = 40_000;
const scopes: readonly SilenceScope[] = ['one', 'some', 'all'];
const seeds = [1, 2, 3];

/** At the full rate, iterations with long prompts make callers leave other streams, without any silence. */
const rateFactor = 0.5;

const noRetries = {ratio: 0, window: 10_000, allowance: 0};

type Run = {
	readonly scope: SilenceScope;
	readonly seed: number;
	readonly hasDeath?: boolean;
	readonly change?: Partial<SimulationOptions>;
};

function simulate({scope, seed, hasDeath, change}: Run): AnswerCounts {
	const silences = drawSilences({
		engines, scope, from: 3000, until: 18_000, hasDeath,
	}, seed);
	const simulation = new Simulation({
		model: replicaModel, hosts, engines, strategy: 'product', updateDelay: 6, silences, ...change,
	});
	const kinds = newsroomKinds.map(kind => ({...kind, rate: kind.rate * rateFactor}));
	return countAnswers(simulation.run(generateArrivals({
		kinds, phases: [], length: arrivalPeriodMs, hosts,
	}, seed), endMs));
}

describe.each(scopes)('%s silent', scope => {
	// Guards against answers that are given up for others that aren't secured.
	it.each(seeds)('each answer that began ends whole, with tokens or without (seed %i)', {timeout: 60_000}, seed => {
		expect(simulate({scope, seed})).toMatchObject({brokenOff: 0, enginesUsedUp: 0, lateSuccessor: 0});
		expect(simulate({scope, seed, change: {retries: noRetries}})).toMatchObject({brokenOff: 0, enginesUsedUp: 0, lateSuccessor: 0});
	});

	it.each(seeds)('each answer that began ends whole if one engine never sends again and there are tokens (seed %i)', {timeout: 60_000}, seed => {
		const {begun, brokenOff} = simulate({scope, seed, hasDeath: true});
		expect(begun).toBeGreaterThan(100);
		expect(brokenOff).toBe(0);
	});
});

it('answers that are given up for others that aren\'t secured are broken off', {timeout: 60_000}, () => {
	const change: Partial<SimulationOptions> = {retries: noRetries, succession: 'given up first'};
	expect(seeds.every(seed => simulate({scope: 'all', seed, change}).brokenOff > 0)).toBe(true);
});

it('hardly any answer runs twice if all engines are silent at once, and many more if answers are given up first', {timeout: 60_000}, () => {
	for (const seed of seeds) {
		const {sentAgain} = simulate({scope: 'all', seed});
		expect(sentAgain * 4).toBeLessThan(simulate({scope: 'all', seed, change: {succession: 'given up first'}}).sentAgain);
	}
});

describe('engine clocks', () => {
	const clocks = new EngineClocks([{engine: 0, from: 100, until: 200}, {engine: 0, from: 300, until: 400}, {engine: 1, from: 100, until: Number.POSITIVE_INFINITY}]);

	it('add the silences during which an engine doesn\'t run', () => {
		expect([[50, 20], [50, 60], [150, 10], [150, 150], [450, 10]].map(([at, duration]) => clocks.computeEnd(0, at!, duration!))).toEqual([70, 210, 210, 450, 460]);
		expect([clocks.computeEnd(1, 50, 40), clocks.computeEnd(1, 50, 60), clocks.computeEnd(2, 50, 60)]).toEqual([90, Number.POSITIVE_INFINITY, 110]);
	});

	it('tell silent engines from dead ones', () => {
		expect([clocks.isSilent(0, 150), clocks.isSilent(0, 200), clocks.isSilent(1, 150)]).toEqual([true, false, true]);
		expect([clocks.isDead(0, 150), clocks.isDead(1, 150), clocks.isDead(1, 50)]).toEqual([false, true, false]);
	});
});

it('the same seed draws the same silences, of the engines in its scope', () => {
	const draw = (scope: SilenceScope) => drawSilences({
		engines, scope, from: 0, until: 20_000,
	}, 7);
	expect(draw('some')).toEqual(draw('some'));
	expect(new Set(draw('all').map(({engine}) => engine)).size).toBe(engines);
	const firstMs = 1000;
	expect(draw('one').filter(({from}) => from < firstMs)).toHaveLength(1);
	const some = draw('some').filter(({from}) => from < firstMs).length;
	expect(some > 1 && some < engines).toBe(true);
});

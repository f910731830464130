import {describe, expect, it} from 'vitest';
import {summarize, type Summary} from '../../../bench/model/measure.js';
import {runScenario, type Scenario} from '../../../bench/model/scenarios.js';

const seeds = [1, 2];
const durationMs = 90_000;
const deadlineMs = 120_000;

function summarizeScenario(scenario: Pick<Scenario, 'policy' | 'seed' | 'load' | 'isShortAlone'>): Summary {
	return summarize(runScenario({...scenario, duration: durationMs, deadline: deadlineMs}).results, durationMs / 1000);
}

describe('decisions under load, in simulated time', () => {
	it.each(seeds)('at 70% load, long prompts hardly slow down short ones, and no request starves (seed %i)', seed => {
		const mixed = summarizeScenario({policy: 'cost', seed, load: 0.7});
		const alone = summarizeScenario({
			policy: 'cost', seed, load: 0.7, isShortAlone: true,
		});
		const turns = summarizeScenario({policy: 'round-robin', seed, load: 0.7});
		expect(mixed.short / alone.short).toBeLessThanOrEqual(1.35);
		expect(mixed.short / alone.short).toBeLessThanOrEqual(turns.short / alone.short / 3);
		expect(mixed.late).toBe(0);
		expect(mixed.done).toBe(mixed.requests);
		expect(mixed.worst).toBeLessThan(1);
	});

	it.each(seeds)('at 130% load, no admitted request is late, and few are given up (seed %i)', seed => {
		const {results} = runScenario({
			policy: 'cost', seed, load: 1.3, duration: durationMs, deadline: deadlineMs,
		});
		const over = summarize(results, durationMs / 1000);
		expect(over.late).toBe(0);
		expect(over.givenUp / over.requests).toBeLessThan(0.03);
		expect(over.short).toBeLessThan(1000);
		const refused = results.filter(each => each.outcome?.type === 'not-run' && each.end === each.arrival.at);
		expect(refused.every(each => each.outcome?.type === 'not-run' && each.outcome.retryAfter! > 0)).toBe(true);
	});

	it('at 200% load, small organisations get their share regardless of the demand of large ones', () => {
		const {results} = runScenario({
			policy: 'cost', seed: 3, load: 2, duration: durationMs, deadline: deadlineMs,
		});
		const served = (part: string) => {
			const all = results.filter(each => each.arrival.organisation.startsWith(part) && each.arrival.promptTokens < 100_000);
			return all.filter(each => each.outcome?.type === 'done').length / all.length;
		};

		expect(served('small')).toBeGreaterThanOrEqual(0.9);
		expect(served('small')).toBeGreaterThanOrEqual(served('large'));
	});

	it('makes the same decisions for the same seed', () => {
		const again = () => JSON.stringify(runScenario({
			policy: 'cost', seed: 4, load: 0.7, duration: 10_000,
		}).results);
		expect(again()).toBe(again());
	});
});

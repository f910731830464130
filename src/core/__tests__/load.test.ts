import {describe, expect, it} from 'vitest';
import {summary, type Figures} from '../../../bench/model/measure.js';
import {run, type Scenario} from '../../../bench/model/scenarios.js';

const seeds = [1, 2];
const duration = 90_000;
const deadline = 120_000;

function figures(scenario: Pick<Scenario, 'policy' | 'seed' | 'load' | 'isShortAlone'>): Figures {
	return summary(run({...scenario, duration, deadline}).results, duration / 1000);
}

describe('decisions under load, in virtual time', () => {
	it.each(seeds)('at 70% load short prompts hardly notice the others, and none is starved (seed %i)', seed => {
		const mixed = figures({policy: 'cost', seed, load: 0.7});
		const alone = figures({
			policy: 'cost', seed, load: 0.7, isShortAlone: true,
		});
		const turns = figures({policy: 'round-robin', seed, load: 0.7});
		expect(mixed.short / alone.short).toBeLessThanOrEqual(1.35);
		expect(mixed.short / alone.short).toBeLessThanOrEqual(turns.short / alone.short / 3);
		expect(mixed.late).toBe(0);
		expect(mixed.done).toBe(mixed.requests);
		expect(mixed.worst).toBeLessThan(1);
	});

	it.each(seeds)('at 130% load nothing admitted is late, and engines keep working (seed %i)', seed => {
		const {results} = run({
			policy: 'cost', seed, load: 1.3, duration, deadline,
		});
		const over = summary(results, duration / 1000);
		expect(over.late).toBe(0);
		expect(over.givenUp / over.requests).toBeLessThan(0.03);
		expect(over.short).toBeLessThan(1000);
		const refused = results.filter(each => each.outcome?.type === 'not-run' && each.end === each.arrival.at);
		expect(refused.every(each => each.outcome?.type === 'not-run' && each.outcome.retryAfter! > 0)).toBe(true);
	});

	it('at twice the load, small organisations are served within their share however much large ones ask for', () => {
		const {results} = run({
			policy: 'cost', seed: 3, load: 2, duration, deadline,
		});
		const served = (part: string) => {
			const all = results.filter(each => each.arrival.organisation.startsWith(part) && each.arrival.promptTokens < 100_000);
			return all.filter(each => each.outcome?.type === 'done').length / all.length;
		};

		expect(served('small')).toBeGreaterThanOrEqual(0.9);
		expect(served('small')).toBeGreaterThanOrEqual(served('large'));
	});

	it('decides the same for the same seed', () => {
		const again = () => JSON.stringify(run({
			policy: 'cost', seed: 4, load: 0.7, duration: 10_000,
		}).results);
		expect(again()).toBe(again());
	});
});

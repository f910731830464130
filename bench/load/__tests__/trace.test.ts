import {describe, expect, it} from 'vitest';
import {countTokens, hashBlocks, renderPrompt} from '../../../src/protocol/blocks.js';
import {scenarioSchema} from '../scenario.js';
import {buildContent, generateTrace, type PlannedRequest} from '../trace.js';

const scenario = scenarioSchema.parse({
	seed: 7,
	entries: [{host: '127.0.0.1', port: 1}, {host: '127.0.0.1', port: 2}],
	service: 's',
	rate: 1000,
	duration: 5000,
	timeout: 1000,
	organisations: [{id: 'large', key: 'l', weight: 9}, {id: 'small', key: 's'}],
	nonIdempotent: 0.25,
	classes: [
		{
			name: 'short', weight: 49, prompt: {least: 1000, most: 4000}, output: {least: 10, most: 20}, prefixes: {count: 3, tokens: 768, share: 0.5},
		},
		{
			name: 'long', weight: 1, prompt: {least: 100_000, most: 1_000_000}, output: {least: 10, most: 20},
		},
	],
});

function share(requests: readonly PlannedRequest[], isCounted: (planned: PlannedRequest) => boolean): number {
	return requests.filter(each => isCounted(each)).length / requests.length;
}

describe('trace', () => {
	const trace = generateTrace(scenario);

	it('is the same for the same seed and differs for another seed', () => {
		expect(generateTrace(scenario)).toEqual(trace);
		expect(generateTrace({...scenario, seed: 8})[0]).not.toEqual(trace[0]);
	});

	it('has the rate and the shares of the scenario', () => {
		expect(trace.length).toBeGreaterThan(4700);
		expect(trace.length).toBeLessThan(5300);
		expect(share(trace, each => each.promptClass.name === 'long')).toBeCloseTo(0.02, 1);
		expect(share(trace, each => each.organisation.id === 'small')).toBeCloseTo(0.1, 1);
		expect(share(trace, each => each.key !== undefined)).toBeCloseTo(0.25, 1);
		expect(new Set(trace.map(each => each.entry.port)).size).toBe(2);
	});

	it('gives prompts with the same prefix equal first blocks, and every prompt a text of its own', () => {
		const alike = trace.filter(each => each.prefix === 1).slice(0, 20);
		const prompts = alike.map(each => renderPrompt([{role: 'user', content: buildContent(each, scenario)}]));
		expect(new Set(prompts).size).toBe(20);
		const first = prompts.map((prompt, index) => hashBlocks(prompt, alike[index]!.promptTokens).slice(0, 2).join(','));
		expect(new Set(first).size).toBe(1);
		for (const [index, prompt] of prompts.entries()) {
			expect(countTokens(prompt) * scenario.tokensPerTextToken).toBe(alike[index]!.promptTokens);
		}
	});
});

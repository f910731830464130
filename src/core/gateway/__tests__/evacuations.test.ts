/** Plays an evacuation under load: callers keep being served by the other failure domains, and by none of the evacuated ones. */
import {describe, expect, it} from 'vitest';
import {computeShortestWait, countObstacles} from '../placement/eligibility.js';
import {Evacuations, maxEvacuatedDomains} from '../registry/evacuations.js';
import {Health} from '../health/health.js';
import {Load} from '../engines/load.js';
import {place} from '../placement/placement.js';
import {defaultPolicy} from '../placement/policy.js';
import {Registry} from '../registry/registry.js';
import {type Demand, type EngineModel, type GatewayUpstream} from '../types.js';
import {createUpstream} from './fixtures.js';

const model: EngineModel = {
	slots: 8, memory: 100_000, stride: 10, step: 1, perRequest: 0.01, perThousand: 0.01, readRate: 200, pairs: 0.01, chunk: 2048, hop: 0.1, usualPrompt: 5000, usualAnswer: 100,
};

const engines: readonly GatewayUpstream[] = ['a', 'b', 'c'].flatMap(failureDomain => [0, 1, 2].map(index => createUpstream(`${failureDomain}${index}`, {failureDomain, slots: 8})));
const everyone = {excluded: new Set<string>()};

function createRegistry(era = 1): Registry {
	const registry = new Registry();
	registry.reset({
		era, revision: 100, changed: 100, upstreams: engines, evacuated: [],
	});
	return registry;
}

/** Places prompts of which some need several engines, and returns the domains of all engines that got a part of one. */
function playLoad(registry: Registry): {readonly domains: ReadonlySet<string>; readonly refused: number} {
	const domains = new Set<string>();
	let refused = 0;
	for (let index = 0; index < 60; index++) {
		const demand: Demand = {
			id: `r${index}`, service: 'model', kind: 'streaming', priority: 1, arrived: 0, due: 300, deadline: 8000, prompt: {tokens: index % 3 === 0 ? 160_000 : 5000, answer: 100},
		};
		const placement = place(demand, engines, model, {
			policy: defaultPolicy,
			load: new Load(),
			health: new Health(),
			host: `host-${index}`,
			failureDomain: ['a', 'b', 'c'][index % 3]!,
			unreachable: new Set(),
			eligibility: everyone,
			findObstacle: ({failureDomain}) => registry.isEvacuated(failureDomain) ? {type: 'evacuation'} : undefined,
			now: 0,
		});
		refused += placement === undefined ? 1 : 0;
		for (const engine of placement === undefined ? [] : [placement.upstream, ...placement.helpers]) {
			domains.add(engine.failureDomain);
		}
	}

	return {domains, refused};
}

describe('callers while domains are evacuated', () => {
	it('are served by the other domains, prompts that need several engines as well, and by all after the revocation', () => {
		const registry = createRegistry();
		expect(playLoad(registry)).toEqual({domains: new Set(['a', 'b', 'c']), refused: 0});
		registry.apply({
			type: 'evacuated', domain: 'b', era: 1, revision: 101,
		});
		expect(playLoad(registry)).toEqual({domains: new Set(['a', 'c']), refused: 0});
		registry.apply({
			type: 'evacuation-ended', domain: 'b', era: 1, revision: 102,
		});
		expect(playLoad(registry)).toEqual({domains: new Set(['a', 'b', 'c']), refused: 0});
	});

	it('are refused without a time to wait for if every domain is evacuated', () => {
		const registry = createRegistry();
		for (const [index, domain] of ['a', 'b', 'c'].entries()) {
			registry.apply({
				type: 'evacuated', domain, era: 1, revision: 101 + index,
			});
		}

		const findObstacle = ({failureDomain}: GatewayUpstream) => registry.isEvacuated(failureDomain) ? {type: 'evacuation'} as const : undefined;
		expect(playLoad(registry)).toEqual({domains: new Set(), refused: 60});
		expect([computeShortestWait(engines, everyone, findObstacle), countObstacles(engines, findObstacle)]).toEqual([undefined, {evacuation: 9}]);
	});
});

describe('a registry', () => {
	it('gives its evacuations to a peer that is behind, and keeps them when an older build sends none', () => {
		const [reader, asker] = [createRegistry(), createRegistry()];
		reader.apply({
			type: 'evacuated', domain: 'b', era: 1, revision: 105,
		});
		reader.advance({era: 1, revision: 110});
		expect([reader.isCurrent({era: 1, revision: 104}), reader.isCurrent({era: 1, revision: 105})]).toEqual([false, true]);
		asker.merge(reader.snapshot);
		expect(asker.evacuated).toEqual(['b']);
		asker.merge({...reader.snapshot, revision: 120, evacuated: undefined});
		expect(asker.evacuated).toEqual(['b']);
		asker.merge({...reader.snapshot, evacuated: []});
		expect(asker.evacuated).toEqual(['b']);
		asker.merge({...reader.snapshot, revision: 130, evacuated: []});
		expect(asker.evacuated).toEqual([]);
	});

	it('ignores orders that are replayed or of another era', () => {
		const registry = createRegistry(2);
		registry.apply({
			type: 'evacuated', domain: 'a', era: 1, revision: 500,
		});
		registry.apply({
			type: 'evacuated', domain: 'b', era: 2, revision: 100,
		});
		expect(registry.evacuated).toEqual([]);
	});

	it('replaces all evacuations by a listing of the same era, and retains those that a backup lacks until they are ended', () => {
		const registry = createRegistry();
		registry.apply({
			type: 'evacuated', domain: 'a', era: 1, revision: 101,
		});
		const listing = {
			upstreams: engines, era: 1, revision: 110, changed: 110,
		};
		registry.reset({...listing, evacuated: ['b', 'c']});
		expect(registry.evacuated).toEqual(['b', 'c']);
		registry.reset({
			...listing, era: 2, revision: 90, changed: 90, evacuated: ['c'],
		});
		expect([registry.evacuated, registry.snapshot.evacuated, registry.hasRetainedEvacuations]).toEqual([['c', 'b'], ['c'], true]);
		registry.endRetainedEvacuations();
		expect(registry.evacuated).toEqual(['c']);
	});

	it('keeps an order that is written again in the new era, and ends one at once that is removed there', () => {
		const registry = createRegistry();
		registry.reset({
			upstreams: engines, era: 1, revision: 110, changed: 110, evacuated: ['a', 'b'],
		});
		registry.reset({
			upstreams: engines, era: 2, revision: 90, changed: 90, evacuated: [],
		});
		registry.apply({
			type: 'evacuated', domain: 'a', era: 2, revision: 91,
		});
		registry.apply({
			type: 'evacuation-ended', domain: 'b', era: 2, revision: 92,
		});
		expect([registry.evacuated, registry.hasRetainedEvacuations, registry.changed]).toEqual([['a'], false, 91]);
	});
});

it('the set is bounded, however many orders are written', () => {
	const evacuations = new Evacuations();
	for (let index = 0; index < maxEvacuatedDomains + 10; index++) {
		evacuations.order(`d${index}`);
	}

	evacuations.replace(Array.from({length: maxEvacuatedDomains + 10}, (_, index) => `e${index}`), true);
	expect(evacuations.all.length).toBe(2 * maxEvacuatedDomains);
});

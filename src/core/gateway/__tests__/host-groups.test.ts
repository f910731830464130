/** Groups of the hosts of a large failure domain: how many there are, and what a host may assume of jobs that it doesn't receive. */
import {describe, expect, it} from 'vitest';
import {Load} from '../engines/load.js';
import {JobSums} from '../limits/job-sums.js';
import {computeUnknownMemory} from '../placement/job-audience.js';
import {
	computeGroupCount, findHostGroup, isEngineOf, parseGroupCount,
} from '../registry/host-groups.js';
import {type EngineModel} from '../types.js';

const model: EngineModel = {
	slots: 8, memory: 160_000, stride: 8, step: 5, perRequest: 0.2, perThousand: 0.05, readRate: 200, pairs: 0.01, chunk: 2048, hop: 0, usualPrompt: 5000, usualAnswer: 200,
};

describe('groups', () => {
	it.each([[1, 1], [48, 1], [49, 2], [96, 2], [97, 3], [100, 3], [100_000, 64]])('of %i hosts are %i', (hosts, count) => {
		expect(computeGroupCount(hosts)).toBe(count);
	});

	// Guards against a host that receives too little, or a relay that fails, because of an announcement that can't be right.
	it.each([undefined, null, '2', 0, 1, -2, 2.5, Number.NaN, 65, {}])('announced as %s are ignored', value => {
		expect(parseGroupCount(value)).toBe(1);
	});

	it('have about as many hosts and engines each', () => {
		for (const index of [0, 1, 2]) {
			const hosts = Array.from({length: 300}, (_, each) => findHostGroup(`host-${each}`, 3)!).filter(group => group.index === index);
			const engines = Array.from({length: 300}, (_, each) => `engine-${each}`).filter(id => isEngineOf(id, {index, count: 3}));
			for (const size of [hosts.length, engines.length]) {
				expect(size).toBeGreaterThan(75);
				expect(size).toBeLessThan(125);
			}
		}
	});
});

// Guards against a prompt whose memory is taken by short jobs that this host doesn't receive.
it('memory of an engine outside the group is free only as far as short jobs in all its free slots leave it', () => {
	const load = new Load(undefined, (_, engine, known) => computeUnknownMemory(engine, known));
	expect(load.forecast('e0', model, 0).freeMemory).toBe(80_000);
	load.begin({
		id: 'long', host: 'b', upstream: 'e0', helpers: [], prompt: 40_000, answer: 0, isHeld: false, read: 500, readPerPass: 100, placing: 'first', weight: 1, began: 0, due: 1000, deadline: 1000,
	}, 0);
	expect(load.forecast('e0', model, 0).freeMemory).toBe(160_000 - 40_000 - model.stride - 70_000);
});

it('sums count jobs by service and organisation, requests of the own domain only, and no job a second time that a new relay gets again', () => {
	const sums = new JobSums();
	const job = {
		began: 1000, placing: 'first', weight: 2, organisation: 'a',
	} as const;
	sums.add(job, 's', true, 1100);
	sums.add({...job, isDelayed: true}, 's', false, 1100);
	sums.add({...job, placing: 'unreached before', organisation: undefined}, 's', true, 1100);
	sums.add(job, 's', true, 1501);
	expect(sums.take()).toEqual([
		{
			service: 's', organisation: 'a', count: 2, delayed: 1, weight: 4, requests: 1,
		},
		{
			service: 's', organisation: undefined, count: 1, delayed: 0, weight: 2, requests: 0,
		},
	]);
	expect(sums.isEmpty).toBe(true);
});

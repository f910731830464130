/** One soak: real gateway processes under mishaps from outside, and callers that check the promises. */
import {setTimeout as sleep} from 'node:timers/promises';
import {seeded} from '../model/workload.js';
import {Client} from './clients.js';
import {engines, Ground, plains} from './ground.js';
import {plan} from './plan.js';
import {broken, goesBack} from './promises.js';
import {Lag, recovered} from './recovery.js';

export type Soak = {
	readonly seed: number;
	readonly hosts: number;
	readonly clients: number;
	/** Milliseconds in which mishaps begin. */
	readonly length: number;
};

export type Outcome = {
	readonly requests: number;
	readonly served: number;
	readonly mishaps: number;
	/** Promises that were broken. */
	readonly broken: readonly string[];
	/** What happened, for whoever looks for a cause. */
	readonly story: readonly string[];
};

/**
 * @param soak - Seed and size.
 * @returns What was served and which promises were broken.
 */
export async function run(soak: Soak): Promise<Outcome> {
	using lag = new Lag();
	await using ground = await Ground.start(soak.hosts);
	const {site} = ground;
	const planned = plan(soak.seed, {
		hosts: soak.hosts, upstreams: engines + plains, links: ground.links, length: soak.length,
	});
	const clients = Array.from({length: soak.clients}, (_, index) => new Client(`c${index}`, site, seeded((soak.seed * 1000) + index)));
	const ending = new AbortController();
	const running = clients.map(async client => client.run(ending.signal));
	const began = performance.now();
	for (const {at, mishap} of planned) {
		await sleep(Math.max(0, began + at - performance.now()));
		ground.strike(mishap);
	}

	await ground.settle();
	ending.abort();
	await Promise.all(running);
	const after = await recovered(ground);
	const visits = clients.flatMap(client => client.visits);
	const back = ground.versions().filter(versions => goesBack(versions)).map(versions => `a host went back: ${versions.join(', ')}`);
	return {
		requests: visits.length,
		served: visits.filter(({result}) => result.type === 'answered' && result.answer.status === 200 && result.answer.isWhole).length,
		mishaps: planned.length,
		story: ground.story,
		broken: [...broken(visits, id => site.ledger.of(id), ground.excuses, lag.most), ...after, ...back],
	};
}

#!/usr/bin/env node
/** Measures the time of one placement, by the number of engines whose pace differs from 1: `node dist/bench/gateway/placement-cost-main.js`. */
import process from 'node:process';
import {Command} from 'commander';
import {Health} from '../../src/core/gateway/health/health.js';
import {Load} from '../../src/core/gateway/engines/load.js';
import {Paces, type Phase} from '../../src/core/gateway/engines/paces.js';
import {place, type PlacementOptions} from '../../src/core/gateway/placement/placement.js';
import {defaultPolicy} from '../../src/core/gateway/placement/policy.js';
import {type Demand, type GatewayUpstream} from '../../src/core/gateway/types.js';
import {parsePositiveInteger} from '../options.js';
import {deskKinds, deskModel} from './workload.js';

/** Monotonic time of the placements in milliseconds. */
const now = 1_000_000;

/** Streams at each engine, and pieces of evidence for each phase of an uneven one. */
const streams = 3;
const samples = 9;

const phases: readonly Phase[] = ['decode', 'prefill'];

/** Placements in a row, whose mean is one measurement, and measurements. */
const batchSize = 50;
const batches = 60;

const nanosecondsPerMicrosecond = 1000;

function createPaces(upstreams: readonly GatewayUpstream[]): Paces {
	const paces = new Paces();
	for (const {id: upstream} of upstreams) {
		for (let index = 0; index < samples; index++) {
			for (const phase of phases) {
				paces.recordSample({
					upstream, phase, configured: 43, measured: 172, at: now - index,
				});
			}
		}
	}

	return paces;
}

function createLoad(upstreams: readonly GatewayUpstream[], paces: Paces): Load {
	const load = new Load((upstream, at) => paces.get(upstream, at));
	for (const {id} of upstreams) {
		for (let index = 0; index < streams; index++) {
			load.begin({
				id: `${id}.${index}`, host: 'h', upstream: id, helpers: [], prompt: 5000, answer: 1300, isHeld: false, read: 25, readPerPass: 25, pause: 200, weight: 1, placing: 'first', began: now - 300, due: now, deadline: now + 9000, firstByte: now - 100,
			}, now);
		}
	}

	return load;
}

function measure(upstreams: readonly GatewayUpstream[], tokens: number, objective: number, unevenCount: number): readonly number[] {
	const options: PlacementOptions = {
		policy: defaultPolicy, load: createLoad(upstreams, createPaces(upstreams.slice(0, unevenCount))), health: new Health(), host: 'h0', failureDomain: 'd0', unreachable: new Set(), findObstacle: () => undefined, eligibility: {excluded: new Set()}, now,
	};
	const demand: Demand = {
		id: 'r', service: 's', kind: 'streaming', priority: 1, arrived: now, due: now + objective, deadline: now + 10_000, pause: 200, prompt: {tokens, answer: 1300},
	};
	return Array.from({length: batches}, () => {
		const start = process.hrtime.bigint();
		for (let index = 0; index < batchSize; index++) {
			place(demand, upstreams, deskModel, options);
		}

		return Number(process.hrtime.bigint() - start) / batchSize / nanosecondsPerMicrosecond;
	}).toSorted((a, b) => a - b);
}

const command = new Command('bench-placement-cost')
	.description('Measures the time of one placement.')
	.option('--engines <n>', 'engines', parsePositiveInteger, 75)
	.action(({engines}: {readonly engines: number}) => {
		const upstreams: readonly GatewayUpstream[] = Array.from({length: engines}, (_, index) => ({
			id: `e${index}`, service: 's', address: {host: '10.0.0.1', port: index + 1}, failureDomain: `d${index % 3}`, slots: deskModel.slots, isDraining: false,
		}));
		for (const {name, prompt, objective} of deskKinds.slice(0, 2)) {
			for (const unevenCount of [0, Math.ceil(engines / 4), engines]) {
				const times = measure(upstreams, prompt.mean, objective, unevenCount);
				process.stdout.write(`${name}, ${unevenCount} of ${engines} uneven: least ${times[0]!.toFixed(0)}, median ${times[batches / 2]!.toFixed(0)} us\n`);
			}
		}
	});

await command.parseAsync();

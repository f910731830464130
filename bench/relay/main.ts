#!/usr/bin/env node
/**
 * Measures the cost of relaying: processor time for each streamed frame and the delay added to the first frame. Compares the
 * entry daemon with a plain Node pipe, which run alternately against the same engines.
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Command} from 'commander';
import got from 'got';
import {z} from 'zod';
import {type Address} from '../../src/core/index.js';
import {Child} from '../fleet/child.js';
import {Fleet} from '../fleet/fleet.js';
import {openStream, type Stream} from './streams.js';

/** A relay under measurement. */
type Relay = {
	readonly name: string;
	readonly address: Address;
	/** URL of the processor time. */
	readonly cost: string;
};

/** Measurements of one round at one relay. */
type Round = {
	readonly frames: number;
	/** Processor microseconds for each frame. */
	readonly processor: number;
	/** Times to the first frame in milliseconds. */
	readonly firstFrames: readonly number[];
};

const costSchema = z.object({processor: z.object({user: z.number(), system: z.number()})});
const pauseMs = 200;

async function readProcessor(url: string): Promise<number> {
	const {processor} = costSchema.parse(await got(url).json());
	return processor.user + processor.system;
}

async function measureRound(relay: Relay, load: (address: Address) => Promise<readonly Stream[]>): Promise<Round> {
	const before = await readProcessor(relay.cost);
	const streams = await load(relay.address);
	const processorTime = await readProcessor(relay.cost) - before;
	const frames = streams.reduce((sum, stream) => sum + stream.frames, 0);
	return {frames, processor: processorTime / frames, firstFrames: streams.map(stream => stream.firstFrame)};
}

function getQuantile(values: readonly number[], share: number): number {
	const sorted = values.toSorted((one, other) => one - other);
	return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? Number.NaN;
}

async function openParallelStreams(address: Address, round: number, streams: number, tokens: number): Promise<readonly Stream[]> {
	return Promise.all(Array.from({length: streams}, async (_, index) =>
		openStream(address, `stream ${index} of round ${round}`, tokens, `${address.port}-${round}-${index}`)));
}

/** Opens one stream at a time, so that only the relay delays the first frame. */
async function openSequentialStreams(address: Address, round: number, count: number): Promise<readonly Stream[]> {
	const results: Stream[] = [];
	for (let index = 0; index < count; index++) {
		results.push(await openStream(address, `single ${index} of ${round}`, 1, `s${address.port}-${round}-${index}`));
	}

	return results;
}

async function run(rounds: number, streams: number, tokens: number): Promise<unknown> {
	await using fleet = await Fleet.start({
		domains: ['a'],
		hosts: [1],
		services: [{
			id: 'check',
			kind: 'model',
			model: 'check',
			deadline: {default: 60_000, most: 120_000},
			idempotent: true,
			policy: 'round-robin',
		}],
		engines: [{
			service: 'check',
			perDomain: 8,
			settings: {batchSlowdown: 0, decodeInterval: 36, answer: {least: tokens, most: tokens}},
		}],
		organisations: [{id: 'bench'}],
	});
	const host = fleet.hosts.alive[0]!;
	await using pipe = await Child.start({
		name: 'pipe',
		program: 'bench/relay/pipe.js',
		settings: JSON.stringify({engines: fleet.configuration.upstreams.map(upstream => upstream.address)}),
		readyEvent: 'ready',
		keepsLog: false,
	});
	const pipeAddress = {host: '127.0.0.1', port: Number(pipe.readyLine.port)};
	const relays: readonly Relay[] = [
		{name: 'entry', address: host.caller, cost: `http://127.0.0.1:${host.admin!.port}/admin/cost`},
		{name: 'pipe', address: pipeAddress, cost: `http://127.0.0.1:${pipeAddress.port}/cost`},
	];
	const results = new Map<string, Array<{readonly many: Round; readonly single: Round}>>();
	for (let round = 0; round <= rounds; round++) {
		for (const relay of relays) {
			const single = await measureRound(relay, async address => openSequentialStreams(address, round, 100));
			const many = await measureRound(relay, async address => openParallelStreams(address, round, streams, tokens));
			await sleep(pauseMs);
			// The first round only warms up.
			if (round > 0) {
				results.set(relay.name, [...results.get(relay.name) ?? [], {many, single}]);
			}
		}
	}

	return summarise(results);
}

function summarise(results: ReadonlyMap<string, ReadonlyArray<{readonly many: Round; readonly single: Round}>>) {
	const figures = Object.fromEntries([...results].map(([name, rounds]) => {
		const processor = rounds.map(({many}) => many.processor);
		const first = rounds.flatMap(({single}) => single.firstFrames);
		return [name, {
			frames: rounds.map(({many}) => many.frames),
			microsecondsPerFrame: {median: getQuantile(processor, 0.5), least: Math.min(...processor), most: Math.max(...processor)},
			firstFrame: {p50: getQuantile(first, 0.5), p99: getQuantile(first, 0.99)},
			microsecondsPerShortRequest: getQuantile(rounds.map(({single}) => single.processor), 0.5),
		}];
	}));
	const {entry, pipe} = figures;
	return {
		figures,
		processorRatio: entry!.microsecondsPerFrame.median / pipe!.microsecondsPerFrame.median,
		addedFirstFrame: {p50: entry!.firstFrame.p50 - pipe!.firstFrame.p50, p99: entry!.firstFrame.p99 - pipe!.firstFrame.p99},
	};
}

await new Command('relay')
	.description('Compares the cost of relaying with that of a plain pipe.')
	.option('--rounds <count>', 'measured rounds', Number, 5)
	.option('--streams <count>', 'streams at a time', Number, 200)
	.option('--tokens <count>', 'tokens of each stream', Number, 220)
	.action(async ({rounds, streams, tokens}: {readonly rounds: number; readonly streams: number; readonly tokens: number}) => {
		process.stdout.write(`${JSON.stringify(await run(rounds, streams, tokens), undefined, 2)}\n`);
	})
	.parseAsync();

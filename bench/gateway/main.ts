#!/usr/bin/env node
/** Compares policies over many seeds: `npm run bench:gateway -- --seeds 20`. */
import process from 'node:process';
import {Command, InvalidArgumentError} from 'commander';
import {type EngineModel} from '../../src/core/gateway/types.js';
import {Simulation, type Policy, type Result} from './simulation.js';
import {
	arrivals, newsroom, tides, type Workload,
} from './workload.js';

/** A 70-billion model's replica with eight requests a batch more than it has places for long prompts. */
const model: EngineModel = {
	slots: 11, memory: 232_000, stride: 43, step: 1.02, perRequest: 0.003_29, perThousand: 0.004_31, readRate: 206, pairs: 0.138, chunk: 2048, hop: 0.075, usualPrompt: 12_316, usualAnswer: 1303,
};

const policies: readonly Policy[] = ['product', 'omniscient', 'least-requests', 'fixed-border'];

function isInTime({arrival, firstEvent, longestPause, isDone}: Result): boolean {
	return isDone && firstEvent !== undefined && firstEvent <= arrival.kind.objective && longestPause <= arrival.kind.pause;
}

function earned(result: Result): number {
	if (isInTime(result)) {
		return result.arrival.weight;
	}

	return result.isDone ? result.arrival.weight * result.arrival.kind.lateShare : 0;
}

type Row = {
	readonly name: string;
	readonly asked: number;
	readonly inTime: number;
	readonly lateFirst: number;
	readonly latePause: number;
	readonly refused: number;
	readonly unfinished: number;
	readonly worth: number;
};

function rowOf(name: string, results: readonly Result[]): Row {
	let owed = 0;
	let got = 0;
	for (const result of results) {
		owed += result.arrival.weight;
		got += earned(result);
	}

	const count = (test: (result: Result) => boolean) => results.filter(result => test(result)).length;
	return {
		name,
		asked: results.length,
		inTime: count(isInTime),
		lateFirst: count(({firstEvent, arrival}) => firstEvent !== undefined && firstEvent > arrival.kind.objective),
		latePause: count(({longestPause, arrival}) => longestPause > arrival.kind.pause),
		refused: count(result => result.isRefused),
		unfinished: count(result => !result.isRefused && !result.isDone),
		worth: got / owed,
	};
}

function positive(text: string): number {
	const value = Number(text);
	if (!Number.isFinite(value) || value <= 0) {
		throw new InvalidArgumentError('A positive number is wanted.');
	}

	return value;
}

const command = new Command('bench-gateway')
	.description('Plays loads on gateways before model engines in virtual time, by policy.')
	.option('--seeds <n>', 'seeds to play', positive, 10)
	.option('--engines <n>', 'engines', positive, 23)
	.option('--hosts <n>', 'hosts', positive, 6)
	.option('--load <x>', 'rates are multiplied by this', positive, 1)
	.option('--policy <name>', 'only this policy')
	.action(({seeds, engines, hosts, load, policy}: {seeds: number; engines: number; hosts: number; load: number; policy?: string}) => {
		const workload: Workload = {
			kinds: newsroom.map(kind => ({...kind, rate: kind.rate * load})), phases: tides, length: 32_000, hosts,
		};
		for (const each of policies.filter(name => policy === undefined || name === policy)) {
			const results: Result[] = [];
			for (let seed = 1; seed <= seeds; seed++) {
				const site = {
					model, hosts, engines, policy: each,
				};
				results.push(...new Simulation(site).run(arrivals(workload, seed), workload.length + 16_000));
			}

			process.stdout.write(`${each}\n`);
			for (const row of [rowOf('all', results), ...newsroom.map(kind => rowOf(kind.name, results.filter(({arrival}) => arrival.kind.name === kind.name)))]) {
				process.stdout.write(`  ${row.name.padEnd(7)} asked ${row.asked}  in time ${(row.inTime / row.asked).toFixed(3)}  first late ${row.lateFirst}  pause late ${row.latePause}  refused ${row.refused}  unfinished ${row.unfinished}  worth ${row.worth.toFixed(3)}\n`);
			}
		}
	});

await command.parseAsync();

#!/usr/bin/env node
/** Compares policies over many seeds: `npm run bench:gateway -- --seeds 20`. */
import process from 'node:process';
import {Command, InvalidArgumentError} from 'commander';
import {isInTime, worthServed} from './results.js';
import {Simulation, type Policy, type Result} from './simulation.js';
import {
	arrivals, newsroom, replica, tides, type Workload,
} from './workload.js';

const policies: readonly Policy[] = ['product', 'omniscient', 'least-requests', 'fixed-border'];

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
	const count = (test: (result: Result) => boolean) => results.filter(result => test(result)).length;
	return {
		name,
		asked: results.length,
		inTime: count(isInTime),
		lateFirst: count(({firstEvent, arrival}) => firstEvent !== undefined && firstEvent > arrival.kind.objective),
		latePause: count(({longestPause, arrival}) => longestPause > arrival.kind.pause),
		refused: count(result => result.isRefused),
		unfinished: count(result => !result.isRefused && !result.isDone),
		worth: worthServed(results),
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
	.option('--news <ms>', 'milliseconds that news take between hosts', positive, 6)
	.option('--load <x>', 'rates are multiplied by this', positive, 1)
	.option('--policy <name>', 'only this policy')
	.action(({seeds, engines, hosts, load, news, policy}: {seeds: number; engines: number; hosts: number; load: number; news: number; policy?: string}) => {
		const workload: Workload = {
			kinds: newsroom.map(kind => ({...kind, rate: kind.rate * load})), phases: tides, length: 32_000, hosts,
		};
		for (const each of policies.filter(name => policy === undefined || name === policy)) {
			const results: Result[] = [];
			for (let seed = 1; seed <= seeds; seed++) {
				const site = {
					model: replica, hosts, engines, policy: each, newsDelay: news,
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

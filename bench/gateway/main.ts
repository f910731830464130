#!/usr/bin/env node
/** Compares policies over many seeds: `npm run bench:gateway -- --seeds 20`, or over loads with a plot: `--loads 0.6,1,1.4 --plot FILE`. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {Command, InvalidArgumentError} from 'commander';
import {
	isMechanism, mechanisms, policyWithout, usualPolicy, type Mechanism,
} from '../../src/core/gateway/policy.js';
import {drawn} from './plots.js';
import {isInTime, worthServed} from './results.js';
import {Simulation, type Chooser, type Result} from './simulation.js';
import {
	arrivals, newsroom, replica, tides, type Workload,
} from './workload.js';

const choosers: readonly Chooser[] = ['product', 'omniscient', 'least-requests', 'fixed-border'];

/** Milliseconds of arrivals, and after them until the last deadline. */
const length = 32_000;
const ending = 16_000;

type Choices = {
	readonly seeds: number;
	readonly engines: number;
	readonly hosts: number;
	readonly news: number;
	readonly loads: readonly number[];
	readonly policy?: string;
	readonly plot?: string;
	readonly without: readonly Mechanism[];
};

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

function positives(text: string): readonly number[] {
	return text.split(',').map(each => positive(each));
}

function mechanismNames(text: string): readonly Mechanism[] {
	const names = text.split(',');
	if (names.every(name => isMechanism(name))) {
		return names;
	}

	throw new InvalidArgumentError(`Mechanisms are ${mechanisms.join(', ')}.`);
}

function play({seeds, engines, hosts, news, without}: Choices, load: number, chooser: Chooser): readonly Result[] {
	const workload: Workload = {
		kinds: newsroom.map(kind => ({...kind, rate: kind.rate * load})), phases: tides, length, hosts,
	};
	const site = {
		model: replica, hosts, engines, chooser, newsDelay: news, policy: policyWithout(usualPolicy, without),
	};
	return Array.from({length: seeds}, (_, index) => new Simulation(site).run(arrivals(workload, index + 1), length + ending)).flat();
}

function print(title: string, results: readonly Result[]): void {
	const rows = [rowOf('all', results), ...newsroom.map(({name}) => rowOf(name, results.filter(({arrival}) => arrival.kind.name === name)))];
	process.stdout.write(`${title}\n`);
	for (const row of rows) {
		const late = `first late ${row.lateFirst}  pause late ${row.latePause}`;
		const lost = `refused ${row.refused}  unfinished ${row.unfinished}`;
		process.stdout.write(`  ${row.name.padEnd(7)} asked ${row.asked}  in time ${(row.inTime / row.asked).toFixed(3)}  ${late}  ${lost}  worth ${row.worth.toFixed(3)}\n`);
	}
}

function compare(choices: Choices): void {
	const chosen = choosers.filter(name => choices.policy === undefined || name === choices.policy);
	const series = chosen.map(name => ({
		name,
		points: choices.loads.map((load): readonly [number, number] => {
			const results = play(choices, load, name);
			print(choices.loads.length === 1 ? name : `${name}, load ${load}`, results);
			return [load, worthServed(results)];
		}),
	}));
	if (choices.plot !== undefined) {
		const title = `${choices.hosts} hosts, ${choices.engines} engines, news ${choices.news} ms old, ${choices.seeds} seeds`;
		writeFileSync(choices.plot, drawn({
			title, x: 'load (1: the bursts of a calm day)', y: 'worth served', series,
		}));
	}
}

const command = new Command('bench-gateway')
	.description('Plays loads on gateways before model engines in virtual time, by policy.')
	.option('--seeds <n>', 'seeds to play', positive, 10)
	.option('--engines <n>', 'engines', positive, 23)
	.option('--hosts <n>', 'hosts', positive, 6)
	.option('--news <ms>', 'milliseconds that news take between hosts', positive, 6)
	.option('--loads <x,...>', 'rates are multiplied by each of these in turn', positives, [1])
	.option('--policy <name>', 'only this policy')
	.option('--without <mechanism,...>', `the product's decisions without: ${mechanisms.join(', ')}`, mechanismNames, [])
	.option('--plot <file>', 'write worth by load as an SVG plot')
	.action((choices: Choices) => {
		compare(choices);
	});

await command.parseAsync();

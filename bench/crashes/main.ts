#!/usr/bin/env node
/** Fuzzes how hosts find out what crashes engines, in virtual time: `npm run fuzz:crashes -- --seeds 200`. */
import process from 'node:process';
import {Command} from 'commander';
import {parsePositiveInteger} from '../options.js';
import {runCrashes} from './run.js';

type Options = {
	readonly seeds: number;
	readonly seed: number;
	readonly hosts?: number;
	readonly length: number;
	readonly measure: boolean;
};

const command = new Command('fuzz:crashes')
	.description('Plays crashing parts of prompts on modelled fleets in virtual time; exit code 1 if something that must hold did not.')
	.option('--seeds <n>', 'number of runs', parsePositiveInteger, 50)
	.option('--seed <n>', 'seed of the first run', parsePositiveInteger, 1)
	.option('--hosts <n>', 'number of hosts; drawn if absent', parsePositiveInteger)
	.option('--length <s>', 'virtual seconds of each run', parsePositiveInteger, 60)
	.option('--measure', 'count bytes between hosts, processor time and memory', false)
	.action(({
		seeds, seed, hosts, length, measure,
	}: Options) => {
		for (let index = 0; index < seeds; index++) {
			const before = process.cpuUsage();
			const result = runCrashes({
				seed: seed + index, hosts, length: length * 1000, isMeasured: measure,
			});
			const {user, system} = process.cpuUsage(before);
			const cost = measure ? `, ${result.bytes} bytes, ${Math.round((user + system) / 1000)} ms of processor time, ${Math.round(process.memoryUsage().heapUsed / 1_000_000)} MB of heap` : '';
			process.stdout.write(`seed ${seed + index}: ${result.requests} requests, ${result.crashes} crashes ${JSON.stringify(result.byPart)}, sound ${result.soundShare.toFixed(3)}${cost}, ${result.broken.length} broken\n`);
			for (const each of result.broken) {
				process.stdout.write(`  ${each}\n`);
				process.exitCode = 1;
			}
		}
	});

command.parse();

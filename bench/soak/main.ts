#!/usr/bin/env node
/** Soaks with one seed after another: `npm run soak -- --seeds 50 --seed 1`. */
import process from 'node:process';
import {Command} from 'commander';
import {wholeNumber} from '../options.js';
import {run} from './run.js';

type Options = {
	readonly seeds: number;
	readonly seed: number;
	readonly hosts: number;
	readonly clients: number;
	readonly length: number;
};

const command = new Command('soak')
	.description('Real gateway processes under mishaps from outside; exit code 1 if a promise was broken.')
	.option('--seeds <n>', 'soaks, one after another', wholeNumber, 1)
	.option('--seed <n>', 'seed of the first', wholeNumber, 1)
	.option('--hosts <n>', 'gateway processes', wholeNumber, 3)
	.option('--clients <n>', 'callers', wholeNumber, 8)
	.option('--length <s>', 'seconds in which mishaps begin', wholeNumber, 12)
	.action(async ({seeds, seed, hosts, clients, length}: Options) => {
		for (let index = 0; index < seeds; index++) {
			const outcome = await run({
				seed: seed + index, hosts, clients, length: length * 1000,
			});
			process.stdout.write(`seed ${seed + index}: ${outcome.requests} requests, ${outcome.served} served, ${outcome.mishaps} mishaps, ${outcome.broken.length} promises broken\n`);
			for (const each of outcome.broken.length === 0 ? [] : [...outcome.story, ...outcome.broken]) {
				process.stdout.write(`  ${each}\n`);
				process.exitCode = 1;
			}
		}
	});

await command.parseAsync();

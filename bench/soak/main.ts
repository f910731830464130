#!/usr/bin/env node
/** Runs soaks for consecutive seeds: `npm run soak -- --seeds 50 --seed 1`. */
import process from 'node:process';
import {Command, Option} from 'commander';
import {parsePositiveInteger} from '../options.js';
import {runSoak} from './run.js';

type Options = {
	readonly seeds: number;
	readonly seed: number;
	readonly hosts: number;
	readonly clients: number;
	readonly length: number;
	readonly links: Links;
};

/** Whether hosts share the links to upstreams, or have links of their own, which are severed. */
const linkKinds = ['alternate', 'severable', 'shared'] as const;
type Links = typeof linkKinds[number];

function hasSeverableLinks(links: Links, seed: number): boolean {
	return links === 'severable' || (links === 'alternate' && seed % 2 === 0);
}

const command = new Command('soak')
	.description('Runs real gateway processes under injected faults; exit code 1 if a guarantee was broken.')
	.option('--seeds <n>', 'number of soaks, one after another', parsePositiveInteger, 1)
	.option('--seed <n>', 'seed of the first soak', parsePositiveInteger, 1)
	.option('--hosts <n>', 'number of gateway processes', parsePositiveInteger, 3)
	.option('--clients <n>', 'number of callers', parsePositiveInteger, 8)
	.option('--length <s>', 'seconds in which faults begin', parsePositiveInteger, 12)
	.addOption(new Option('--links <kind>', 'links to upstreams: shared by all hosts, severable for each host, or alternate with the seed').choices(linkKinds).default('alternate'))
	.action(async ({
		seeds, seed, hosts, clients, length, links,
	}: Options) => {
		for (let index = 0; index < seeds; index++) {
			const result = await runSoak({
				seed: seed + index, hosts, clients, length: length * 1000, hasSeverableLinks: hasSeverableLinks(links, seed + index),
			});
			process.stdout.write(`seed ${seed + index}: ${result.requests} requests, ${result.served} served, ${result.faults} faults, ${result.broken.length} guarantees broken\n`);
			for (const each of result.broken.length === 0 ? [] : [...result.history, ...result.broken]) {
				process.stdout.write(`  ${each}\n`);
				process.exitCode = 1;
			}
		}
	});

await command.parseAsync();

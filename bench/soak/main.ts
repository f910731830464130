#!/usr/bin/env node
/** Runs soaks for consecutive seeds: `npm run soak -- --seeds 50 --seed 1`. */
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {Command, Option} from 'commander';
import {parsePositiveInteger} from '../options.js';
import {type PausableCounts} from './pausable-engines.js';
import {runSoak, type SoakResult} from './run.js';

type Options = {
	readonly seeds: number;
	readonly seed: number;
	readonly hosts: number;
	readonly clients: number;
	readonly length: number;
	readonly links: Links;
	readonly retries: Retries;
	/** Folder for the logs of hosts under which a guarantee was broken. */
	readonly logs?: string;
};

/** Whether hosts share the links to upstreams, or have links of their own, which are severed. */
const linkKinds = ['alternate', 'severable', 'shared'] as const;
type Links = typeof linkKinds[number];

/** Whether hosts have a retry budget. */
const retryKinds = ['alternate', 'budget', 'none'] as const;
type Retries = typeof retryKinds[number];

/** Differs from the links, so that any four consecutive seeds have all combinations. */
function hasRetryBudget(retries: Retries, seed: number): boolean {
	return retries === 'budget' || (retries === 'alternate' && seed % 4 < 2);
}

function hasSeverableLinks(links: Links, seed: number): boolean {
	return links === 'severable' || (links === 'alternate' && seed % 2 === 0);
}

function formatCounts({requests, begun, whole, commonlyPaused, repeated}: PausableCounts): string {
	return `at engines that were only paused: ${requests} requests, ${begun} begun, ${whole} whole; ${commonlyPaused} while all were paused, ${repeated} of these sent again meanwhile`;
}

/** Writes the faults, the broken guarantees and what the hosts logged; one line of JSON each. */
async function writeLogs(folder: string, seed: number, {history, broken, logs}: SoakResult): Promise<void> {
	const summary = {began: new Date(performance.timeOrigin).toISOString(), history, broken};
	await mkdir(folder, {recursive: true});
	await writeFile(path.join(folder, `soak-${seed}.jsonl`), [summary, ...logs].map(line => `${JSON.stringify(line)}\n`).join(''));
}

const command = new Command('soak')
	.description('Runs real gateway processes under injected faults; exit code 1 if a guarantee was broken.')
	.option('--seeds <n>', 'number of soaks, one after another', parsePositiveInteger, 1)
	.option('--seed <n>', 'seed of the first soak', parsePositiveInteger, 1)
	.option('--hosts <n>', 'number of gateway processes', parsePositiveInteger, 3)
	.option('--clients <n>', 'number of callers', parsePositiveInteger, 8)
	.option('--length <s>', 'seconds in which faults begin', parsePositiveInteger, 12)
	.addOption(new Option('--links <kind>', 'links to upstreams: shared by all hosts, severable for each host, or alternate with the seed').choices(linkKinds).default('alternate'))
	.addOption(new Option('--retries <kind>', 'retries of the hosts: within the usual budget, none, or alternate with the seed').choices(retryKinds).default('alternate'))
	.option('--logs <folder>', 'where to write the logs of the hosts if a guarantee was broken')
	.action(async ({
		seeds, seed, hosts, clients, length, links, retries, logs,
	}: Options) => {
		for (let index = 0; index < seeds; index++) {
			const result = await runSoak({
				seed: seed + index,
				hosts,
				clients,
				length: length * 1000,
				hasSeverableLinks: hasSeverableLinks(links, seed + index),
				hasRetryBudget: hasRetryBudget(retries, seed + index),
			});
			process.stdout.write(`seed ${seed + index}: ${result.requests} requests, ${result.served} served, ${result.faults} faults, ${result.broken.length} guarantees broken\n`);
			process.stdout.write(`  ${formatCounts(result.pausable)}\n`);
			for (const each of result.broken.length === 0 ? [] : [...result.history, ...result.broken]) {
				process.stdout.write(`  ${each}\n`);
				process.exitCode = 1;
			}

			if (logs !== undefined && result.broken.length > 0) {
				await writeLogs(logs, seed + index, result);
			}
		}
	});

await command.parseAsync();

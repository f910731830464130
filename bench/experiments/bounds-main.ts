#!/usr/bin/env node
/** `npm run bench:bounds`: fails if a ratio of the last results is outside `bench/bounds.json`. */
import {readFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {Command} from 'commander';
import {boundsSchema, findViolations} from './bounds.js';
import {type Summary} from './summary.js';

type Flags = {
	readonly bounds: string;
	readonly results: string;
};

function isSummary(value: unknown): value is {readonly summary: Summary} {
	return typeof value === 'object' && value !== null && 'summary' in value;
}

async function readSummary(directory: string, deployment: string): Promise<Summary> {
	const value: unknown = JSON.parse(await readFile(path.join(directory, `${deployment}.json`), 'utf8'));
	if (!isSummary(value)) {
		throw new TypeError(`the results of ${deployment} have no summary`);
	}

	return value.summary;
}

const command = new Command('bench:bounds')
	.option('--bounds <file>', 'bounds by deployment and ratio', 'bench/bounds.json')
	.option('--results <directory>', 'results of npm run bench', 'bench/results')
	.addHelpText('after', '\nExample:\n  npm run bench && npm run bench:bounds')
	.action(async (flags: Flags) => {
		const bounds = boundsSchema.parse(JSON.parse(await readFile(flags.bounds, 'utf8')));
		for (const deployment of Object.keys(bounds)) {
			const violations = findViolations(await readSummary(flags.results, deployment), bounds);
			for (const line of violations) {
				process.stdout.write(`${line}\n`);
				process.exitCode = 1;
			}
		}
	});
await command.parseAsync();

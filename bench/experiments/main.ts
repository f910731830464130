#!/usr/bin/env node
/** `npm run bench -- qalamkar eau-saine`: compares routing policies and writes JSON and Markdown tables. */
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {Command, InvalidArgumentError} from 'commander';
import {parsePositiveInteger} from '../options.js';
import {policySchema, type Policy} from '../../src/core/index.js';
import {exitOnSignals} from '../fleet/child.js';
import {measureCapacity} from './capacity.js';
import {comparePolicies, policies, type Run} from './experiment.js';
import {deployments, type Deployment} from './scenarios.js';
import {axes, measureSlope, formatSlope} from './slopes.js';
import {summarise} from './summary.js';
import {formatSummary} from './table.js';

type Flags = {
	readonly seeds: number;
	readonly duration: number;
	readonly out: string;
	readonly policies: readonly Policy[];
};

function parsePolicies(text: string): readonly Policy[] {
	const parsed = policySchema.array().min(1).safeParse(text.split(','));
	if (!parsed.success) {
		throw new InvalidArgumentError(`expected one or more of ${policySchema.options.join(', ')}`);
	}

	return parsed.data;
}

function findDeployment(name: string): Deployment {
	const found = deployments.find(each => each.name === name);
	if (found === undefined) {
		throw new InvalidArgumentError(`no deployment ${name}`);
	}

	return found;
}

function printRun({policy, kind, seed, result}: Run): void {
	const p95 = Object.entries(result.classes).map(([name, each]) => `${name} ${each.firstToken.p95.toFixed(0)} ms`).join(', ');
	process.stderr.write(`seed ${seed} ${policy} ${kind}: ${result.sent} sent, ${JSON.stringify(result.outcomes)}, first token p95 ${p95}, sending lag p99 ${result.sendingLag.p99.toFixed(0)} ms\n`);
}

async function runComparison(deployment: Deployment, {seeds, duration, out, policies: compared}: Flags): Promise<void> {
	const plan = {seeds: Array.from({length: seeds}, (_, index) => index + 1), policies: compared, duration};
	const runs = await comparePolicies(deployment, plan, printRun);
	const summary = summarise(deployment.name, runs);
	const table = formatSummary(summary);
	await mkdir(out, {recursive: true});
	await writeFile(path.join(out, `${deployment.name}.json`), JSON.stringify({summary, runs}, undefined, '\t'));
	await writeFile(path.join(out, `${deployment.name}.md`), table);
	process.stdout.write(table);
}

const command = new Command('bench').description('Run experiments on a whole fleet of local processes.');
command.command('compare', {isDefault: true})
	.description('compare routing policies in alternation')
	.argument('[deployments...]', 'qalamkar, eau-saine; both if absent')
	.option('--seeds <count>', 'runs of each kind', parsePositiveInteger, 5)
	.option('--duration <ms>', 'real milliseconds of each run', parsePositiveInteger, 12_000)
	.option('--policies <list>', 'policies to compare, separated by commas', parsePolicies, policies)
	.option('--out <directory>', 'where results go', 'bench/results')
	.addHelpText('after', '\nExample:\n  npm run bench -- qalamkar --seeds 5')
	.action(async (names: readonly string[], flags: Flags) => {
		const chosen = names.length === 0 ? deployments : names.map(name => findDeployment(name));
		for (const deployment of chosen) {
			await runComparison(deployment, flags);
		}
	});
command.command('capacity')
	.description('measure how many requests a second a deployment\'s engines can serve')
	.addHelpText('after', '\nExample:\n  npm run bench -- capacity')
	.action(async () => {
		for (const deployment of deployments) {
			const capacity = await measureCapacity(deployment);
			process.stdout.write(`${deployment.name}: ${capacity.toFixed(1)} requests a second\n`);
		}
	});
command.command('slopes')
	.description('measure how a daemon\'s cost grows with each size')
	.argument('[axes...]', `${axes.join(', ')}; all if absent`)
	.option('--out <directory>', 'where results go', 'bench/results')
	.addHelpText('after', '\nExample:\n  npm run bench -- slopes hosts engines')
	.action(async (names: readonly string[], {out}: Pick<Flags, 'out'>) => {
		const chosen = axes.filter(axis => names.length === 0 || names.includes(axis));
		await mkdir(out, {recursive: true});
		for (const axis of chosen) {
			const slope = await measureSlope(axis, ({size, cost}) => {
				process.stderr.write(`${axis} ${size}: ${JSON.stringify(cost)}\n`);
			});
			await writeFile(path.join(out, `slope-${axis}.json`), JSON.stringify(slope, undefined, '\t'));
			process.stdout.write(`${formatSlope(slope)}\n`);
		}
	});
exitOnSignals();
await command.parseAsync();

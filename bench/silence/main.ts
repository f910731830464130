#!/usr/bin/env node
/** Counts the streams that are cut, or run twice, while engines of a small deployment are silent. Prints a JSON line. */
import process from 'node:process';
import {Command, InvalidArgumentError} from 'commander';
import {measureSilence} from './experiment.js';

function parseCount(text: string): number {
	const value = Number(text);
	if (!Number.isInteger(value) || value < 0) {
		throw new InvalidArgumentError(`"${text}" is not a whole number`);
	}

	return value;
}

const command = new Command('bench:silence')
	.option('--seed <number>', 'seed of the silences', parseCount, 1)
	.option('--hosts <count>', 'hosts', parseCount, 6)
	.option('--engines <count>', 'engines', parseCount, 12)
	.option('--silent <count>', 'engines that fall silent each time', parseCount, 12)
	.option('--forever', 'they never send anything again', false)
	.option('--no-budget', 'the retry budget is spent')
	.option('--usual-short', 'the configuration states a usual answer far shorter than those of this experiment', false)
	.option('--no-changes', 'the configuration stays the same')
	.option('--length <seconds>', 'seconds in which requests are sent', parseCount, 20)
	.option('--rate <number>', 'requests per second', parseCount, 30)
	.parse();
const {seed, hosts, engines, silent, forever, budget, usualShort, changes, length, rate} = command.opts<{
	readonly seed: number;
	readonly hosts: number;
	readonly engines: number;
	readonly silent: number;
	readonly forever: boolean;
	readonly budget: boolean;
	readonly usualShort: boolean;
	readonly changes: boolean;
	readonly length: number;
	readonly rate: number;
}>();
if (silent > engines) {
	command.error(`error: ${silent} of ${engines} engines can't be silent`);
}

const report = await measureSilence({
	seed, hosts, engines, silent, isForever: forever, isBudgetSpent: !budget, isUsualTrue: !usualShort, hasChanges: changes, length: length * 1000, rate,
});
process.stdout.write(`${JSON.stringify(report)}\n`);

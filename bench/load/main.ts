#!/usr/bin/env node
/** `cranberrytide-load`: sends open-loop load from a scenario and prints the result as JSON. */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {Command} from 'commander';
import {z} from 'zod';
import {codes} from '../../src/core/index.js';
import {runLoad} from './run.js';
import {scenarioSchema} from './scenario.js';

const badScenarioExitCode = 2;

async function readScenario(source: string): Promise<unknown> {
	return JSON.parse(source === '-' ? await text(process.stdin) : await readFile(source, 'utf8'));
}

async function runFile(source: string): Promise<void> {
	const parsed = scenarioSchema.safeParse(await readScenario(source));
	if (parsed.success) {
		process.stdout.write(`${JSON.stringify(await runLoad(parsed.data))}\n`);
		return;
	}

	process.stderr.write(`${codes.badArgument} ${z.prettifyError(parsed.error)}\n`);
	process.exitCode = badScenarioExitCode;
}

const command = new Command('cranberrytide-load')
	.description('Sends requests at the times that a scenario intends, and measures from those times.')
	.argument('<scenario>', 'scenario file, or "-" for standard input')
	.addHelpText('after', '\nExample:\n  cranberrytide-load scenario.json > result.json')
	.action(runFile);
try {
	await command.parseAsync();
} catch (error) {
	process.stderr.write(`${codes.unreadableFile} ${error instanceof Error ? error.message : String(error)}\n`);
	process.exitCode = badScenarioExitCode;
}

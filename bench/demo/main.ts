#!/usr/bin/env node
/** `npm run demo`: runs a fleet on this machine and prints the time to the first token for prompts from 1,000 to 1,000,000 tokens. */
import process from 'node:process';
import {codes} from '../../src/core/index.js';
import {exitOnSignals} from '../fleet/child.js';
import {Fleet} from '../fleet/fleet.js';
import {getApiKey} from '../fleet/shape.js';
import {type ClassResult, type LoadResult} from '../load/recorder.js';
import {runLoad} from '../load/run.js';
import {scenarioSchema, type Scenario} from '../load/scenario.js';
import {
	answer, demoShape, service, timeScale,
} from './shape.js';

const output = {least: 16, most: 64};

function buildScenario(fleet: Fleet): Scenario {
	return scenarioSchema.parse({
		seed: 1,
		entries: fleet.hosts.alive.map(host => host.caller),
		service,
		rate: 20,
		duration: 12_000,
		timeout: 30_000,
		organisations: [{id: 'desk', key: getApiKey('desk'), weight: 3}, {id: 'archive', key: getApiKey('archive')}],
		classes: [
			{
				name: '1k-4k', weight: 70, prompt: {least: 1000, most: 4000}, output, prefixes: {count: 8, tokens: 768, share: 0.5},
			},
			{
				name: '4k-100k', weight: 25, prompt: {least: 4000, most: 100_000}, output,
			},
			{
				name: '100k-400k', weight: 3, prompt: {least: 100_000, most: 400_000}, output,
			},
			{
				name: '400k-1M', weight: 2, prompt: {least: 400_000, most: 1_000_000}, output,
			},
		],
		answer,
	});
}

function formatRow(name: string, {sent, done, firstToken}: ClassResult): string {
	const engineTime = (milliseconds: number) => (milliseconds * timeScale / 1000).toFixed(2);
	return `| ${name} | ${sent} | ${done} | ${firstToken.p50.toFixed(0)} | ${firstToken.p95.toFixed(0)} | ${engineTime(firstToken.p50)} |`;
}

function printReport({classes, outcomes, wrongAnswers}: LoadResult, order: readonly string[]): void {
	console.log('| prompt tokens | sent | answered | first token p50, ms | p95, ms | p50 in engine time, s |');
	console.log('|---|---|---|---|---|---|');
	for (const name of order) {
		const found = classes[name];
		if (found !== undefined) {
			console.log(formatRow(name, found));
		}
	}

	console.log(`\nResult codes: ${JSON.stringify(outcomes)}; wrong answers: ${wrongAnswers}.`);
}

async function runDemo(): Promise<boolean> {
	console.log('Starting a platform, 3 failure domains with 2 entry hosts each, and 12 engines ...');
	await using fleet = await Fleet.start(demoShape);
	const scenario = buildScenario(fleet);
	console.log(`Sending prompts from 1,000 to 1,000,000 tokens for ${scenario.duration / 1000} s; engines run ${timeScale} times as fast as real ones.\n`);
	const result = await runLoad(scenario);
	printReport(result, scenario.classes.map(each => each.name));
	return result.wrongAnswers === 0 && result.outcomes[codes.done] === result.sent;
}

exitOnSignals();
const isSuccessful = await runDemo();
if (!isSuccessful) {
	console.log('Some requests were not answered completely.');
	process.exitCode = 1;
}

/** Simulates the policies in virtual time for several seeds and prints the measured values. */
import process from 'node:process';
import {type Policy} from '../../src/core/index.js';
import {measureDecisionCost} from './decision.js';
import {summarize} from './measure.js';
import {runScenario, type Scenario} from './scenarios.js';

const policies: readonly Policy[] = ['cost', 'round-robin', 'random', 'least-requests'];
/** Used if no seeds are given as arguments. */
const defaultSeeds = ['1', '2', '3', '4', '5'];
const durationMs = 300_000;
/** Long enough that no policy refuses long prompts, which would improve its other values. */
const longDeadlineMs = 300_000;

function printScenario(scenario: Scenario): void {
	const started = performance.now();
	const {results, utilisation} = runScenario(scenario);
	const figures = summarize(results, scenario.duration / 1000);
	const rounded = Object.entries(figures).map(([name, value]) => `${name} ${Number(value.toPrecision(4))}`);
	const took = Math.round(performance.now() - started);
	const name = `${scenario.policy} seed ${scenario.seed} load ${scenario.load}${scenario.isShortAlone === true ? ' short alone' : ''}`;
	process.stdout.write(`${name}: ${rounded.join(', ')}, utilisation ${utilisation.toPrecision(2)}, took ${took} ms\n`);
}

for (const promptTokens of [2000, 30_000, 400_000]) {
	process.stdout.write(`one decision at 75 engines and 42 hosts, prompt of ${promptTokens} tokens: ${measureDecisionCost(promptTokens).toFixed(1)} microseconds\n`);
}

const seedArguments = process.argv.slice(2);
for (const seed of (seedArguments.length > 0 ? seedArguments : defaultSeeds).map(Number)) {
	for (const policy of policies) {
		printScenario({
			policy, seed, load: 0.7, duration: durationMs, deadline: longDeadlineMs,
		});
	}

	printScenario({
		policy: 'cost', seed, load: 0.7, duration: durationMs, deadline: longDeadlineMs, isShortAlone: true,
	});
	printScenario({
		policy: 'cost', seed, load: 1.3, duration: durationMs,
	});
	printScenario({
		policy: 'least-requests', seed, load: 1.3, duration: durationMs,
	});
}

/** Prints what the policies achieve in virtual time, for several seeds. */
import process from 'node:process';
import {type Policy} from '../../src/core/index.js';
import {decisionCost} from './decision.js';
import {summary} from './measure.js';
import {run, type Scenario} from './scenarios.js';

const policies: readonly Policy[] = ['cost', 'round-robin', 'random', 'least-requests'];
/** Given as arguments, or these. */
const usualSeeds = ['1', '2', '3', '4', '5'];
const duration = 300_000;
/** Long enough that no policy refuses a long prompt and looks the better for it. */
const patientDeadline = 300_000;

function line(scenario: Scenario): void {
	const started = performance.now();
	const {results, utilisation} = run(scenario);
	const figures = summary(results, scenario.duration / 1000);
	const rounded = Object.entries(figures).map(([name, value]) => `${name} ${Number(value.toPrecision(4))}`);
	const took = Math.round(performance.now() - started);
	const name = `${scenario.policy} seed ${scenario.seed} load ${scenario.load}${scenario.isShortAlone === true ? ' short alone' : ''}`;
	process.stdout.write(`${name}: ${rounded.join(', ')}, utilisation ${utilisation.toPrecision(2)}, took ${took} ms\n`);
}

for (const promptTokens of [2000, 30_000, 400_000]) {
	process.stdout.write(`one decision at 75 engines and 42 hosts, prompt of ${promptTokens} tokens: ${decisionCost(promptTokens).toFixed(1)} microseconds\n`);
}

const given = process.argv.slice(2);
for (const seed of (given.length > 0 ? given : usualSeeds).map(Number)) {
	for (const policy of policies) {
		line({
			policy, seed, load: 0.7, duration, deadline: patientDeadline,
		});
	}

	line({
		policy: 'cost', seed, load: 0.7, duration, deadline: patientDeadline, isShortAlone: true,
	});
	line({
		policy: 'cost', seed, load: 1.3, duration,
	});
	line({
		policy: 'least-requests', seed, load: 1.3, duration,
	});
}

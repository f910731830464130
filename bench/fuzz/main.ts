/** `npm run fuzz -- --runs N --seed S`: simulates several hosts under faults and checks the invariants. */
import process from 'node:process';
import {Command} from 'commander';
import {run} from './run.js';
import {type Simulation} from './simulation.js';

type Options = {
	readonly runs: string;
	readonly seed: string;
	readonly calm: boolean;
};

function countOutcomes(simulation: Simulation): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (const {outcome, right} of simulation.ledger.receivedAnswers) {
		const kind = right.split(' ')[0]!;
		const label = `${kind} ${outcome.type}${'code' in outcome ? ` ${outcome.code}` : ''}`;
		counts.set(label, (counts.get(label) ?? 0) + 1);
	}

	return counts;
}

function main(): void {
	const program = new Command()
		.option('--runs <number>', 'simulations to run', '20')
		.option('--seed <number>', 'seed of the first simulation', '1')
		.option('--calm', 'without faults', false)
		.parse();
	const options = program.opts<Options>();
	const totals = new Map<string, number>();
	let steps = 0;
	let violationCount = 0;
	for (let index = 0; index < Number(options.runs); index++) {
		const seed = Number(options.seed) + index;
		const {simulation, violations} = run({seed, hasFaults: !options.calm});
		steps += simulation.ledger.steps;
		violationCount += violations.length;
		for (const [label, count] of countOutcomes(simulation)) {
			totals.set(label, (totals.get(label) ?? 0) + count);
		}

		for (const {check, detail} of violations) {
			console.log(`seed ${seed}: ${check}: ${detail}`);
		}
	}

	for (const [label, count] of [...totals].toSorted(([a], [b]) => a < b ? -1 : 1)) {
		console.log(`${label}: ${count}`);
	}

	console.log(`${options.runs} runs from seed ${options.seed}, ${steps} steps, ${violationCount} breaches`);
	process.exitCode = violationCount > 0 ? 1 : 0;
}

main();

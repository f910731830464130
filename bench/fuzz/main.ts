/** `npm run fuzz -- --runs N --seed S`: runs the cores of several hosts under faults and checks the invariants. */
import process from 'node:process';
import {Command} from 'commander';
import {run} from './run.js';
import {type World} from './world.js';

type Options = {
	readonly runs: string;
	readonly seed: string;
	readonly calm: boolean;
};

function outcomes(world: World): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (const {outcome, right} of world.ledger.told) {
		const kind = right.split(' ')[0]!;
		const label = `${kind} ${outcome.type}${'code' in outcome ? ` ${outcome.code}` : ''}`;
		counts.set(label, (counts.get(label) ?? 0) + 1);
	}

	return counts;
}

function main(): void {
	const program = new Command()
		.option('--runs <number>', 'worlds to run', '20')
		.option('--seed <number>', 'seed of the first world', '1')
		.option('--calm', 'without faults', false)
		.parse();
	const options = program.opts<Options>();
	const totals = new Map<string, number>();
	let steps = 0;
	let breaches = 0;
	for (let index = 0; index < Number(options.runs); index++) {
		const seed = Number(options.seed) + index;
		const {world, violations} = run({seed, faults: !options.calm});
		steps += world.ledger.steps;
		breaches += violations.length;
		for (const [label, count] of outcomes(world)) {
			totals.set(label, (totals.get(label) ?? 0) + count);
		}

		for (const {check, detail} of violations) {
			console.log(`seed ${seed}: ${check}: ${detail}`);
		}
	}

	for (const [label, count] of [...totals].toSorted(([a], [b]) => a < b ? -1 : 1)) {
		console.log(`${label}: ${count}`);
	}

	console.log(`${options.runs} runs from seed ${options.seed}, ${steps} steps, ${breaches} breaches`);
	process.exitCode = breaches > 0 ? 1 : 0;
}

main();

/** `npm run fuzz:silences -- --seed N --runs M`: plays silent engines on the gateway in virtual time, and checks that no answer is cut. */
import process from 'node:process';
import {Command} from 'commander';
import {parsePositiveInteger} from '../options.js';
import {mutations} from './mutations.js';
import {checks, runSilences, type SilenceRun} from './run.js';

type Options = {
	readonly runs: number;
	readonly seed: number;
	readonly verbose: boolean;
	readonly log: boolean;
	readonly mutants: boolean;
};

function describe(seed: number, {situation, requests, refused, repeated, successors, obstacles, late}: SilenceRun): string {
	const scopes = situation.silences.map(({scope}) => scope).join(' ');
	const changes = situation.changes.map(({type}) => type).join(' ');
	const drawn = `${situation.hosts} hosts, ${situation.engines} engines, budget ${situation.budget}, silent: ${scopes}; ${changes}`;
	const counts = `${requests} requests, ${refused} refused, ${repeated} repeated, ${successors} successors, ${late} late`;
	return `seed ${seed}: ${drawn}: ${counts}, without successor ${JSON.stringify(obstacles)}`;
}

async function run({runs, seed, verbose, log}: Options): Promise<void> {
	const totals = {
		requests: 0, refused: 0, repeated: 0, successors: 0, late: 0, breaches: 0,
	};
	for (let index = 0; index < runs; index++) {
		const result = await runSilences(seed + index);
		if (verbose || result.breaches.length > 0) {
			process.stdout.write(`${describe(seed + index, result)}\n`);
		}

		for (const {check, detail} of result.breaches) {
			process.stdout.write(`  ${check}: ${detail}\n`);
		}

		for (const line of log ? result.lines : []) {
			process.stdout.write(`${JSON.stringify(line)}\n`);
		}

		totals.requests += result.requests;
		totals.refused += result.refused;
		totals.repeated += result.repeated;
		totals.successors += result.successors;
		totals.late += result.late;
		totals.breaches += result.breaches.length;
	}

	process.stdout.write(`${runs} runs from seed ${seed}: ${Object.entries(totals).map(([name, count]) => `${count} ${name}`).join(', ')}\n`);
	process.exitCode = totals.breaches > 0 ? 1 : 0;
}

/** Prints for each mutation how many breaches of each check the runs have. */
async function runMutations({runs, seed}: Options): Promise<void> {
	for (const {name, apply} of mutations) {
		const counts = new Map<string, number>();
		const restore = apply();
		for (let index = 0; index < runs; index++) {
			const {breaches} = await runSilences(seed + index);
			for (const {check} of breaches) {
				counts.set(check, (counts.get(check) ?? 0) + 1);
			}
		}

		restore();
		const cells = checks.filter(check => counts.has(check)).map(check => `${check} (${counts.get(check)})`);
		process.stdout.write(`${name}: ${cells.length > 0 ? cells.join(', ') : 'none'}\n`);
	}
}

const command = new Command('fuzz:silences')
	.description('Plays silent engines on the gateway in virtual time; exit code 1 if something that must hold did not.')
	.option('--runs <n>', 'number of runs', parsePositiveInteger, 50)
	.option('--seed <n>', 'seed of the first run', parsePositiveInteger, 1)
	.option('--verbose', 'print each run', false)
	.option('--log', 'print the lines of the hosts', false)
	.option('--mutants', 'turn off one mechanism at a time and print the checks that fail', false)
	.action(async (options: Options) => {
		await (options.mutants ? runMutations(options) : run(options));
	});

await command.parseAsync();

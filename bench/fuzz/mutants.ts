/** `node dist/bench/fuzz/mutants.js`: turns each mechanism off and prints which checks turn red. */
import {checks} from './invariants.js';
import {mutations, type Mutation} from './mutations.js';
import {run} from './run.js';

const runs = 24;

function redChecks(mutation: Mutation): ReadonlyMap<string, number> {
	const red = new Map<string, number>();
	for (let seed = 1; seed <= runs; seed++) {
		const {violations} = run({
			seed, mutation, length: 10_000, faults: seed % 3 !== 0,
		});
		for (const {check} of violations) {
			red.set(check, (red.get(check) ?? 0) + 1);
		}
	}

	return red;
}

console.log(`| mechanism off | checks that turn red (breaches in ${runs} runs) |`);
console.log('| --- | --- |');
for (const mutation of mutations) {
	const red = redChecks(mutation);
	const cells = checks.filter(check => red.has(check)).map(check => `${check} (${red.get(check)})`);
	console.log(`| ${mutation.name} | ${cells.length > 0 ? cells.join(', ') : 'none'} |`);
}

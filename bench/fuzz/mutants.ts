/** `node dist/bench/fuzz/mutants.js`: turns off one mechanism at a time and prints the checks that fail. */
import {checks} from './invariants.js';
import {mutations, type Mutation} from './mutations.js';
import {run} from './run.js';

const runCount = 24;

function countFailures(mutation: Mutation): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (let seed = 1; seed <= runCount; seed++) {
		const {violations} = run({
			seed, mutation, length: 10_000, hasFaults: seed % 3 !== 0,
		});
		for (const {check} of violations) {
			counts.set(check, (counts.get(check) ?? 0) + 1);
		}
	}

	return counts;
}

console.log(`| mechanism off | checks that turn red (breaches in ${runCount} runs) |`);
console.log('| --- | --- |');
for (const mutation of mutations) {
	const counts = countFailures(mutation);
	const cells = checks.filter(check => counts.has(check)).map(check => `${check} (${counts.get(check)})`);
	console.log(`| ${mutation.name} | ${cells.length > 0 ? cells.join(', ') : 'none'} |`);
}

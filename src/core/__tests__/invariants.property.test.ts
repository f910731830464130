import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {run} from '../../../bench/fuzz/run.js';

const seeds = fc.integer({min: 1, max: 1_000_000});

describe('several hosts under faults', () => {
	it('keep every invariant under reordering, loss, repeats, pauses, restarts and partitions', () => {
		fc.assert(fc.property(seeds, seed => {
			expect(run({seed, length: 8000}).violations).toEqual([]);
		}), {seed: 20_261_202, numRuns: 12});
	});
});

describe('requests that crash each upstream that runs them', () => {
	it('crash at most three upstreams of a failure domain while all hosts are live and linked', () => {
		fc.assert(fc.property(seeds, seed => {
			expect(run({seed, length: 8000, hasFaults: false}).violations).toEqual([]);
		}), {seed: 20_261_202, numRuns: 8});
	});
});

describe('several hosts without faults', () => {
	it('serve every operation, including those of callers that resend a key to random hosts', () => {
		fc.assert(fc.property(seeds, seed => {
			const {simulation, violations} = run({
				seed, length: 5000, hasFaults: false, hasPoison: false,
			});
			expect(violations).toEqual([]);
			const served = new Set(simulation.ledger.receivedAnswers.filter(each => each.outcome.type === 'done').map(each => each.operation));
			expect([...simulation.ledger.operations.keys()].filter(each => !served.has(each))).toEqual([]);
			expect(simulation.ledger.receivedAnswers.filter(each => each.outcome.type === 'unknown')).toEqual([]);
		}), {seed: 20_261_202, numRuns: 6});
	});
});

/**
 * `node dist/bench/fuzz/experiments.js`: measures what sealing gains, and what each kind of proof yields while a failure domain
 * is partitioned. The figures come from simulated networks and say nothing about speed.
 */
import {codes, type PeerMessage, type Proof} from '../../src/core/index.js';
import {Caller} from './callers.js';
import {findViolations} from './invariants.js';
import {type ReceivedAnswer} from './ledger.js';
import {type Mutation} from './mutations.js';
import {run} from './run.js';
import {Simulation} from './simulation.js';

const seeds = Array.from({length: 60}, (_, index) => index + 1);
const warmUpMs = 5000;
const sendCount = 300;
const sendIntervalMs = 40;

function isSeal(message: PeerMessage): boolean {
	return message.type === 'seal' || (message.type === 'relay' && isSeal(message.message));
}

const withoutSeals: Mutation = {
	name: 'without seals',
	event: event => event.type === 'peer-message' && isSeal(event.message) ? [] : undefined,
};

function hasCode(answer: ReceivedAnswer, type: ReceivedAnswer['outcome']['type'], code: number): boolean {
	return answer.outcome.type === type && 'code' in answer.outcome && answer.outcome.code === code;
}

function formatPercent(part: number, whole: number): string {
	return whole === 0 ? '-' : `${((100 * part) / whole).toFixed(1)} %`;
}

/** Counts the answers under tickets whose keeper gave no full answer, over all seeds: unknown, or proven not run. */
function measureSealing(mutation?: Mutation): void {
	let unknown = 0;
	let sealed = 0;
	let violationCount = 0;
	for (const seed of seeds) {
		const {simulation, violations: found} = run({seed, length: 10_000, mutation});
		const answers = simulation.ledger.receivedAnswers.filter(each => each.right.startsWith('t'));
		unknown += answers.filter(each => hasCode(each, 'unknown', codes.keeperUnreachable)).length;
		sealed += answers.filter(each => hasCode(each, 'not-run', codes.sealed)).length;
		violationCount += found.length;
	}

	console.log(`| ${mutation?.name ?? 'with seals'} | ${unknown} | ${sealed} | ${formatPercent(sealed, unknown + sealed)} | ${violationCount} |`);
}

/** Cuts one failure domain off from two others while callers send, and prints the outcomes on each side. */
function measurePartition(kind: Proof['type']): void {
	const simulation = new Simulation({
		seed: 7, failureDomains: ['a', 'b', 'c'], hostsPerDomain: 2, upstreamsPerDomain: 4, hasFaults: false,
	});
	simulation.scheduler.runUntil(warmUpMs);
	for (const each of [...simulation.hosts.keys(), ...simulation.upstreams.keys()]) {
		simulation.partitionSides.set(each, each.startsWith('a') ? 1 : 0);
	}

	simulation.scheduler.runUntil(warmUpMs + 1000);
	for (const [label, name] of [['one domain', 'a1'], ['two domains', 'b1']] as const) {
		const before = simulation.ledger.receivedAnswers.length;
		for (let index = 0; index < sendCount; index++) {
			simulation.scheduler.after(index * sendIntervalMs, () => {
				new Caller(simulation, kind, {at: name}).start();
			});
		}

		simulation.scheduler.runUntil(simulation.now + (sendCount * sendIntervalMs) + warmUpMs);
		const answers = simulation.ledger.receivedAnswers.slice(before);
		const first = new Map(answers.toReversed().map(each => [each.operation, each]));
		const last = new Map(answers.map(each => [each.operation, each]));
		const count = (all: ReadonlyMap<string, ReceivedAnswer>, type: string): number =>
			[...all.values()].filter(each => each.outcome.type === type).length;
		const shares = ['done', 'not-run', 'unknown'].map(type => formatPercent(count(first, type), first.size));
		console.log(`| ${kind} | ${label} | ${shares.join(' | ')} | ${formatPercent(count(last, 'done'), last.size)} |`);
	}

	console.log(`${findViolations(simulation.ledger).length} breaches`);
}

console.log('| | unknown (4003) | proven not run (2008) | share proven | breaches |\n| --- | --- | --- | --- | --- |');
measureSealing();
measureSealing(withoutSeals);
console.log('\n| proof | side | first answer: done | not run | unknown | done in the end |\n| --- | --- | --- | --- | --- | --- |');
for (const kind of ['ticket', 'none', 'key'] as const) {
	measurePartition(kind);
}

/**
 * `node dist/bench/fuzz/experiments.js`: what sealing gains, and what each proof gives under a partition of domains.
 * Figures are of simulated networks and say nothing of speed.
 */
import {codes, type PeerMessage, type Proof} from '../../src/core/index.js';
import {Caller} from './callers.js';
import {violations} from './invariants.js';
import {type Told} from './ledger.js';
import {type Mutation} from './mutations.js';
import {run} from './run.js';
import {World} from './world.js';

const seeds = Array.from({length: 60}, (_, index) => index + 1);
const warmUp = 5000;
const sendings = 300;
const sendingInterval = 40;

function isSeal(message: PeerMessage): boolean {
	return message.type === 'seal' || (message.type === 'relay' && isSeal(message.message));
}

const withoutSeals: Mutation = {
	name: 'without seals',
	event: event => event.type === 'peer-message' && isSeal(event.message) ? [] : undefined,
};

function isCode(told: Told, type: Told['outcome']['type'], code: number): boolean {
	return told.outcome.type === type && 'code' in told.outcome && told.outcome.code === code;
}

function percent(part: number, whole: number): string {
	return whole === 0 ? '-' : `${((100 * part) / whole).toFixed(1)} %`;
}

/** Answers under tickets whose keeper gave no full answer, over all seeds. */
function sealing(mutation?: Mutation): void {
	let unknown = 0;
	let sealed = 0;
	let breaches = 0;
	for (const seed of seeds) {
		const {world, violations: found} = run({seed, length: 10_000, mutation});
		const told = world.ledger.told.filter(each => each.right.startsWith('t'));
		unknown += told.filter(each => isCode(each, 'unknown', codes.keeperUnreachable)).length;
		sealed += told.filter(each => isCode(each, 'not-run', codes.sealed)).length;
		breaches += found.length;
	}

	console.log(`| ${mutation?.name ?? 'with seals'} | ${unknown} | ${sealed} | ${percent(sealed, unknown + sealed)} | ${breaches} |`);
}

/** One domain is cut off from two others while callers send. */
function partition(kind: Proof['type']): void {
	const world = new World({
		seed: 7, failureDomains: ['a', 'b', 'c'], hostsPerDomain: 2, upstreamsPerDomain: 4, faults: false,
	});
	world.agenda.runUntil(warmUp);
	for (const each of [...world.hosts.keys(), ...world.upstreams.keys()]) {
		world.sides.set(each, each.startsWith('a') ? 1 : 0);
	}

	world.agenda.runUntil(warmUp + 1000);
	for (const [label, name] of [['one domain', 'a1'], ['two domains', 'b1']] as const) {
		const before = world.ledger.told.length;
		for (let index = 0; index < sendings; index++) {
			world.agenda.after(index * sendingInterval, () => {
				new Caller(world, kind, {at: name}).start();
			});
		}

		world.agenda.runUntil(world.now + (sendings * sendingInterval) + warmUp);
		const told = world.ledger.told.slice(before);
		const first = new Map(told.toReversed().map(each => [each.operation, each]));
		const last = new Map(told.map(each => [each.operation, each]));
		const count = (all: ReadonlyMap<string, Told>, type: string): number => [...all.values()].filter(each => each.outcome.type === type).length;
		const shares = ['done', 'not-run', 'unknown'].map(type => percent(count(first, type), first.size));
		console.log(`| ${kind} | ${label} | ${shares.join(' | ')} | ${percent(count(last, 'done'), last.size)} |`);
	}

	console.log(`${violations(world.ledger).length} breaches`);
}

console.log('| | unknown (4003) | proven not run (2008) | share proven | breaches |\n| --- | --- | --- | --- | --- |');
sealing();
sealing(withoutSeals);
console.log('\n| proof | side | first answer: done | not run | unknown | done in the end |\n| --- | --- | --- | --- | --- | --- |');
for (const kind of ['ticket', 'none', 'key'] as const) {
	partition(kind);
}

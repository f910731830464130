/** One fuzz run: callers and faults for a while, then quiet, then the invariants. */
import {type Proof} from '../../src/core/index.js';
import {Caller} from './callers.js';
import {noteLeftHolds, takeHold} from './holds.js';
import {strikeUntil} from './faults.js';
import {violations, type Violation} from './invariants.js';
import {type Mutation} from './mutations.js';
import {World} from './world.js';

const quiet = 15_000;
const warmUp = 4000;

/** Entries that tables may have at the end for each operation: rights, claims and promises. */
const entriesPerOperation = 8;

export type Settings = {
	readonly seed: number;
	readonly faults?: boolean;
	/** Whether one operation in a hundred crashes the upstreams that run it. */
	readonly killers?: boolean;
	/** Time in which callers send and faults strike, in milliseconds. */
	readonly length?: number;
	readonly mutation?: Mutation;
};

export type Result = {
	readonly world: World;
	readonly violations: readonly Violation[];
};

function kindOf(die: number): Proof['type'] {
	if (die <= 40) {
		return 'key';
	}

	if (die <= 70) {
		return 'ticket';
	}

	return die <= 85 ? 'none' : 'idempotent';
}

function send(world: World, until: number, killers: boolean): void {
	world.agenda.after(world.dice.integer(10, 200), () => {
		if (world.now < until) {
			const die = world.dice.integer(1, 100);
			new Caller(world, kindOf(die), {kills: killers && die === 100}).start();
			if (world.living.length > 0 && world.dice.chance(20)) {
				takeHold(world, world.dice.pick(world.living));
			}

			send(world, until, killers);
		}
	});
}

function noteLeftovers(world: World): void {
	for (const {name, state} of world.living) {
		const {
			requests, tickets, keys, holds,
		} = state;
		const sizes = {
			admissions: requests.admissions.size,
			attempts: requests.attempts.size,
			releases: holds.releases.size,
			forwards: tickets.forwards.size,
			followers: tickets.followers.size,
			running: tickets.running.size,
			claiming: keys.claiming.length,
		};
		for (const [table, size] of Object.entries(sizes)) {
			if (size > 0) {
				world.ledger.leftovers.push(`${size} in ${table} of ${name}`);
			}
		}

		if (tickets.entries.size + keys.claims.size > entriesPerOperation * world.ledger.operations.size) {
			world.ledger.leftovers.push(`rights of ${name}: ${tickets.entries.size} and ${keys.claims.size}`);
		}
	}
}

/**
 * @param settings - Seed, length and mutation.
 * @returns The world at its end, and what was breached.
 */
export function run(settings: Settings): Result {
	const {
		seed, faults = true, killers = true, length = 15_000, mutation,
	} = settings;
	const domains = seed % 3 === 0 ? ['a'] : ['a', 'b'];
	const world = new World({
		seed, failureDomains: domains, hostsPerDomain: seed % 3 === 0 ? 3 : 2, upstreamsPerDomain: 4, faults, mutation,
	});
	if (faults) {
		// A host that restarts has forgotten, and one that is cut off has not heard: each may lose two upstreams.
		world.ledger.crashLimit = 2 * world.plan.hostsPerDomain;
	}

	world.agenda.runUntil(warmUp);
	send(world, warmUp + length, killers);
	if (faults) {
		strikeUntil(world, warmUp + length);
	}

	world.agenda.runUntil(warmUp + length + quiet);
	noteLeftovers(world);
	noteLeftHolds(world);
	return {world, violations: violations(world.ledger)};
}

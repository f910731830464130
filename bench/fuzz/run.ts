/** One fuzz run: callers and faults for a while, then a quiet period, then the check of the invariants. */
import {type Proof} from '../../src/core/index.js';
import {Caller} from './callers.js';
import {recordUnreleasedHolds, createHold} from './holds.js';
import {injectFaultsUntil} from './faults.js';
import {findViolations, type Violation} from './invariants.js';
import {type Mutation} from './mutations.js';
import {Simulation} from './simulation.js';

const quietPeriodMs = 15_000;
const warmUpMs = 4000;

/** Entries for each operation that tables may hold at the end: rights, claims and promises. */
const maxEntriesPerOperation = 8;

export type RunOptions = {
	readonly seed: number;
	readonly hasFaults?: boolean;
	/** Whether one operation in a hundred crashes the upstreams that run it. */
	readonly hasPoison?: boolean;
	/** Time in which callers send and faults occur, in milliseconds. */
	readonly length?: number;
	readonly mutation?: Mutation;
};

export type RunResult = {
	readonly simulation: Simulation;
	readonly violations: readonly Violation[];
};

function chooseProofType(draw: number): Proof['type'] {
	if (draw <= 40) {
		return 'key';
	}

	if (draw <= 70) {
		return 'ticket';
	}

	return draw <= 85 ? 'none' : 'idempotent';
}

function scheduleCallers(simulation: Simulation, until: number, hasPoison: boolean): void {
	simulation.scheduler.after(simulation.random.integer(10, 200), () => {
		if (simulation.now < until) {
			const draw = simulation.random.integer(1, 100);
			new Caller(simulation, chooseProofType(draw), {isPoison: hasPoison && draw === 100}).start();
			if (simulation.aliveHosts.length > 0 && simulation.random.chance(20)) {
				createHold(simulation, simulation.random.pick(simulation.aliveHosts));
			}

			scheduleCallers(simulation, until, hasPoison);
		}
	});
}

function recordNonEmptyTables(simulation: Simulation): void {
	for (const {name, state} of simulation.aliveHosts) {
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
				simulation.ledger.nonEmptyTables.push(`${size} in ${table} of ${name}`);
			}
		}

		if (tickets.entries.size + keys.claims.size > maxEntriesPerOperation * simulation.ledger.operations.size) {
			simulation.ledger.nonEmptyTables.push(`rights of ${name}: ${tickets.entries.size} and ${keys.claims.size}`);
		}
	}
}

/**
 * Plays one simulation and checks the invariants.
 *
 * @param options - Seed, length and mutation.
 * @returns The simulation at its end and the violations.
 */
export function run(options: RunOptions): RunResult {
	const {
		seed, hasFaults = true, hasPoison = true, length = 15_000, mutation,
	} = options;
	const domains = seed % 3 === 0 ? ['a'] : ['a', 'b'];
	const simulation = new Simulation({
		seed, failureDomains: domains, hostsPerDomain: seed % 3 === 0 ? 3 : 2, upstreamsPerDomain: 4, hasFaults, mutation,
	});
	if (hasFaults) {
		// A restarted host has lost its record of crashes and a partitioned host receives none: each may lose two upstreams.
		simulation.ledger.crashLimit = 2 * simulation.options.hostsPerDomain;
	}

	simulation.scheduler.runUntil(warmUpMs);
	scheduleCallers(simulation, warmUpMs + length, hasPoison);
	if (hasFaults) {
		injectFaultsUntil(simulation, warmUpMs + length);
	}

	simulation.scheduler.runUntil(warmUpMs + length + quietPeriodMs);
	recordNonEmptyTables(simulation);
	recordUnreleasedHolds(simulation);
	return {simulation, violations: findViolations(simulation.ledger)};
}

/** Shows whether what reads the bytes of others takes time in proportion to their number. */
import process from 'node:process';
import {expect} from 'vitest';

const baseBytes = 100_000;
/** Quadratic work costs 16 times as much for four times the bytes. */
const growth = 4;
const maxCostGrowth = 8;
const runs = 3;
/** A shorter run's time is that of the clock and of compilation. */
const minMilliseconds = 2;

/** Reads about as many bytes as given. */
export type Reading = (length: number) => void;

export type Subject = {
	readonly name: string;
	readonly read: Reading;
};

/** Returns the processor time of the fastest of several runs, in milliseconds. */
function measure(read: Reading, length: number): number {
	const times = Array.from({length: runs}, () => {
		const start = process.cpuUsage();
		read(length);
		const {user, system} = process.cpuUsage(start);
		return (user + system) / 1000;
	});
	return Math.max(Math.min(...times), minMilliseconds);
}

/**
 * Expects four times the bytes to cost at most eight times as much.
 *
 * @param read - Reads bytes.
 */
export function expectLinearCost(read: Reading): void {
	// The first runs are slower than compiled ones.
	measure(read, baseBytes);
	expect(measure(read, growth * baseBytes) / measure(read, baseBytes)).toBeLessThanOrEqual(maxCostGrowth);
}

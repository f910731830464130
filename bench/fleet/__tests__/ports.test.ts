/** Test runs that share a machine must not get the same ports. */
import {randomInt} from 'node:crypto';
import process from 'node:process';
import {expect, it} from 'vitest';
import {claimPort} from '../ports.js';

/** Outside the ranges that tests claim ports from. */
const port = randomInt(40_000, 60_000);

/** Above the highest process id of common systems. */
const endedProcess = 4_194_305;

it('two test runs at the same time never claim the same port', () => {
	expect(claimPort(port, process.ppid)).toBe(true);
	expect(claimPort(port)).toBe(false);
});

it('a port can be claimed by another process once its owner has ended', () => {
	expect(claimPort(port + 1, endedProcess)).toBe(true);
	expect(claimPort(port + 1)).toBe(true);
	expect(claimPort(port + 1)).toBe(true);
});

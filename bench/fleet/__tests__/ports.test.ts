/** Ports of test runs that share a machine. */
import {randomInt} from 'node:crypto';
import process from 'node:process';
import {expect, it} from 'vitest';
import {claimPort} from '../ports.js';

/** No port of the ranges that tests draw from. */
const port = randomInt(40_000, 60_000);

/** Beyond any process id of the usual systems. */
const endedProcess = 4_194_305;

it('two test runs at the same moment are not given the same port', () => {
	expect(claimPort(port, process.ppid)).toBe(true);
	expect(claimPort(port)).toBe(false);
});

it('a port goes to another process once its owner has ended', () => {
	expect(claimPort(port + 1, endedProcess)).toBe(true);
	expect(claimPort(port + 1)).toBe(true);
	expect(claimPort(port + 1)).toBe(true);
});

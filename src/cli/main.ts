#!/usr/bin/env node
/** The operators' command line. */
import process from 'node:process';
import {run} from './program.js';

// A reader such as `head` may close the pipe before all is written.
process.stdout.on('error', () => {
	process.exit();
});

process.exitCode = await run(process.argv.slice(2), {
	write(text) {
		process.stdout.write(text);
	},
	complain(text) {
		process.stderr.write(text);
	},
	input: process.stdin,
	environment: process.env,
});

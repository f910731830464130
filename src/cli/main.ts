#!/usr/bin/env node
/** Entry point of the command line tool for operators. */
import process from 'node:process';
import {runCommandLine} from './program.js';

// A reader such as `head` may close the pipe before the output is complete.
process.stdout.on('error', () => {
	process.exit();
});

process.exitCode = await runCommandLine(process.argv.slice(2), {
	write(text) {
		process.stdout.write(text);
	},
	complain(text) {
		process.stderr.write(text);
	},
	input: process.stdin,
	environment: process.env,
});

/** The command line as a whole: its commands, how they end and how they fail. */
import {Command, CommanderError, InvalidArgumentError} from 'commander';
import {
	codes,
	isFailure,
	texts,
	type Code,
} from '../core/index.js';
import {addCheck} from './commands/check.js';
import {addCompletion} from './commands/completion.js';
import {addDiff} from './commands/diff.js';
import {addDrain} from './commands/drain.js';
import {addExplain} from './commands/explain.js';
import {addIncidents} from './commands/incidents.js';
import {addLosses} from './commands/losses.js';
import {addSend} from './commands/send.js';
import {addShow} from './commands/show.js';
import {addStatus} from './commands/status.js';
import {exitCode} from './exit-codes.js';
import {type Registration} from './registration.js';
import {type Terminal} from './terminal.js';

const version = '0.1.0';
const additions = [addCheck, addDiff, addShow, addStatus, addDrain, addExplain, addIncidents, addLosses, addSend, addCompletion] as const;

/**
 * Runs one command to its end. Never throws.
 *
 * @param words - Arguments without the names of the runtime and the program.
 * @param terminal - What the command reads from and writes to.
 * @returns The exit code.
 */
export async function run(words: readonly string[], terminal: Terminal): Promise<number> {
	const results: number[] = [];
	const program = createProgram(terminal, {
		terminal,
		wholeNumber,
		act: action => async (...parameters) => {
			results.push(await action(...parameters));
		},
	});
	try {
		await program.parseAsync(words, {from: 'user'});
		return exitCode(results[0] ?? codes.done);
	} catch (error) {
		return exitCode(report(error, terminal));
	}
}

function createProgram(terminal: Terminal, registration: Registration): Command {
	const program = new Command('cranberrytide')
		.description('Operate cranberrytide: check documents, look at hosts, send requests.')
		.version(version)
		.exitOverride()
		.configureOutput({
			writeOut: terminal.write,
			writeErr: terminal.complain,
			outputError(message, write) {
				write(`error ${codes.badArgument}: ${message.replace(/^error: /v, '')}`);
			},
		})
		.addHelpText('after', '\nExit codes are the class of the result code times ten; see docs/CODES.md.');
	for (const add of additions) {
		add(program, registration);
	}

	return program;
}

function report(error: unknown, terminal: Terminal): Code {
	if (error instanceof CommanderError) {
		return error.exitCode === 0 ? codes.done : codes.badArgument;
	}

	if (isFailure(error)) {
		terminal.complain(`error ${error.code}: ${error.message}\n`);
		return error.code;
	}

	terminal.complain(`error ${codes.internal}: ${texts.internal} ${error instanceof Error ? error.message : ''}\n`);
	return codes.internal;
}

function wholeNumber(text: string): number {
	const value = Number(text);
	if (!/^\d+$/v.test(text) || !Number.isSafeInteger(value)) {
		throw new InvalidArgumentError('It takes a whole number.');
	}

	return value;
}

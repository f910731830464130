/** Builds the command line program, runs one command and reports its errors. */
import {Command, CommanderError, InvalidArgumentError} from 'commander';
import {
	codes,
	isFailure,
	texts,
	type Code,
} from '../core/index.js';
import {addCheckCommand} from './commands/check.js';
import {addConvictionsCommand} from './commands/convictions.js';
import {addCompletionCommand} from './commands/completion.js';
import {addDiffCommand} from './commands/diff.js';
import {addDrainCommand} from './commands/drain.js';
import {addExplainCommand} from './commands/explain.js';
import {addIncidentsCommand} from './commands/incidents.js';
import {addLossesCommand} from './commands/losses.js';
import {addSendCommand} from './commands/send.js';
import {addShowCommand} from './commands/show.js';
import {addStatusCommand} from './commands/status.js';
import {toExitCode} from './exit-codes.js';
import {type CommandServices} from './command-services.js';
import {type Terminal} from './terminal.js';

const version = '0.1.0';
const commandAdders = [
	addCheckCommand,
	addDiffCommand,
	addShowCommand,
	addStatusCommand,
	addDrainCommand,
	addConvictionsCommand,
	addExplainCommand,
	addIncidentsCommand,
	addLossesCommand,
	addSendCommand,
	addCompletionCommand,
] as const;

/**
 * Parses the arguments and runs one command. Never throws.
 *
 * @param commandArguments - Arguments without the paths of Node.js and the script.
 * @param terminal - Input, outputs and environment of the command.
 * @returns The exit code.
 */
export async function runCommandLine(commandArguments: readonly string[], terminal: Terminal): Promise<number> {
	const resultCodes: number[] = [];
	const program = createProgram(terminal, {
		terminal,
		parseWholeNumber,
		wrapAction: action => async (...parameters) => {
			resultCodes.push(await action(...parameters));
		},
	});
	try {
		await program.parseAsync(commandArguments, {from: 'user'});
		return toExitCode(resultCodes[0] ?? codes.done);
	} catch (error) {
		return toExitCode(reportError(error, terminal));
	}
}

function createProgram(terminal: Terminal, services: CommandServices): Command {
	const program = new Command('cranberrytide')
		.description('Operate cranberrytide: check documents, inspect hosts, send requests.')
		.version(version)
		.exitOverride()
		.configureOutput({
			writeOut: terminal.write,
			writeErr: terminal.complain,
			outputError(message, write) {
				write(`error ${codes.badArgument}: ${message.replace(/^error: /v, '')}`);
			},
		})
		.addHelpText('after', '\nThe exit code is the class of the result code times ten; see docs/CODES.md.');
	for (const add of commandAdders) {
		add(program, services);
	}

	return program;
}

function reportError(error: unknown, terminal: Terminal): Code {
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

function parseWholeNumber(text: string): number {
	const value = Number(text);
	if (!/^\d+$/v.test(text) || !Number.isSafeInteger(value)) {
		throw new InvalidArgumentError('Expected a whole number.');
	}

	return value;
}

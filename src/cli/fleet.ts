/** Shared by commands that query several hosts: options, error output and the result code. */
import {type Command} from 'commander';
import {codes, type Code} from '../core/index.js';
import {type HostAnswer} from '../admin/client.js';
import {settingsVariable} from './hosts.js';
import {type Terminal} from './terminal.js';

/**
 * Adds the options that name the hosts.
 *
 * @param command - Command that queries hosts.
 * @returns The same command.
 */
export function addHostOptions(command: Command): Command {
	return command
		.option('--hosts <addresses>', 'hosts as host:port,…')
		.option('--settings <file>', `JSON settings file with the addresses; default: the file that ${settingsVariable} names`);
}

/**
 * Writes an error line for each host that gave no valid answer.
 *
 * @param terminal - Receives the lines on standard error.
 * @param answers - Answers of all queried hosts.
 */
export function reportFailedHosts(terminal: Terminal, answers: ReadonlyArray<HostAnswer<unknown>>): void {
	for (const answer of answers) {
		if (answer.type === 'silent') {
			terminal.complain(`error ${answer.failure.code}: ${answer.failure.message}\n`);
		}
	}
}

/**
 * @param answers - Answers of all queried hosts.
 * @returns `done` if every host answered, otherwise the code of the first failure.
 */
export function getResultCode(answers: ReadonlyArray<HostAnswer<unknown>>): Code {
	for (const answer of answers) {
		if (answer.type === 'silent') {
			return answer.failure.code;
		}
	}

	return codes.done;
}

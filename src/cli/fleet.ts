/** What commands that ask many hosts share. */
import {type Command} from 'commander';
import {codes, type Code} from '../core/index.js';
import {type Answer} from '../admin/client.js';
import {settingsVariable} from './hosts.js';
import {type Terminal} from './terminal.js';

/**
 * @param command - Command that asks hosts.
 * @returns The same command.
 */
export function addHostOptions(command: Command): Command {
	return command
		.option('--hosts <addresses>', 'host:port,… of the hosts')
		.option('--settings <file>', `JSON settings with the addresses; otherwise those that ${settingsVariable} names`);
}

/**
 * @param terminal - Where to write.
 * @param answers - Answers of all hosts asked.
 */
export function complainOfSilent(terminal: Terminal, answers: ReadonlyArray<Answer<unknown>>): void {
	for (const answer of answers) {
		if (answer.type === 'silent') {
			terminal.complain(`error ${answer.failure.code}: ${answer.failure.message}\n`);
		}
	}
}

/**
 * @param answers - Answers of all hosts asked.
 * @returns Done if every host answered, otherwise the code of the first that did not.
 */
export function resultOf(answers: ReadonlyArray<Answer<unknown>>): Code {
	for (const answer of answers) {
		if (answer.type === 'silent') {
			return answer.failure.code;
		}
	}

	return codes.done;
}

/** `cranberrytide diff`: describes the changes from one configuration document to another. */
import {type Command} from 'commander';
import {codes, type Code} from '../../core/index.js';
import {
	describeChange,
	compareConfigurations,
	describeWarning,
	findWarnings,
} from '../../protocol/configuration/index.js';
import {readConfiguration} from '../input.js';
import {type CommandServices} from '../command-services.js';
import {writeJson, writeLines, type Terminal} from '../terminal.js';

type DiffOptions = {
	readonly json?: boolean;
};

/**
 * @param program - Program that the command is added to.
 * @param services - Terminal and helpers that all commands share.
 */
export function addDiffCommand(program: Command, {terminal, wrapAction}: CommandServices): void {
	program.command('diff')
		.description('Describe the changes from document A to document B; exit with 1 if there are any.')
		.argument('<a>', 'document, - for standard input')
		.argument('<b>', 'document that replaces it, - for standard input')
		.option('--json', 'write JSON')
		.addHelpText('after', '\nExample:\n  cranberrytide diff current.json next.json')
		.action(wrapAction(async (a: string, b: string, options: DiffOptions) => compareDocuments(terminal, a, b, options)));
}

async function compareDocuments(terminal: Terminal, a: string, b: string, {json}: DiffOptions): Promise<Code> {
	const before = await readConfiguration(terminal, a);
	const after = await readConfiguration(terminal, b);
	const changes = compareConfigurations(before, after);
	const warnings = findWarnings(after, before);
	if (json === true) {
		writeJson(terminal, {
			changes: changes.map(change => ({...change, text: describeChange(change)})),
			warnings: warnings.map(warning => ({...warning, text: describeWarning(warning)})),
		});
	} else {
		writeLines(terminal, [
			...changes.map(change => describeChange(change)),
			...(changes.length === 0 ? [] : warnings.map(warning => `warning: ${describeWarning(warning)}`)),
		]);
	}

	return changes.length === 0 ? codes.done : codes.differs;
}

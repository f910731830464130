/** `cranberrytide diff`: says in words what changes from one document to another. */
import {type Command} from 'commander';
import {codes, type Code} from '../../core/index.js';
import {
	changeInWords,
	difference,
	warningInWords,
	warningsOf,
} from '../../protocol/configuration/index.js';
import {readConfiguration} from '../input.js';
import {type Registration} from '../registration.js';
import {writeJson, writeLines, type Terminal} from '../terminal.js';

type Choices = {
	readonly json?: boolean;
};

/**
 * @param program - Command that it belongs to.
 * @param registration - Runs its action.
 */
export function addDiff(program: Command, {terminal, act}: Registration): void {
	program.command('diff')
		.description('Say in words what changes from document A to document B; exit with 1 if anything does.')
		.argument('<a>', 'document, - for standard input')
		.argument('<b>', 'document that follows it')
		.option('--json', 'write JSON')
		.addHelpText('after', '\nExample:\n  cranberrytide diff current.json next.json')
		.action(act(async (a: string, b: string, choices: Choices) => compare(terminal, a, b, choices)));
}

async function compare(terminal: Terminal, a: string, b: string, {json}: Choices): Promise<Code> {
	const before = await readConfiguration(terminal, a);
	const after = await readConfiguration(terminal, b);
	const changes = difference(before, after);
	const warnings = warningsOf(after, before);
	if (json === true) {
		writeJson(terminal, {
			changes: changes.map(change => ({...change, text: changeInWords(change)})),
			warnings: warnings.map(warning => ({...warning, text: warningInWords(warning)})),
		});
	} else {
		writeLines(terminal, [
			...changes.map(change => changeInWords(change)),
			...(changes.length === 0 ? [] : warnings.map(warning => `warning: ${warningInWords(warning)}`)),
		]);
	}

	return changes.length === 0 ? codes.done : codes.differs;
}

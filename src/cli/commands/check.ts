/** `cranberrytide check`: reads a document and names every mistake and danger. */
import {type Command} from 'commander';
import {codes, type Code} from '../../core/index.js';
import {
	parseConfiguration,
	warningInWords,
	warningsOf,
	type Parsed,
} from '../../protocol/configuration/index.js';
import {mistakeLines, readConfiguration, readText} from '../input.js';
import {type Registration} from '../registration.js';
import {writeJson, writeLines, type Terminal} from '../terminal.js';

type Choices = {
	readonly against?: string;
	readonly json?: boolean;
};

/**
 * @param program - Command that it belongs to.
 * @param registration - Runs its action.
 */
export function addCheck(program: Command, {terminal, act}: Registration): void {
	program.command('check')
		.description('Check a configuration document and name every mistake with its path and code.')
		.argument('<file>', 'document, - for standard input')
		.option('--against <file>', 'document in force, to be warned of dangerous changes')
		.option('--json', 'write JSON')
		.addHelpText('after', '\nExample:\n  cranberrytide check next.json --against current.json')
		.action(act(async (file: string, choices: Choices) => check(terminal, file, choices)));
}

async function check(terminal: Terminal, file: string, {against, json}: Choices): Promise<Code> {
	const before = against === undefined ? undefined : await readConfiguration(terminal, against);
	const parsed = parseConfiguration(await readText(terminal, file));
	const warnings = parsed.type === 'valid' ? warningsOf(parsed.configuration, before) : [];
	if (json === true) {
		writeJson(terminal, report(parsed, warnings.map(warning => ({...warning, text: warningInWords(warning)}))));
	} else {
		writeLines(terminal, [...summary(parsed), ...warnings.map(warning => `warning: ${warningInWords(warning)}`)]);
	}

	return parsed.type === 'valid' ? codes.done : codes[parsed.mistakes[0]!.code];
}

function report(parsed: Parsed, warnings: readonly unknown[]): unknown {
	return parsed.type === 'valid'
		? {
			valid: true,
			revision: parsed.configuration.revision,
			digest: parsed.digest,
			unknownFields: parsed.unknownFields,
			warnings,
		}
		: {
			valid: false,
			mistakes: parsed.mistakes.map(mistake => ({...mistake, number: codes[mistake.code]})),
			further: parsed.further,
		};
}

function summary(parsed: Parsed): readonly string[] {
	if (parsed.type === 'invalid') {
		return mistakeLines(parsed);
	}

	const {configuration: {revision, services, organisations, upstreams}, digest, unknownFields} = parsed;
	return [
		`Revision ${revision} is valid: ${services.length} services, ${organisations.length} organisations, ${upstreams.length} upstreams.`,
		`SHA-256 ${digest}`,
		...unknownFields.map(path => `warning: ${path} is not known and is left out.`),
	];
}

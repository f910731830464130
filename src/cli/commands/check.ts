/** `cranberrytide check`: validates a configuration document and warns of dangerous changes. */
import {type Command} from 'commander';
import {codes, type Code} from '../../core/index.js';
import {
	parseConfiguration,
	describeWarning,
	findWarnings,
	type ParseResult,
} from '../../protocol/configuration/index.js';
import {formatMistakes, readConfiguration, readText} from '../input.js';
import {type CommandServices} from '../command-services.js';
import {writeJson, writeLines, type Terminal} from '../terminal.js';

type CheckOptions = {
	readonly against?: string;
	readonly json?: boolean;
};

/**
 * @param program - Program that the command is added to.
 * @param services - Terminal and helpers that all commands share.
 */
export function addCheckCommand(program: Command, {terminal, wrapAction}: CommandServices): void {
	program.command('check')
		.description('Check a configuration document and list every mistake with its path and code.')
		.argument('<file>', 'document, - for standard input')
		.option('--against <file>', 'document in force; warns of dangerous changes to it')
		.option('--json', 'write JSON')
		.addHelpText('after', '\nExample:\n  cranberrytide check next.json --against current.json')
		.action(wrapAction(async (file: string, options: CheckOptions) => check(terminal, file, options)));
}

async function check(terminal: Terminal, file: string, {against, json}: CheckOptions): Promise<Code> {
	const before = against === undefined ? undefined : await readConfiguration(terminal, against);
	const parsed = parseConfiguration(await readText(terminal, file));
	const warnings = parsed.type === 'valid' ? findWarnings(parsed.configuration, before) : [];
	if (json === true) {
		writeJson(terminal, formatReport(parsed, warnings.map(warning => ({...warning, text: describeWarning(warning)}))));
	} else {
		writeLines(terminal, [...formatSummary(parsed), ...warnings.map(warning => `warning: ${describeWarning(warning)}`)]);
	}

	return parsed.type === 'valid' ? codes.done : codes[parsed.mistakes[0]!.code];
}

function formatReport(parsed: ParseResult, warnings: readonly unknown[]): unknown {
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

function formatSummary(parsed: ParseResult): readonly string[] {
	if (parsed.type === 'invalid') {
		return formatMistakes(parsed);
	}

	const {configuration: {revision, services, organisations, upstreams}, digest, unknownFields} = parsed;
	return [
		`Revision ${revision} is valid: ${services.length} services, ${organisations.length} organisations, ${upstreams.length} upstreams.`,
		`SHA-256 ${digest}`,
		...unknownFields.map(path => `warning: ${path} is an unknown field and is ignored.`),
	];
}

/** Reads what the commands work on. */
import {Buffer} from 'node:buffer';
import {readFile} from 'node:fs/promises';
import {raise, type Configuration} from '../core/index.js';
import {parseConfiguration, type Invalid, type Valid} from '../protocol/configuration/index.js';
import {type Terminal} from './terminal.js';

/** Name that stands for standard input. */
export const standardInput = '-';

/**
 * @param terminal - Standard input.
 * @param file - Path, or {@link standardInput}.
 * @returns The whole content.
 * @throws Failure `unreadableFile`.
 */
export async function readText(terminal: Terminal, file: string): Promise<string> {
	if (file === standardInput) {
		const chunks: Uint8Array[] = [];
		for await (const chunk of terminal.input) {
			chunks.push(chunk);
		}

		return Buffer.concat(chunks).toString('utf8');
	}

	try {
		return await readFile(file, 'utf8');
	} catch (error) {
		return raise('unreadableFile', error instanceof Error ? error.message : file);
	}
}

/**
 * @param invalid - Mistakes of a document.
 * @returns One line each.
 */
export function mistakeLines({mistakes, further}: Invalid): readonly string[] {
	const lines = mistakes.map(({path, code, text}) => `${path}: ${text} (${code})`);
	return further === 0 ? lines : [...lines, `… and ${further} more`];
}

/**
 * @param terminal - Where mistakes are written.
 * @param file - Path, or {@link standardInput}.
 * @returns The valid document.
 * @throws Failure `unreadableFile`, or the code of the first mistake.
 */
export async function readDocument(terminal: Terminal, file: string): Promise<Valid> {
	const parsed = parseConfiguration(await readText(terminal, file));
	if (parsed.type === 'valid') {
		return parsed;
	}

	for (const line of mistakeLines(parsed)) {
		terminal.complain(`${file}: ${line}\n`);
	}

	return raise(parsed.mistakes[0]!.code, file);
}

/**
 * @param terminal - Where mistakes are written.
 * @param file - Path, or {@link standardInput}.
 * @returns The configuration of a valid document.
 */
export async function readConfiguration(terminal: Terminal, file: string): Promise<Configuration> {
	const {configuration} = await readDocument(terminal, file);
	return configuration;
}

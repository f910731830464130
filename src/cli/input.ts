/** Reads files and configuration documents that commands take as arguments. */
import {Buffer} from 'node:buffer';
import {readFile} from 'node:fs/promises';
import {raise, type Configuration} from '../core/index.js';
import {parseConfiguration, type InvalidDocument, type ValidDocument} from '../protocol/configuration/index.js';
import {type Terminal} from './terminal.js';

/** File argument that stands for standard input. */
export const standardInput = '-';

/**
 * @param terminal - Provides standard input.
 * @param file - Path, or {@link standardInput}.
 * @returns The content as UTF-8.
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
 * @param invalid - Invalid document.
 * @returns One line for each mistake, and one for those left out.
 */
export function formatMistakes({mistakes, further}: InvalidDocument): readonly string[] {
	const lines = mistakes.map(({path, code, text}) => `${path}: ${text} (${code})`);
	return further === 0 ? lines : [...lines, `… and ${further} more`];
}

/**
 * @param terminal - Receives the mistakes on standard error.
 * @param file - Path, or {@link standardInput}.
 * @returns The valid document.
 * @throws Failure `unreadableFile`, or the code of the first mistake.
 */
export async function readDocument(terminal: Terminal, file: string): Promise<ValidDocument> {
	const parsed = parseConfiguration(await readText(terminal, file));
	if (parsed.type === 'valid') {
		return parsed;
	}

	for (const line of formatMistakes(parsed)) {
		terminal.complain(`${file}: ${line}\n`);
	}

	return raise(parsed.mistakes[0]!.code, file);
}

/**
 * @param terminal - Receives the mistakes on standard error.
 * @param file - Path, or {@link standardInput}.
 * @returns The configuration of a valid document.
 */
export async function readConfiguration(terminal: Terminal, file: string): Promise<Configuration> {
	const {configuration} = await readDocument(terminal, file);
	return configuration;
}

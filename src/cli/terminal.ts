/** Input, outputs and environment of the command line; tests replace them. */

export type Terminal = {
	/** Writes to standard output. */
	readonly write: (text: string) => void;
	/** Writes to standard error. */
	readonly complain: (text: string) => void;
	/** Standard input. */
	readonly input: AsyncIterable<Uint8Array>;
	readonly environment: Readonly<Record<string, string | undefined>>;
};

/**
 * @param terminal - Receives the lines on standard output.
 * @param lines - Lines without line breaks.
 */
export function writeLines(terminal: Terminal, lines: readonly string[]): void {
	for (const line of lines) {
		terminal.write(`${line}\n`);
	}
}

/**
 * @param terminal - Receives the JSON on standard output.
 * @param value - Any value that can be serialised.
 */
export function writeJson(terminal: Terminal, value: unknown): void {
	terminal.write(`${JSON.stringify(value, undefined, '\t')}\n`);
}

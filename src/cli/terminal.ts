/** What the command line reads from and writes to. */

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
 * @param terminal - Where to write.
 * @param lines - Lines without their ends.
 */
export function writeLines(terminal: Terminal, lines: readonly string[]): void {
	for (const line of lines) {
		terminal.write(`${line}\n`);
	}
}

/**
 * @param terminal - Where to write.
 * @param value - Anything that JSON holds.
 */
export function writeJson(terminal: Terminal, value: unknown): void {
	terminal.write(`${JSON.stringify(value, undefined, '\t')}\n`);
}

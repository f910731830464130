/** JSON lines on standard output, one for each routing or placement decision and each event of the daemon. */
import process from 'node:process';
import {
	createConsola, LogLevels, type ConsolaInstance, type LogObject,
} from 'consola';

/** Fields of one line beside its time and level. */
export type Line = Readonly<Record<string, unknown>> & {readonly event: string};

const levels = {info: 'info', warn: 'warn', error: 'error'} as const;
export type Level = keyof typeof levels;

/** Lines of one turn of the loop go out in one write. */
let waiting = '';

function flush(): void {
	const lines = waiting;
	waiting = '';
	if (lines !== '') {
		process.stdout.write(lines);
	}
}

// What is left when the process ends by itself is written then.
process.once('exit', flush);

function reporter(entry: LogObject): void {
	const line: unknown = entry.args[0];
	if (waiting === '') {
		setImmediate(flush);
	}

	waiting += `${JSON.stringify({time: entry.date.toISOString(), level: entry.type, ...(typeof line === 'object' && line)})}\n`;
}

/** Writes log lines. */
export class Log {
	readonly #consola: ConsolaInstance;
	readonly #host: string;

	/**
	 * @param host - Host named in each line.
	 */
	constructor(host: string) {
		this.#host = host;
		// Without a level consola drops lines that it takes for noise where NODE_ENV or CI is set.
		this.#consola = createConsola({level: LogLevels.info, reporters: [{log: reporter}]});
	}

	/**
	 * @param line - Fields of the line.
	 * @param level - Severity.
	 */
	write(line: Line, level: Level = 'info'): void {
		this.#consola[level]({host: this.#host, ...line});
	}
}

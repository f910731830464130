/** JSON lines on standard output, one for each routing or placement decision and each event of the daemon. */
import process from 'node:process';
import {
	createConsola, LogLevels, type ConsolaInstance, type LogObject,
} from 'consola';

/** Fields of one line beside its time and level. */
export type Line = Readonly<Record<string, unknown>> & {readonly event: string};

const levels = {info: 'info', warn: 'warn', error: 'error'} as const;
export type Level = keyof typeof levels;

/** Bytes that may wait for a reader of standard output; what comes beyond them is dropped and counted. */
const longestBacklog = 262_144;

/** Lines a second; a host writes three for each request and answers a few hundred requests a second at its best. */
const mostLines = 2000;

const second = 1000;

/** Lines of one turn of the loop go out in one write. */
let waiting = '';
let dropped = 0;
let windowEnd = 0;
let windowLines = 0;

function flush(): void {
	const lines = waiting;
	waiting = '';
	if (lines !== '') {
		process.stdout.write(lines);
	}
}

// What is left when the process ends by itself is written then.
process.once('exit', flush);

// A reader that goes away, as a collector that restarts, must not end the process; there is nobody to tell, so it is counted.
process.stdout.on('error', () => {
	dropped++;
});

function hasRoom(now: number): boolean {
	if (now >= windowEnd) {
		windowEnd = now + second;
		windowLines = 0;
	}

	windowLines++;
	return windowLines <= mostLines && process.stdout.writableLength + waiting.length < longestBacklog;
}

function append(time: Date, level: string, line: Record<string, unknown>): void {
	if (waiting === '') {
		setImmediate(flush);
	}

	waiting += `${JSON.stringify({time: time.toISOString(), level, ...line})}\n`;
}

/** Writes to a pipe never wait for its reader in Node; only the lines that wait have to be bounded. */
function reporter(entry: LogObject): void {
	if (!hasRoom(entry.date.getTime())) {
		dropped++;
		return;
	}

	if (dropped > 0) {
		append(entry.date, 'warn', {event: 'lines-dropped', count: dropped});
		dropped = 0;
	}

	const line: unknown = entry.args[0];
	append(entry.date, entry.type, typeof line === 'object' ? {...line} : {});
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

	/** Lines that were dropped and not yet told of. */
	get dropped(): number {
		return dropped;
	}

	/**
	 * @param line - Fields of the line.
	 * @param level - Severity.
	 */
	write(line: Line, level: Level = 'info'): void {
		this.#consola[level]({host: this.#host, ...line});
	}
}

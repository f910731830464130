/** Writes JSON lines to standard output, one for each routing or placement decision and each event of the daemon. */
import process from 'node:process';
import {
	createConsola, LogLevels, type ConsolaInstance, type LogObject,
} from 'consola';

/** Fields of a line in addition to its time, level and host. */
export type LogLine = Readonly<Record<string, unknown>> & {readonly event: string};

const levels = {info: 'info', warn: 'warn', error: 'error'} as const;
export type LogLevel = keyof typeof levels;

/** Maximum backlog for the reader of standard output; lines beyond it are dropped and counted. */
const maxBacklogBytes = 262_144;

/** A host writes three lines per request and answers a few hundred requests per second at most. */
const maxLinesPerSecond = 2000;

const rateWindowMs = 1000;

/** Lines of the current turn of the event loop, which are written together. */
let pendingLines = '';
let dropped = 0;
let windowEnd = 0;
let windowLines = 0;

function flush(): void {
	const lines = pendingLines;
	pendingLines = '';
	if (lines !== '') {
		process.stdout.write(lines);
	}
}

// Writes the remaining lines when the process exits.
process.once('exit', flush);

// A reader that closes the pipe, such as a restarting log collector, must not crash the process. The loss is reported with the
// dropped lines.
process.stdout.on('error', () => {
	dropped++;
});

/** Counts a line and returns whether the rate limit and the backlog admit it. */
function admitLine(now: number): boolean {
	if (now >= windowEnd) {
		windowEnd = now + rateWindowMs;
		windowLines = 0;
	}

	windowLines++;
	return windowLines <= maxLinesPerSecond && process.stdout.writableLength + pendingLines.length < maxBacklogBytes;
}

function appendLine(time: Date, level: string, line: Record<string, unknown>): void {
	if (pendingLines === '') {
		setImmediate(flush);
	}

	pendingLines += `${JSON.stringify({time: time.toISOString(), level, ...line})}\n`;
}

/** Node.js never blocks on a write to a pipe; it buffers, so the backlog must be bounded here. */
function writeEntry(entry: LogObject): void {
	if (!admitLine(entry.date.getTime())) {
		dropped++;
		return;
	}

	if (dropped > 0) {
		appendLine(entry.date, 'warn', {event: 'lines-dropped', count: dropped});
		dropped = 0;
	}

	const line: unknown = entry.args[0];
	appendLine(entry.date, entry.type, typeof line === 'object' ? {...line} : {});
}

export class Log {
	readonly #consola: ConsolaInstance;
	readonly #host: string;

	/**
	 * @param host - Name of the host, added to each line.
	 */
	constructor(host: string) {
		this.#host = host;
		// Without an explicit level, consola drops info lines if NODE_ENV is `test` or TEST is set.
		this.#consola = createConsola({level: LogLevels.info, reporters: [{log: writeEntry}]});
	}

	/** Number of dropped lines not yet reported by a `lines-dropped` line. */
	get dropped(): number {
		return dropped;
	}

	write(line: LogLine, level: LogLevel = 'info'): void {
		this.#consola[level]({host: this.#host, ...line});
	}
}

/** Parses log lines of hosts. Log collectors may put a prefix before the JSON of a line. */
import {z} from 'zod';
import {type LoggedDecision} from '../protocol/admin.js';

/** One log line with its host and time. */
export type LogEntry = {
	readonly host: string;
	/** Milliseconds since 1970. */
	readonly time: number;
	readonly decision: LoggedDecision;
};

const lineSchema = z.looseObject({
	time: z.iso.datetime(),
	level: z.string().optional(),
	host: z.string(),
	event: z.string(),
	request: z.string().optional(),
	attempt: z.string().optional(),
});

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

/**
 * @param line - One line.
 * @returns The entry; undefined if the line is not a log line of a host.
 */
export function parseLogLine(line: string): LogEntry | undefined {
	const start = line.indexOf('{');
	const parsed = lineSchema.safeParse(start === -1 ? undefined : parseJson(line.slice(start)));
	if (!parsed.success) {
		return undefined;
	}

	const {time, level, host, event, ...fields} = parsed.data;
	return {host, time: Date.parse(time), decision: {type: event, ...fields}};
}

/**
 * @param log - Log lines of one or more hosts, in any order.
 * @returns The entries, oldest first.
 */
export function parseLog(log: string): readonly LogEntry[] {
	return log
		.split('\n')
		.flatMap(line => parseLogLine(line) ?? [])
		.toSorted((first, second) => first.time - second.time);
}

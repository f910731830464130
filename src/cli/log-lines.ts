/** Reads log lines of hosts, also where something stands before the JSON of a line. */
import {z} from 'zod';
import {type LoggedDecision} from '../protocol/admin.js';

/** One line with the host and time it was written at. */
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
 * @returns What it says; undefined if it is none of ours.
 */
export function readLine(line: string): LogEntry | undefined {
	const start = line.indexOf('{');
	const parsed = lineSchema.safeParse(start === -1 ? undefined : parseJson(line.slice(start)));
	if (!parsed.success) {
		return undefined;
	}

	const {time, level, host, event, ...fields} = parsed.data;
	return {host, time: Date.parse(time), decision: {type: event, ...fields}};
}

/**
 * @param log - Lines of one or more hosts.
 * @returns What they say, by time.
 */
export function readLog(log: string): readonly LogEntry[] {
	return log
		.split('\n')
		.flatMap(line => readLine(line) ?? [])
		.toSorted((first, second) => first.time - second.time);
}

/** `cranberrytide incidents`: summarises incidents, outcomes of requests and failed attempts of a time window from logs. */
import {type Command} from 'commander';
import {z} from 'zod';
import {codes, raise, type Code} from '../../core/index.js';
import {gatewayLineSchema} from '../gateway-lines.js';
import {readText, standardInput} from '../input.js';
import {parseLog, type LogEntry} from '../log-lines.js';
import {type CommandServices} from '../command-services.js';
import {writeJson, writeLines, type Terminal} from '../terminal.js';

type IncidentsOptions = {
	readonly logs: readonly string[];
	readonly from?: string;
	readonly to?: string;
	readonly json?: boolean;
};

/** Events of the life of a host, and of changes in what it considers reachable, healthy or in force. */
const incidentEvents: ReadonlySet<string> = new Set([
	'started',
	'stopping',
	'stopped',
	'reloaded',
	'reload-failed',
	'failed',
	'store-lost',
	'store-regained',
	'store-compacted',
	'peer-lost',
	'upstream',
	'upstream-gone',
	'upstream-lapsing',
	'clock-gap',
	'upstream-restarted',
	'configuration',
	'configuration-refused',
	'registration-refused',
	'upstream-paused',
	'upstream-leaving',
	'upstream-limit',
	'upstream-cold',
	'upstream-warm',
	'cold-checks',
	'cold-checks-ended',
	'cold-check-ignored',
	'upstream-doubted',
	'upstream-trusted',
	'link-cut',
	'link-restored',
	'tunnel-refused',
	'tunnel-invalid',
	'domain-unreachable',
	'domain-reachable',
	'domain-evacuated',
	'domain-evacuation-ended',
	'evacuation-refused',
	'evacuation-value',
	'suspected',
	'acquitted',
	'convicted',
	'conviction-ended',
	'conviction-ordered',
	'conviction-tested',
	'evidence-ignored',
	'lines-dropped',
	'exchange-failed',
]);

/** Longest time between two log lines of the same incident, at one or several hosts. */
const mergeWindowMs = 2000;

/** Event that one or more hosts logged. */
export type Incident = {
	readonly event: string;
	/** What the event concerns: an upstream, a peer, a failure domain, a fingerprint, causes of crashes or a version; may be empty. */
	readonly subject: string;
	/** Milliseconds since 1970. */
	readonly from: number;
	readonly to: number;
	readonly hosts: readonly string[];
	readonly detail?: string;
};

export type Summary = {
	readonly from: number;
	readonly to: number;
	readonly happenings: readonly Incident[];
	/** Number of requests by outcome. */
	readonly outcomes: Readonly<Record<string, number>>;
	/** Number of attempts without an answer, by upstream and ending. */
	readonly failures: Readonly<Record<string, Readonly<Record<string, number>>>>;
};

/**
 * @param program - Program that the command is added to.
 * @param services - Terminal and helpers that all commands share.
 */
export function addIncidentsCommand(program: Command, {terminal, wrapAction}: CommandServices): void {
	program.command('incidents')
		.description('Summarise incidents, outcomes of requests and failed attempts from logs.')
		.requiredOption('--logs <file...>', 'log files of one or more hosts, - for standard input')
		.option('--from <time>', 'start of the time window, in the format of the log')
		.option('--to <time>', 'end of the time window, in the format of the log')
		.option('--json', 'write JSON')
		.addHelpText('after', '\nExample:\n  cranberrytide incidents --logs host-*.log --from 2026-03-24T14:19:20Z --to 2026-03-24T14:20:00Z')
		.action(wrapAction(async (options: IncidentsOptions) => reportIncidents(terminal, options)));
}

function parseTime(text: string | undefined, fallback: number): number {
	if (text === undefined) {
		return fallback;
	}

	const time = Date.parse(text);
	return Number.isNaN(time) ? raise('badArgument', `${text} is not a valid time`) : time;
}

async function reportIncidents(terminal: Terminal, options: IncidentsOptions): Promise<Code> {
	const from = parseTime(options.from, Number.NEGATIVE_INFINITY);
	const to = parseTime(options.to, Number.POSITIVE_INFINITY);
	const files = options.logs.includes(standardInput) ? [standardInput] : options.logs;
	const texts = await Promise.all(files.map(async file => readText(terminal, file)));
	const entries = parseLog(texts.join('\n')).filter(({time}) => time >= from && time <= to);
	if (entries.length === 0) {
		return raise('unreadableFile', 'the time window contains no log lines');
	}

	const summary = summarise(entries);
	if (options.json === true) {
		writeJson(terminal, summary);
	} else {
		writeLines(terminal, formatSummary(summary));
	}

	return codes.done;
}

const subjectSchema = z.object({
	upstream: z.string().optional(),
	peer: z.string().optional(),
	domain: z.string().optional(),
	fingerprint: z.string().optional(),
	/** Causes of a conviction. */
	causes: z.array(z.string()).optional(),
	/** Of the configuration if it is a number, of engines otherwise. */
	version: z.union([z.number(), z.string()]).optional(),
	draining: z.boolean().optional(),
});

function getSubject({decision}: LogEntry): string {
	const {upstream, peer, fingerprint, domain, causes, version, draining} = subjectSchema.safeParse(decision).data ?? {};
	const subject = upstream ?? peer ?? fingerprint ?? domain ?? causes?.join(' ') ?? (version === undefined ? '' : `version ${version}`);
	return `${subject}${draining === true ? ' draining' : ''}`;
}

/**
 * @param entries - Log entries, oldest first; at least one.
 * @returns Incidents and counts.
 */
export function summarise(entries: readonly LogEntry[]): Summary {
	const happenings: Array<Incident & {hosts: string[]; to: number}> = [];
	const outcomes: Record<string, number> = {};
	const failures: Record<string, Record<string, number>> = {};
	for (const entry of entries) {
		const {decision, host, time} = entry;
		if (incidentEvents.has(decision.type)) {
			const subject = getSubject(entry);
			const current = happenings.findLast(each => each.event === decision.type && each.subject === subject && time - each.to <= mergeWindowMs);
			if (current === undefined) {
				const {detail, reason} = decision;
				const cause = detail ?? reason;
				happenings.push({
					event: decision.type, subject, from: time, to: time, hosts: [host], detail: typeof cause === 'string' ? cause : undefined,
				});
			} else {
				current.to = time;
				if (!current.hosts.includes(host)) {
					current.hosts.push(host);
				}
			}
		}

		countLine(decision, outcomes, failures);
	}

	return {
		from: entries[0]!.time, to: entries.at(-1)!.time, happenings, outcomes, failures,
	};
}

function countLine(decision: LogEntry['decision'], outcomes: Record<string, number>, failures: Record<string, Record<string, number>>): void {
	const line = gatewayLineSchema.safeParse(decision);
	if (!line.success) {
		return;
	}

	if (line.data.type === 'ended') {
		outcomes[line.data.outcome] = (outcomes[line.data.outcome] ?? 0) + 1;
	} else if (line.data.type === 'attempt-ended' && line.data.ending !== 'answered') {
		const counts = failures[line.data.upstream] ?? {};
		counts[line.data.ending] = (counts[line.data.ending] ?? 0) + 1;
		failures[line.data.upstream] = counts;
	}
}

function formatCounts(counts: Readonly<Record<string, number>>): string {
	return Object.entries(counts).toSorted(([, a], [, b]) => b - a).map(([name, count]) => `${name} ${count}`).join(', ');
}

function formatSummary({from, to, happenings, outcomes, failures}: Summary): readonly string[] {
	return [
		`${new Date(from).toISOString()} to ${new Date(to).toISOString()}`,
		`Requests: ${formatCounts(outcomes)}`,
		...happenings.map(each => {
			const hosts = each.hosts.length === 1 ? each.hosts[0] : `${each.hosts.length} hosts, first ${each.hosts[0]}`;
			return `+${each.from - from} ms  ${each.event} ${each.subject} (${hosts})${each.detail === undefined ? '' : `: ${each.detail}`}`;
		}),
		...Object.entries(failures).map(([upstream, counts]) => `Attempts without an answer at ${upstream}: ${formatCounts(counts)}`),
	];
}

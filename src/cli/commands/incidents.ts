/** `cranberrytide incidents`: sums up from logs what was lost and regained in a window, and what became of requests. */
import {type Command} from 'commander';
import {z} from 'zod';
import {codes, raise, type Code} from '../../core/index.js';
import {gatewaySchema} from '../gateway-lines.js';
import {readText, standardInput} from '../input.js';
import {readLog, type LogEntry} from '../log-lines.js';
import {type Registration} from '../registration.js';
import {writeJson, writeLines, type Terminal} from '../terminal.js';

type Choices = {
	readonly logs: readonly string[];
	readonly from?: string;
	readonly to?: string;
	readonly json?: boolean;
};

/** Events that change what a host believes, or that it starts or stops. */
const notable: ReadonlySet<string> = new Set([
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
	'upstream-doubted',
	'upstream-trusted',
	'domain-unreachable',
	'domain-reachable',
	'suspected',
	'acquitted',
	'lines-dropped',
	'exchange-failed',
]);

/** Milliseconds within which the same news at several hosts is told as one. */
const sameNews = 2000;

/** Something that happened at one or more hosts. */
export type Happening = {
	readonly event: string;
	/** What it was about: an upstream, a peer, a version. */
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
	readonly happenings: readonly Happening[];
	/** Requests by how they ended. */
	readonly outcomes: Readonly<Record<string, number>>;
	/** Attempts that did not bring an answer, by upstream and ending. */
	readonly failures: Readonly<Record<string, Readonly<Record<string, number>>>>;
};

/**
 * @param program - Command that it belongs to.
 * @param registration - Runs its action.
 */
export function addIncidents(program: Command, {terminal, act}: Registration): void {
	program.command('incidents')
		.description('Sum up from logs what was lost and regained, and what became of requests.')
		.requiredOption('--logs <file...>', 'log lines of one or more hosts, - for standard input')
		.option('--from <time>', 'begin of the window, as in the log')
		.option('--to <time>', 'end of the window, as in the log')
		.option('--json', 'write JSON')
		.addHelpText('after', '\nExample:\n  cranberrytide incidents --logs host-*.log --from 2026-03-24T14:19:20Z --to 2026-03-24T14:20:00Z')
		.action(act(async (choices: Choices) => incidents(terminal, choices)));
}

function timeOf(text: string | undefined, otherwise: number): number {
	if (text === undefined) {
		return otherwise;
	}

	const time = Date.parse(text);
	return Number.isNaN(time) ? raise('badArgument', `${text} is no time`) : time;
}

async function incidents(terminal: Terminal, choices: Choices): Promise<Code> {
	const from = timeOf(choices.from, Number.NEGATIVE_INFINITY);
	const to = timeOf(choices.to, Number.POSITIVE_INFINITY);
	const files = choices.logs.includes(standardInput) ? [standardInput] : choices.logs;
	const texts = await Promise.all(files.map(async file => readText(terminal, file)));
	const entries = readLog(texts.join('\n')).filter(({time}) => time >= from && time <= to);
	if (entries.length === 0) {
		return raise('unreadableFile', 'no log line lies in the window');
	}

	const summary = sumUp(entries);
	if (choices.json === true) {
		writeJson(terminal, summary);
	} else {
		writeLines(terminal, inWords(summary));
	}

	return codes.done;
}

const subjectSchema = z.object({
	upstream: z.string().optional(),
	peer: z.string().optional(),
	domain: z.string().optional(),
	fingerprint: z.string().optional(),
	version: z.number().optional(),
	draining: z.boolean().optional(),
});

function subjectOf({decision}: LogEntry): string {
	const {upstream, peer, fingerprint, domain, version, draining} = subjectSchema.safeParse(decision).data ?? {};
	const subject = upstream ?? peer ?? fingerprint ?? domain ?? (version === undefined ? '' : `version ${version}`);
	return `${subject}${draining === true ? ' draining' : ''}`;
}

/**
 * @param entries - Log lines by time.
 * @returns What they tell.
 */
export function sumUp(entries: readonly LogEntry[]): Summary {
	const happenings: Array<Happening & {hosts: string[]; to: number}> = [];
	const outcomes: Record<string, number> = {};
	const failures: Record<string, Record<string, number>> = {};
	for (const entry of entries) {
		const {decision, host, time} = entry;
		if (notable.has(decision.type)) {
			const subject = subjectOf(entry);
			const known = happenings.findLast(each => each.event === decision.type && each.subject === subject && time - each.to <= sameNews);
			if (known === undefined) {
				const {detail, reason} = decision;
				const why = detail ?? reason;
				happenings.push({
					event: decision.type, subject, from: time, to: time, hosts: [host], detail: typeof why === 'string' ? why : undefined,
				});
			} else {
				known.to = time;
				if (!known.hosts.includes(host)) {
					known.hosts.push(host);
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
	const line = gatewaySchema.safeParse(decision);
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

function counted(counts: Readonly<Record<string, number>>): string {
	return Object.entries(counts).toSorted(([, a], [, b]) => b - a).map(([name, count]) => `${name} ${count}`).join(', ');
}

function inWords({from, to, happenings, outcomes, failures}: Summary): readonly string[] {
	return [
		`${new Date(from).toISOString()} to ${new Date(to).toISOString()}`,
		`Requests: ${counted(outcomes)}`,
		...happenings.map(each => {
			const hosts = each.hosts.length === 1 ? each.hosts[0] : `${each.hosts.length} hosts, first ${each.hosts[0]}`;
			return `+${each.from - from} ms  ${each.event} ${each.subject} (${hosts})${each.detail === undefined ? '' : `: ${each.detail}`}`;
		}),
		...Object.entries(failures).map(([upstream, counts]) => `Attempts without an answer at ${upstream}: ${counted(counts)}`),
	];
}

/** `cranberrytide explain`: describes every decision about a request, from logs or from the hosts. */
import {type Command} from 'commander';
import {codes, raise, type Code} from '../../core/index.js';
import {type LoggedDecision} from '../../protocol/admin.js';
import {fetchFromHosts, fetchDecisions} from '../../admin/client.js';
import {describeDecision} from '../decisions.js';
import {addHostOptions, reportFailedHosts} from '../fleet.js';
import {readHostAddresses, type HostOptions} from '../hosts.js';
import {readText} from '../input.js';
import {parseLog, type LogEntry} from '../log-lines.js';
import {type CommandServices} from '../command-services.js';
import {writeJson, writeLines, type Terminal} from '../terminal.js';

type ExplainOptions = HostOptions & {
	readonly log?: string;
	readonly logs?: readonly string[];
	readonly json?: boolean;
};

/** Events that may have caused what happened to a request. */
const relatedEvents: ReadonlySet<string> = new Set([
	'started',
	'stopping',
	'store-lost',
	'store-regained',
	'peer-lost',
	'upstream',
	'upstream-gone',
	'upstream-lapsing',
	'clock-gap',
	'upstream-restarted',
	'upstream-paused',
	'upstream-leaving',
	'upstream-limit',
	'upstream-cold',
	'upstream-warm',
	'cold-checks',
	'cold-checks-ended',
	'configuration',
	'suspected',
	'acquitted',
	'convicted',
	'conviction-ended',
	'conviction-ordered',
	'domain-evacuated',
	'domain-evacuation-ended',
]);

/** Time before and after a request in which related events are searched. */
const relatedEventWindowMs = 2000;

/**
 * @param program - Program that the command is added to.
 * @param services - Terminal and helpers that all commands share.
 */
export function addExplainCommand(program: Command, {terminal, wrapAction}: CommandServices): void {
	addHostOptions(program.command('explain'))
		.description('Describe the decisions about a request, from logs or from the recent decisions that hosts keep.')
		.argument('<request>', 'request id, from the x-request-id header of the answer')
		.option('--logs <file...>', 'log files to read instead of querying hosts, - for standard input')
		.option('--log <file>', 'same as --logs, for one file')
		.option('--json', 'write JSON')
		.addHelpText('after', '\nExample:\n  cat host-*.log | cranberrytide explain 0197c0de-0000-7000-8000-000000000001 --log -')
		.action(wrapAction(async (request: string, options: ExplainOptions) => explain(terminal, request, options)));
}

async function explain(terminal: Terminal, request: string, options: ExplainOptions): Promise<Code> {
	const files = options.logs ?? (options.log === undefined ? [] : [options.log]);
	const entries = files.length === 0
		? await fetchEntries(terminal, request, options)
		: await readEntries(terminal, files, request);
	if (entries.length === 0) {
		return raise('unknownRequest', request);
	}

	const sorted = entries.toSorted((first, second) => first.time - second.time);
	if (options.json === true) {
		writeJson(terminal, sorted.map(entry => ({...entry, text: describeDecision(entry.decision)})));
	} else {
		writeLines(terminal, formatTimeline(sorted));
	}

	return codes.done;
}

async function fetchEntries(terminal: Terminal, request: string, options: ExplainOptions): Promise<readonly LogEntry[]> {
	const answers = await fetchFromHosts(
		await readHostAddresses(terminal, options, 'admin'),
		async address => fetchDecisions(address, request),
	);
	reportFailedHosts(terminal, answers);
	return answers.flatMap(answer => {
		if (answer.type === 'silent') {
			return [];
		}

		const {host, decisions, dropped} = answer.content;
		if (dropped && decisions.length === 0) {
			terminal.complain(`${host} no longer keeps its older decisions; see its log.\n`);
		}

		return decisions.map(each => ({host, ...each}));
	});
}

async function readEntries(terminal: Terminal, files: readonly string[], request: string): Promise<readonly LogEntry[]> {
	const texts = await Promise.all(files.map(async file => readText(terminal, file)));
	const entries = parseLog(texts.join('\n'));
	const own = entries.filter(entry => isAbout(entry.decision, request));
	return own.length === 0 ? [] : [...own, ...findRelatedEntries(entries, own)];
}

/** Finds related events, around the time of a request, of the hosts that handled it and of the upstreams that it was sent to. */
function findRelatedEntries(all: readonly LogEntry[], own: readonly LogEntry[]): readonly LogEntry[] {
	const hosts = new Set(own.map(entry => entry.host));
	const upstreams = new Set(own.map(entry => entry.decision.upstream));
	const from = own[0]!.time - relatedEventWindowMs;
	const to = own.at(-1)!.time + relatedEventWindowMs;
	return all.filter(({host, time, decision}) => relatedEvents.has(decision.type)
		&& hosts.has(host)
		&& time >= from
		&& time <= to
		&& (decision.upstream === undefined || upstreams.has(decision.upstream)));
}

/** The id of an attempt starts with the id of its request. */
function isAbout(decision: LoggedDecision, request: string): boolean {
	const {attempt} = decision;
	return decision.request === request || (typeof attempt === 'string' && attempt.startsWith(`${request}.`));
}

function formatTimeline(entries: readonly LogEntry[]): readonly string[] {
	const start = entries[0]!.time;
	const offsets = entries.map(({time}) => `+${time - start} ms`);
	const width = Math.max(...offsets.map(each => each.length));
	return [
		new Date(start).toISOString(),
		...entries.map(({host, decision}, index) => `${offsets[index]!.padStart(width)}  ${host}  ${describeDecision(decision)}`),
	];
}

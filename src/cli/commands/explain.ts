/** `cranberrytide explain`: puts what was decided about a request into words. */
import {type Command} from 'commander';
import {codes, raise, type Code} from '../../core/index.js';
import {type LoggedDecision} from '../../protocol/admin.js';
import {askAll, fetchDecisions} from '../../admin/client.js';
import {decisionInWords} from '../decisions.js';
import {addHostOptions, complainOfSilent} from '../fleet.js';
import {readHosts, type HostSource} from '../hosts.js';
import {readText} from '../input.js';
import {readLog, type LogEntry} from '../log-lines.js';
import {type Registration} from '../registration.js';
import {writeJson, writeLines, type Terminal} from '../terminal.js';

type Choices = HostSource & {
	readonly log?: string;
	readonly logs?: readonly string[];
	readonly json?: boolean;
};

/** Events around a request that may be its cause, and the time before and after it that they are looked for in, in milliseconds. */
const causes: ReadonlySet<string> = new Set([
	'started', 'stopping', 'store-lost', 'store-regained', 'peer-lost', 'upstream', 'upstream-gone', 'upstream-lapsing', 'clock-gap', 'upstream-restarted', 'configuration', 'suspected',
]);
const surroundings = 2000;

/**
 * @param program - Command that it belongs to.
 * @param registration - Runs its action.
 */
export function addExplain(program: Command, {terminal, act}: Registration): void {
	addHostOptions(program.command('explain'))
		.description('Say in words what was decided about a request, from a log or from what the hosts still know.')
		.argument('<request>', 'request id, as in the answer\'s x-request-id')
		.option('--logs <file...>', 'log lines to read instead of asking hosts, - for standard input')
		.option('--log <file>', 'the same for one file')
		.option('--json', 'write JSON')
		.addHelpText('after', '\nExample:\n  cat host-*.log | cranberrytide explain 0197c0de-0000-7000-8000-000000000001 --log -')
		.action(act(async (request: string, choices: Choices) => explain(terminal, request, choices)));
}

async function explain(terminal: Terminal, request: string, choices: Choices): Promise<Code> {
	const files = choices.logs ?? (choices.log === undefined ? [] : [choices.log]);
	const entries = files.length === 0
		? await askHosts(terminal, request, choices)
		: await fromLogs(terminal, files, request);
	if (entries.length === 0) {
		return raise('unknownRequest', request);
	}

	const ordered = entries.toSorted((first, second) => first.time - second.time);
	if (choices.json === true) {
		writeJson(terminal, ordered.map(entry => ({...entry, text: decisionInWords(entry.decision)})));
	} else {
		writeLines(terminal, inWords(ordered));
	}

	return codes.done;
}

async function askHosts(terminal: Terminal, request: string, choices: Choices): Promise<readonly LogEntry[]> {
	const answers = await askAll(
		await readHosts(terminal, choices, 'admin'),
		async address => fetchDecisions(address, request),
	);
	complainOfSilent(terminal, answers);
	return answers.flatMap(answer => {
		if (answer.type === 'silent') {
			return [];
		}

		const {host, decisions, dropped} = answer.content;
		if (dropped && decisions.length === 0) {
			terminal.complain(`${host} no longer knows its older decisions; they are in its log.\n`);
		}

		return decisions.map(each => ({host, ...each}));
	});
}

async function fromLogs(terminal: Terminal, files: readonly string[], request: string): Promise<readonly LogEntry[]> {
	const texts = await Promise.all(files.map(async file => readText(terminal, file)));
	const all = readLog(texts.join('\n'));
	const own = all.filter(entry => isAbout(entry.decision, request));
	return own.length === 0 ? [] : [...own, ...around(all, own)];
}

/** What the hosts that had a request learnt around its time, of themselves and of the upstreams that it was sent to. */
function around(all: readonly LogEntry[], own: readonly LogEntry[]): readonly LogEntry[] {
	const hosts = new Set(own.map(entry => entry.host));
	const upstreams = new Set(own.map(entry => entry.decision.upstream));
	const from = own[0]!.time - surroundings;
	const to = own.at(-1)!.time + surroundings;
	return all.filter(({host, time, decision}) => causes.has(decision.type)
		&& hosts.has(host)
		&& time >= from
		&& time <= to
		&& (decision.upstream === undefined || upstreams.has(decision.upstream)));
}

/** Attempts are named after their request. */
function isAbout(decision: LoggedDecision, request: string): boolean {
	const {attempt} = decision;
	return decision.request === request || (typeof attempt === 'string' && attempt.startsWith(`${request}.`));
}

function inWords(entries: readonly LogEntry[]): readonly string[] {
	const began = entries[0]!.time;
	const offsets = entries.map(({time}) => `+${time - began} ms`);
	const width = Math.max(...offsets.map(each => each.length));
	return [
		new Date(began).toISOString(),
		...entries.map(({host, decision}, index) => `${offsets[index]!.padStart(width)}  ${host}  ${decisionInWords(decision)}`),
	];
}

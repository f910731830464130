/** `cranberrytide explain`: puts what was decided about a request into words. */
import {type Command} from 'commander';
import {z} from 'zod';
import {codes, raise, type Code} from '../../core/index.js';
import {type LoggedDecision} from '../../protocol/admin.js';
import {askAll, fetchDecisions} from '../../admin/client.js';
import {decisionInWords} from '../decisions.js';
import {addHostOptions, complainOfSilent} from '../fleet.js';
import {readHosts, type HostSource} from '../hosts.js';
import {readText} from '../input.js';
import {type Registration} from '../registration.js';
import {writeJson, writeLines, type Terminal} from '../terminal.js';

type Choices = HostSource & {
	readonly log?: string;
	readonly json?: boolean;
};

/** One decision with the host and time it was made at. */
type Entry = {
	readonly host: string;
	/** Milliseconds since 1970. */
	readonly time: number;
	readonly decision: LoggedDecision;
};

/** A line of a host's log, as far as it is a decision. */
const lineSchema = z.looseObject({
	time: z.iso.datetime(),
	level: z.string().optional(),
	host: z.string(),
	event: z.string(),
	request: z.string().optional(),
	attempt: z.string().optional(),
});

/**
 * @param program - Command that it belongs to.
 * @param registration - Runs its action.
 */
export function addExplain(program: Command, {terminal, act}: Registration): void {
	addHostOptions(program.command('explain'))
		.description('Say in words what was decided about a request, from a log or from what the hosts still know.')
		.argument('<request>', 'request id, as in the answer\'s x-request-id')
		.option('--log <file>', 'log lines to read instead of asking hosts, - for standard input')
		.option('--json', 'write JSON')
		.addHelpText('after', '\nExample:\n  cat host-*.log | cranberrytide explain 0197c0de-0000-7000-8000-000000000001 --log -')
		.action(act(async (request: string, choices: Choices) => explain(terminal, request, choices)));
}

async function explain(terminal: Terminal, request: string, choices: Choices): Promise<Code> {
	const entries = choices.log === undefined
		? await askHosts(terminal, request, choices)
		: readLog(await readText(terminal, choices.log), request);
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

async function askHosts(terminal: Terminal, request: string, choices: Choices): Promise<readonly Entry[]> {
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

function readLog(log: string, request: string): readonly Entry[] {
	return log
		.split('\n')
		.filter(line => line.includes(request))
		.flatMap(line => {
			const entry = readLine(line);
			return entry !== undefined && isAbout(entry.decision, request) ? [entry] : [];
		});
}

function readLine(line: string): Entry | undefined {
	const parsed = lineSchema.safeParse(parseJson(line));
	if (!parsed.success) {
		return undefined;
	}

	const {time, level, host, event, ...fields} = parsed.data;
	return {host, time: Date.parse(time), decision: {type: event, ...fields}};
}

function parseJson(line: string): unknown {
	try {
		return JSON.parse(line);
	} catch {
		return undefined;
	}
}

/** Attempts are named after their request. */
function isAbout(decision: LoggedDecision, request: string): boolean {
	const {attempt} = decision;
	return decision.request === request || (typeof attempt === 'string' && attempt.startsWith(`${request}.`));
}

function inWords(entries: readonly Entry[]): readonly string[] {
	const began = entries[0]!.time;
	const offsets = entries.map(({time}) => `+${time - began} ms`);
	const width = Math.max(...offsets.map(each => each.length));
	return [
		new Date(began).toISOString(),
		...entries.map(({host, decision}, index) => `${offsets[index]!.padStart(width)}  ${host}  ${decisionInWords(decision)}`),
	];
}

/** `cranberrytide convictions`: lists, adds and lifts convictions of parts of prompts and of requests that crash engines. */
import {type Command} from 'commander';
import {raise, type Address, type Code} from '../../core/index.js';
import {type ConvictionOrder, type ConvictionReport, type Convictions} from '../../protocol/admin.js';
import {formatDuration} from '../../protocol/configuration/index.js';
import {
	fetchConvictions, fetchFromHosts, sendConvictionOrder, type HostAnswer,
} from '../../admin/client.js';
import {addHostOptions, getResultCode, reportFailedHosts} from '../fleet.js';
import {readHostAddresses, type HostOptions} from '../hosts.js';
import {type CommandServices} from '../command-services.js';
import {formatTable} from '../table.js';
import {writeJson, writeLines, type Terminal} from '../terminal.js';

type ListOptions = HostOptions & {readonly json?: boolean};
type OrderOptions = HostOptions & {readonly reason: string};

/**
 * @param program - Program that the command is added to.
 * @param services - Terminal and helpers that all commands share.
 */
export function addConvictionsCommand(program: Command, {terminal, wrapAction}: CommandServices): void {
	const command = program.command('convictions')
		.description('List, add or lift convictions: parts of prompts and requests that crash engines and are refused.')
		.addHelpText('after', `
Examples:
  cranberrytide convictions list --hosts 10.0.0.1:7071,10.0.0.2:7071
  cranberrytide convictions add model part:5c1e07a2 --reason "crashes v7" --hosts 10.0.0.1:7071
  cranberrytide convictions lift model part:5c1e07a2 --reason "fixed in v8" --hosts 10.0.0.1:7071`);
	addHostOptions(command.command('list'))
		.description('List the convictions in force, and at how many of the hosts they are.')
		.option('--json', 'write JSON')
		.action(wrapAction(async (options: ListOptions) => list(terminal, options)));
	for (const [action, description] of [['add', 'Refuse requests with a cause, at all hosts.'], ['lift', 'Run requests with a cause again, at all hosts; one more crash convicts it anew.']] as const) {
		addHostOptions(command.command(action))
			.description(description)
			.argument('<service>', 'service of the requests')
			.argument('<cause>', 'part:ID for a part of prompts, request:FINGERPRINT for a whole request')
			.option('--reason <text>', 'reason, for the logs and for "list"', '')
			.action(wrapAction(async (service: string, cause: string, options: OrderOptions) => order(terminal, {
				service, cause, action, reason: options.reason,
			}, options)));
	}
}

async function list(terminal: Terminal, options: ListOptions): Promise<Code> {
	const answers = await fetchFromHosts(await readHostAddresses(terminal, options, 'admin'), fetchConvictions);
	const reports = answers.flatMap(answer => answer.type === 'answered' ? [answer.content] : []);
	if (options.json === true) {
		writeJson(terminal, reports);
	} else {
		writeLines(terminal, formatConvictions(reports));
	}

	reportFailedHosts(terminal, answers);
	return getResultCode(answers);
}

/** Gives the order to the first host that takes it; the others learn of it from that host. */
async function order(terminal: Terminal, given: ConvictionOrder, options: OrderOptions): Promise<Code> {
	const addresses = await readHostAddresses(terminal, options, 'admin');
	const failed: Array<HostAnswer<Convictions>> = [];
	for (const address of addresses) {
		const answer = await giveTo(address, given);
		if (answer.type === 'answered') {
			terminal.write(`${answer.content.host} ${given.action === 'add' ? 'refuses' : 'runs'} requests of ${given.service} with ${given.cause} from now on, and notifies the other hosts.\n`);
			return getResultCode([]);
		}

		failed.push(answer);
	}

	reportFailedHosts(terminal, failed);
	return getResultCode(failed);
}

async function giveTo(address: Address, given: ConvictionOrder): Promise<HostAnswer<Convictions>> {
	const [answer] = await fetchFromHosts([address], async each => sendConvictionOrder(each, given));
	return answer ?? raise('internal', 'no answer');
}

function formatConvictions(reports: readonly Convictions[]): readonly string[] {
	const known = new Map<string, {readonly report: ConvictionReport; hosts: number}>();
	for (const {convictions} of reports) {
		for (const report of convictions) {
			const key = `${report.service} ${report.version ?? ''} ${report.causes.join(' ')}`;
			const entry = known.get(key) ?? {report, hosts: 0};
			entry.hosts++;
			known.set(key, entry);
		}
	}

	if (known.size === 0) {
		return ['No convictions.'];
	}

	return formatTable(['SERVICE', 'VERSION', 'CAUSES', 'CRASHES', 'FIRST', 'LAST', 'HOSTS', 'REASON'], [...known.values()].map(({report, hosts}) => [
		report.service,
		report.version ?? 'all',
		report.causes.join(' + '),
		report.crashes,
		`${formatDuration(report.since)} ago`,
		report.last === undefined ? '' : `${formatDuration(report.last)} ago`,
		`${hosts}/${reports.length}`,
		report.reason ?? '',
	]));
}

/** `cranberrytide status`: shows the hosts, upstreams and queues of the whole fleet. */
import {type Command} from 'commander';
import {type Code} from '../../core/index.js';
import {type Status} from '../../protocol/admin.js';
import {formatDuration, groupBy} from '../../protocol/configuration/index.js';
import {fetchFromHosts, fetchStatus} from '../../admin/client.js';
import {addHostOptions, reportFailedHosts, getResultCode} from '../fleet.js';
import {readHostAddresses, type HostOptions} from '../hosts.js';
import {type CommandServices} from '../command-services.js';
import {formatTable} from '../table.js';
import {writeJson, writeLines, type Terminal} from '../terminal.js';

type StatusOptions = HostOptions & {
	readonly json?: boolean;
};

/**
 * @param program - Program that the command is added to.
 * @param services - Terminal and helpers that all commands share.
 */
export function addStatusCommand(program: Command, {terminal, wrapAction}: CommandServices): void {
	addHostOptions(program.command('status'))
		.description('Show hosts, upstreams and queues.')
		.option('--json', 'write JSON')
		.addHelpText('after', '\nExample:\n  cranberrytide status --hosts 10.0.0.1:7071,10.0.0.2:7071')
		.action(wrapAction(async (options: StatusOptions) => showStatus(terminal, options)));
}

async function showStatus(terminal: Terminal, options: StatusOptions): Promise<Code> {
	const answers = await fetchFromHosts(await readHostAddresses(terminal, options, 'admin'), fetchStatus);
	const statuses = answers.flatMap(answer => answer.type === 'answered' ? [answer.content] : []);
	if (options.json === true) {
		writeJson(terminal, statuses);
	} else {
		writeLines(terminal, [
			...formatHosts(statuses), '', ...formatUpstreams(statuses), '', ...formatQueues(statuses),
		]);
	}

	reportFailedHosts(terminal, answers);
	return getResultCode(answers);
}

function formatHosts(statuses: readonly Status[]): readonly string[] {
	return formatTable(
		['HOST', 'DOMAIN', 'PHASE', 'REVISION', 'PEERS', 'RUNNING', 'WAITING'],
		statuses.map(({incarnation, failureDomain, phase, revision, peers, queues}) => [
			incarnation.host,
			failureDomain,
			phase,
			revision,
			`${peers.filter(each => each.connected).length}/${peers.length}`,
			sum(queues, each => each.running),
			sum(queues, each => each.waiting),
		]),
	);
}

type Upstream = Status['upstreams'][number];

/** Shows the latest report of each upstream, with the requests that all hosts have sent there. */
function formatUpstreams(statuses: readonly Status[]): readonly string[] {
	const views = groupBy(statuses.flatMap(each => each.upstreams), each => each.id);
	return formatTable(
		['UPSTREAM', 'KIND', 'SERVICE', 'DOMAIN', 'STATE', 'SENT', 'RUNNING', 'WAITING', 'MEMORY', 'LOADED', 'REACHED BY'],
		[...views.values()].map(seen => {
			const {report, ...upstream} = selectLatest(seen);
			return [
				upstream.id,
				upstream.kind,
				upstream.service,
				upstream.failureDomain,
				describeState(report),
				sum(seen, each => each.requests),
				report?.running ?? '',
				report?.waiting ?? '',
				report === undefined ? '' : `${Math.round(100 * report.usedMemory / report.memory)}%`,
				formatTarget(report),
				`${seen.filter(each => each.reachable).length}/${seen.length}`,
			];
		}),
	);
}

function selectLatest(seen: readonly Upstream[]): Upstream {
	const getAge = (upstream: Upstream) => upstream.report?.age ?? Number.POSITIVE_INFINITY;
	return seen.toSorted((first, second) => getAge(first) < getAge(second) ? -1 : 1)[0]!;
}

function describeState(report: Upstream['report']): string {
	if (report === undefined) {
		return 'no report';
	}

	if (report.loading !== undefined) {
		return 'loading';
	}

	return report.ready ? 'ready' : 'not ready';
}

function formatTarget(report: Upstream['report']): string {
	const target = report?.current;
	return target === undefined ? '' : `${target.model}@${target.version}${target.adapters.map(each => `+${each}`).join('')}`;
}

function formatQueues(statuses: readonly Status[]): readonly string[] {
	const queues = groupBy(statuses.flatMap(each => each.queues), each => each.service);
	return formatTable(
		['SERVICE', 'RUNNING', 'WAITING', 'LONGEST WAIT'],
		[...queues].map(([service, members]) => [
			service,
			sum(members, each => each.running),
			sum(members, each => each.waiting),
			formatDuration(Math.round(Math.max(...members.map(each => each.longestWait)))),
		]),
	);
}

function sum<Entry>(entries: readonly Entry[], getAmount: (entry: Entry) => number): number {
	let result = 0;
	for (const entry of entries) {
		result += getAmount(entry);
	}

	return result;
}

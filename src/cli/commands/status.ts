/** `cranberrytide status`: hosts, upstreams and queues of the whole fleet. */
import {type Command} from 'commander';
import {type Code} from '../../core/index.js';
import {type Status} from '../../protocol/admin.js';
import {durationInWords, groupBy} from '../../protocol/configuration/index.js';
import {askAll, fetchStatus} from '../../admin/client.js';
import {addHostOptions, complainOfSilent, resultOf} from '../fleet.js';
import {readHosts, type HostSource} from '../hosts.js';
import {type Registration} from '../registration.js';
import {formatTable} from '../table.js';
import {writeJson, writeLines, type Terminal} from '../terminal.js';

type Choices = HostSource & {
	readonly json?: boolean;
};

/**
 * @param program - Command that it belongs to.
 * @param registration - Runs its action.
 */
export function addStatus(program: Command, {terminal, act}: Registration): void {
	addHostOptions(program.command('status'))
		.description('Show hosts, upstreams and queues.')
		.option('--json', 'write JSON')
		.addHelpText('after', '\nExample:\n  cranberrytide status --hosts 10.0.0.1:7071,10.0.0.2:7071')
		.action(act(async (choices: Choices) => status(terminal, choices)));
}

async function status(terminal: Terminal, choices: Choices): Promise<Code> {
	const answers = await askAll(await readHosts(terminal, choices, 'admin'), fetchStatus);
	const statuses = answers.flatMap(answer => answer.type === 'answered' ? [answer.content] : []);
	if (choices.json === true) {
		writeJson(terminal, statuses);
	} else {
		writeLines(terminal, [
			...hostTable(statuses), '', ...upstreamTable(statuses), '', ...queueTable(statuses),
		]);
	}

	complainOfSilent(terminal, answers);
	return resultOf(answers);
}

function hostTable(statuses: readonly Status[]): readonly string[] {
	return formatTable(
		['HOST', 'DOMAIN', 'PHASE', 'REVISION', 'PEERS', 'RUNNING', 'WAITING'],
		statuses.map(({incarnation, failureDomain, phase, revision, peers, queues}) => [
			incarnation.host,
			failureDomain,
			phase,
			revision,
			`${peers.filter(each => each.connected).length}/${peers.length}`,
			total(queues, each => each.running),
			total(queues, each => each.waiting),
		]),
	);
}

type Upstream = Status['upstreams'][number];

/** The freshest report of each upstream, with the work that all hosts have there. */
function upstreamTable(statuses: readonly Status[]): readonly string[] {
	const views = groupBy(statuses.flatMap(each => each.upstreams), each => each.id);
	return formatTable(
		['UPSTREAM', 'KIND', 'SERVICE', 'DOMAIN', 'STATE', 'SENT', 'RUNNING', 'WAITING', 'MEMORY', 'LOADED', 'REACHED BY'],
		[...views.values()].map(seen => {
			const {report, ...upstream} = freshest(seen);
			return [
				upstream.id,
				upstream.kind,
				upstream.service,
				upstream.failureDomain,
				stateOf(report),
				total(seen, each => each.requests),
				report?.running ?? '',
				report?.waiting ?? '',
				report === undefined ? '' : `${Math.round(100 * report.usedMemory / report.memory)}%`,
				targetOf(report),
				`${seen.filter(each => each.reachable).length}/${seen.length}`,
			];
		}),
	);
}

function freshest(seen: readonly Upstream[]): Upstream {
	const ageOf = (upstream: Upstream) => upstream.report?.age ?? Number.POSITIVE_INFINITY;
	return seen.toSorted((first, second) => ageOf(first) < ageOf(second) ? -1 : 1)[0]!;
}

function stateOf(report: Upstream['report']): string {
	if (report === undefined) {
		return 'no report';
	}

	if (report.loading !== undefined) {
		return 'loading';
	}

	return report.ready ? 'ready' : 'not ready';
}

function targetOf(report: Upstream['report']): string {
	const target = report?.current;
	return target === undefined ? '' : `${target.model}@${target.version}${target.adapters.map(each => `+${each}`).join('')}`;
}

function queueTable(statuses: readonly Status[]): readonly string[] {
	const queues = groupBy(statuses.flatMap(each => each.queues), each => each.service);
	return formatTable(
		['SERVICE', 'RUNNING', 'WAITING', 'LONGEST WAIT'],
		[...queues].map(([service, members]) => [
			service,
			total(members, each => each.running),
			total(members, each => each.waiting),
			durationInWords(Math.round(Math.max(...members.map(each => each.longestWait)))),
		]),
	);
}

function total<Entry>(entries: readonly Entry[], amountOf: (entry: Entry) => number): number {
	let sum = 0;
	for (const entry of entries) {
		sum += amountOf(entry);
	}

	return sum;
}

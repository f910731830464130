/** `cranberrytide losses`: explains from logs why requests were not served in full and in time, and what loss that caused. */
import {type Command} from 'commander';
import {codes, raise, type Code} from '../../core/index.js';
import {readText, standardInput} from '../input.js';
import {parseLog} from '../log-lines.js';
import {
	createLossReport, type LossReport, type Cause, type Loss,
} from '../losses/causes.js';
import {type CommandServices} from '../command-services.js';
import {formatTable} from '../table.js';
import {writeJson, writeLines, type Terminal} from '../terminal.js';

type LossesOptions = {
	readonly logs: readonly string[];
	readonly each?: boolean;
	readonly json?: boolean;
};

/** Length classes of prompts, with the smallest number of tokens of each. */
const lengthClasses = [
	{name: 'none', from: 0}, {name: 'short', from: 1}, {name: 'middle', from: 20_000}, {name: 'long', from: 80_000},
] as const;

/**
 * @param program - Program that the command is added to.
 * @param services - Terminal and helpers that all commands formatShare.
 */
export function addLossesCommand(program: Command, {terminal, wrapAction}: CommandServices): void {
	program.command('losses')
		.description('Explain from logs why requests were not served in full and in time.')
		.requiredOption('--logs <file...>', 'log files of all hosts, - for standard input')
		.option('--each', 'list each request, highest loss first')
		.option('--json', 'write JSON')
		.addHelpText('after', '\nExample:\n  cranberrytide losses --logs host-*.log')
		.action(wrapAction(async (options: LossesOptions) => reportLosses(terminal, options)));
}

async function reportLosses(terminal: Terminal, {logs, each, json}: LossesOptions): Promise<Code> {
	const files = logs.includes(standardInput) ? [standardInput] : logs;
	const texts = await Promise.all(files.map(async file => readText(terminal, file)));
	const report = createLossReport(parseLog(texts.join('\n')));
	if (report.asked === 0) {
		return raise('unreadableFile', 'the log contains no requests');
	}

	if (json === true) {
		writeJson(terminal, report);
	} else {
		writeLines(terminal, each === true ? formatEachLoss(report) : formatLossTotals(report));
	}

	return codes.done;
}

function classifyLength(tokens: number): string {
	return lengthClasses.findLast(({from}) => tokens >= from)!.name;
}

function formatLossTotals({asked, losses: all}: LossReport): readonly string[] {
	const sums = new Map<string, {readonly cause: Cause; readonly length: string; count: number; lost: number}>();
	for (const {cause, tokens, lost} of all) {
		const length = classifyLength(tokens);
		const sum = sums.get(`${cause} ${length}`) ?? {
			cause, length, count: 0, lost: 0,
		};
		sum.count++;
		sum.lost += lost;
		sums.set(`${cause} ${length}`, sum);
	}

	const rows = [...sums.values()].toSorted((a, b) => b.lost - a.lost);
	const total = rows.reduce((sum, {lost}) => sum + lost, 0);
	return [
		`Lost ${total.toFixed(1)} of ${asked.toFixed(1)} asked (${formatShare(total, asked)})`,
		...formatTable(['cause', 'prompt', 'requests', 'lost', 'of all asked'], rows.map(({cause, length, count, lost}) => [cause, length, count, lost.toFixed(1), formatShare(lost, asked)])),
	];
}

function formatEachLoss({losses: all}: LossReport): readonly string[] {
	const rows = all.toSorted((a, b) => b.lost - a.lost);
	return formatTable(['request', 'time', 'host', 'upstream', 'tokens', 'predicted', 'first byte', 'lost', 'cause'], rows.map(each => createRow(each)));
}

function createRow({request, at, host, upstream, tokens, predicted, firstByte, lost, cause}: Loss): ReadonlyArray<string | number> {
	return [request, new Date(at).toISOString(), host, upstream, tokens, predicted, firstByte ?? '', lost.toFixed(1), cause];
}

function formatShare(part: number, whole: number): string {
	return `${(part / whole * 100).toFixed(1)}%`;
}

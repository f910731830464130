/** `cranberrytide losses`: says from logs why requests were not served in full and in time, and what that cost. */
import {type Command} from 'commander';
import {codes, raise, type Code} from '../../core/index.js';
import {readText, standardInput} from '../input.js';
import {readLog} from '../log-lines.js';
import {
	accountOf, type Account, type Cause, type Loss,
} from '../losses/causes.js';
import {type Registration} from '../registration.js';
import {formatTable} from '../table.js';
import {writeJson, writeLines, type Terminal} from '../terminal.js';

type Choices = {
	readonly logs: readonly string[];
	readonly each?: boolean;
	readonly json?: boolean;
};

/** Tokens from which on a prompt is of the middle, and of the long ones. */
const lengths = [
	{name: 'none', from: 0}, {name: 'short', from: 1}, {name: 'middle', from: 20_000}, {name: 'long', from: 80_000},
] as const;

/**
 * @param program - Command that it belongs to.
 * @param registration - Runs its action.
 */
export function addLosses(program: Command, {terminal, act}: Registration): void {
	program.command('losses')
		.description('Say from logs why requests were not served in full and in time.')
		.requiredOption('--logs <file...>', 'log lines of all hosts, - for standard input')
		.option('--each', 'name each request, the dearest first')
		.option('--json', 'write JSON')
		.addHelpText('after', '\nExample:\n  cranberrytide losses --logs host-*.log')
		.action(act(async (choices: Choices) => losses(terminal, choices)));
}

async function losses(terminal: Terminal, {logs, each, json}: Choices): Promise<Code> {
	const files = logs.includes(standardInput) ? [standardInput] : logs;
	const texts = await Promise.all(files.map(async file => readText(terminal, file)));
	const account = accountOf(readLog(texts.join('\n')));
	if (account.asked === 0) {
		return raise('unreadableFile', 'no request is told of in the log');
	}

	if (json === true) {
		writeJson(terminal, account);
	} else {
		writeLines(terminal, each === true ? namedLosses(account) : summedLosses(account));
	}

	return codes.done;
}

function lengthOf(tokens: number): string {
	return lengths.findLast(({from}) => tokens >= from)!.name;
}

function summedLosses({asked, losses: all}: Account): readonly string[] {
	const sums = new Map<string, {readonly cause: Cause; readonly length: string; count: number; lost: number}>();
	for (const {cause, tokens, lost} of all) {
		const length = lengthOf(tokens);
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
		`Lost ${total.toFixed(1)} of ${asked.toFixed(1)} asked (${share(total, asked)})`,
		...formatTable(['cause', 'prompt', 'requests', 'lost', 'of all asked'], rows.map(({cause, length, count, lost}) => [cause, length, count, lost.toFixed(1), share(lost, asked)])),
	];
}

function namedLosses({losses: all}: Account): readonly string[] {
	const rows = all.toSorted((a, b) => b.lost - a.lost);
	return formatTable(['request', 'time', 'host', 'upstream', 'tokens', 'predicted', 'first byte', 'lost', 'cause'], rows.map(each => rowOf(each)));
}

function rowOf({request, at, host, upstream, tokens, predicted, firstByte, lost, cause}: Loss): ReadonlyArray<string | number> {
	return [request, new Date(at).toISOString(), host, upstream, tokens, predicted, firstByte ?? '', lost.toFixed(1), cause];
}

function share(part: number, whole: number): string {
	return `${(part / whole * 100).toFixed(1)}%`;
}

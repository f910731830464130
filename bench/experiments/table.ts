/** Formats summaries as Markdown. */
import {type Spread} from './statistics.js';
import {type PolicySummary, type Summary} from './summary.js';

function formatCell({median, least, most}: Spread, digits: number): string {
	return `${median.toFixed(digits)} (${least.toFixed(digits)}–${most.toFixed(digits)})`;
}

function formatPolicyRow(policy: string, summary: PolicySummary): string {
	const {firstToken, slowdown, answered, prefixHits} = summary;
	const cells = [
		policy,
		formatCell(slowdown, 2),
		...['short', 'middle', 'long'].map(name => formatCell(firstToken[name]!, 0)),
		formatCell(answered, 3),
		formatCell(prefixHits, 2),
	];
	return `| ${cells.join(' | ')} |`;
}

/** Formats a summary as a Markdown section, with the median and, in brackets, the range over seeds. */
export function formatSummary(summary: Summary): string {
	const {overload} = summary;
	return [
		`## ${summary.deployment}, ${summary.seeds} seeds`,
		'',
		'| policy | short p95 mixed/alone | short p95, ms | middle p95, ms | long p95, ms | answered | prefix hits |',
		'|---|---|---|---|---|---|---|',
		...Object.entries(summary.policies).map(([policy, policySummary]) => formatPolicyRow(policy, policySummary)),
		'',
		'| at 130% load | value |',
		'|---|---|',
		`| goodput over capacity | ${formatCell(overload.goodput, 2)} |`,
		`| refusal p95, ms | ${formatCell(overload.refusal, 1)} |`,
		`| finished past the deadline | ${overload.late} |`,
		`| answered, small over large organisations | ${formatCell(overload.smallOverLarge, 2)} |`,
		'',
		`Result codes of all runs: ${JSON.stringify(summary.outcomes)}; wrong answers: ${summary.wrongAnswers}.`,
		'',
	].join('\n');
}

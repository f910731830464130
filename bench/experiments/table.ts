/** Summaries as markdown. */
import {type Spread} from './statistics.js';
import {type PolicyFigures, type Summary} from './summary.js';

function cell({median, least, most}: Spread, digits: number): string {
	return `${median.toFixed(digits)} (${least.toFixed(digits)}–${most.toFixed(digits)})`;
}

function policyRow(policy: string, figures: PolicyFigures): string {
	const {firstToken, slowdown, answered, prefixHits} = figures;
	const cells = [
		policy,
		cell(slowdown, 2),
		...['short', 'middle', 'long'].map(name => cell(firstToken[name]!, 0)),
		cell(answered, 3),
		cell(prefixHits, 2),
	];
	return `| ${cells.join(' | ')} |`;
}

/**
 * @param summary - Summary of one deployment.
 * @returns A markdown section: median and, in brackets, least and most over seeds.
 */
export function tableOf(summary: Summary): string {
	const {overload} = summary;
	return [
		`## ${summary.deployment}, ${summary.seeds} seeds`,
		'',
		'| policy | short p95 mixed/alone | short p95, ms | middle p95, ms | long p95, ms | answered | prefix hits |',
		'|---|---|---|---|---|---|---|',
		...Object.entries(summary.policies).map(([policy, figures]) => policyRow(policy, figures)),
		'',
		'| at 130% load | value |',
		'|---|---|',
		`| goodput over capacity | ${cell(overload.goodput, 2)} |`,
		`| refusal p95, ms | ${cell(overload.refusal, 1)} |`,
		`| finished past the deadline | ${overload.late} |`,
		`| answered, small over large organisations | ${cell(overload.smallOverLarge, 2)} |`,
		'',
		`Result codes of all runs: ${JSON.stringify(summary.outcomes)}; wrong answers: ${summary.wrongAnswers}.`,
		'',
	].join('\n');
}

/** Puts logged decisions into words. */
import {z} from 'zod';
import {
	assertNever, codes, nameOfCode, texts,
} from '../core/index.js';
import {type LoggedDecision} from '../protocol/admin.js';
import {gatewayInWords, gatewaySchema} from './gateway-lines.js';

/** Fields of each decision that the words need. */
const knownSchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('routed'),
		organisation: z.string(),
		service: z.string(),
		attempt: z.string(),
		upstream: z.string(),
		candidates: z.array(z.object({upstream: z.string(), score: z.number()})),
		reason: z.string(),
	}),
	z.object({
		type: z.literal('queued'), organisation: z.string(), service: z.string(), reason: z.string(),
	}),
	z.object({
		type: z.literal('refused'), organisation: z.string(), service: z.string(), code: z.number(), reason: z.string(),
	}),
	z.object({type: z.literal('retried'), attempt: z.string(), reason: z.string()}),
	z.object({
		type: z.literal('concluded'),
		outcome: z.object({type: z.enum(['done', 'failed', 'not-run', 'unknown']), code: z.number().optional(), detail: z.string().optional()}),
	}),
	z.object({type: z.literal('forwarded'), to: z.string(), reason: z.string()}),
]);

type Known = z.infer<typeof knownSchema>;
type Outcome = Extract<Known, {type: 'concluded'}>['outcome'];

/** Significant digits of a score. */
const scoreDigits = 3;

/** Candidates that are named beside the chosen one. */
const candidatesShown = 5;

/**
 * @param decision - Decision as it was logged.
 * @returns One sentence without a full stop; types that are not known are given field by field.
 */
export function decisionInWords(decision: LoggedDecision): string {
	const known = knownSchema.safeParse(decision);
	if (known.success) {
		return knownInWords(known.data);
	}

	const line = gatewaySchema.safeParse(decision);
	return line.success ? gatewayInWords(line.data) : fieldsInWords(decision);
}

function knownInWords(decision: Known): string {
	switch (decision.type) {
		case 'routed': {
			const {organisation, service, attempt, upstream, candidates, reason} = decision;
			return `Sent to ${upstream} as attempt ${attempt} for ${organisation} on ${service}: ${reason} (${candidatesInWords(candidates)})`;
		}

		case 'queued': {
			return `Waits for ${decision.service}, organisation ${decision.organisation}: ${decision.reason}`;
		}

		case 'refused': {
			return `Refused for ${decision.organisation} on ${decision.service}: ${codeInWords(decision.code)} (${decision.reason})`;
		}

		case 'retried': {
			return `Tried again after attempt ${decision.attempt}: ${decision.reason}`;
		}

		case 'concluded': {
			return outcomeInWords(decision.outcome);
		}

		case 'forwarded': {
			return `Passed on to ${decision.to}: ${decision.reason}`;
		}

		default: {
			return assertNever(decision);
		}
	}
}

function candidatesInWords(candidates: ReadonlyArray<{readonly upstream: string; readonly score: number}>): string {
	const shown = candidates
		.toSorted((first, second) => first.score - second.score)
		.slice(0, candidatesShown)
		.map(({upstream, score}) => `${upstream} ${Number(score.toPrecision(scoreDigits))}`);
	const further = candidates.length - shown.length;
	return `scores, lower is better: ${shown.join(', ')}${further > 0 ? ` and ${further} more` : ''}`;
}

function outcomeInWords({type, code, detail}: Outcome): string {
	const reason = `${code === undefined ? '' : `: ${codeInWords(code)}`}${detail === undefined ? '' : ` (${detail})`}`;
	switch (type) {
		case 'done': {
			return 'Answered in full';
		}

		case 'failed': {
			return `Failed${reason}`;
		}

		case 'not-run': {
			return `Not run and never will be${reason}`;
		}

		case 'unknown': {
			return `Outcome unknown${reason}`;
		}

		default: {
			return assertNever(type);
		}
	}
}

/**
 * @param code - Result code.
 * @returns The code with its text, if it has one.
 */
export function codeInWords(code: number): string {
	const name = nameOfCode(code);
	return codes[name] === code ? `${code} ${texts[name]}` : String(code);
}

function fieldsInWords({type, ...fields}: LoggedDecision): string {
	const shown = Object.entries(fields).map(([name, value]) => `${name} ${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return [type, ...shown].join(', ');
}

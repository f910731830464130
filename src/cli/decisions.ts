/** Describes logged decisions in sentences. */
import {z} from 'zod';
import {
	assertNever, codes, nameOfCode, texts,
} from '../core/index.js';
import {type LoggedDecision} from '../protocol/admin.js';
import {describeGatewayLine, gatewayLineSchema} from './gateway-lines.js';

/** Fields of each known decision that its description uses. */
const knownDecisionSchema = z.discriminatedUnion('type', [
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

type KnownDecision = z.infer<typeof knownDecisionSchema>;
type Outcome = Extract<KnownDecision, {type: 'concluded'}>['outcome'];

/** Significant digits of a printed score. */
const scoreDigits = 3;

/** Candidates that are printed; the rest is only counted. */
const maxPrintedCandidates = 5;

/**
 * @param decision - Decision as logged.
 * @returns One sentence without a full stop; the fields of a decision of unknown type.
 */
export function describeDecision(decision: LoggedDecision): string {
	const known = knownDecisionSchema.safeParse(decision);
	if (known.success) {
		return describeKnownDecision(known.data);
	}

	const line = gatewayLineSchema.safeParse(decision);
	return line.success ? describeGatewayLine(line.data) : describeFields(decision);
}

function describeKnownDecision(decision: KnownDecision): string {
	switch (decision.type) {
		case 'routed': {
			const {organisation, service, attempt, upstream, candidates, reason} = decision;
			return `Sent to ${upstream} as attempt ${attempt} for ${organisation} on ${service}: ${reason} (${describeCandidates(candidates)})`;
		}

		case 'queued': {
			return `Queued for ${decision.service}, organisation ${decision.organisation}: ${decision.reason}`;
		}

		case 'refused': {
			return `Refused for ${decision.organisation} on ${decision.service}: ${describeCode(decision.code)} (${decision.reason})`;
		}

		case 'retried': {
			return `Retried after attempt ${decision.attempt}: ${decision.reason}`;
		}

		case 'concluded': {
			return describeOutcome(decision.outcome);
		}

		case 'forwarded': {
			return `Forwarded to ${decision.to}: ${decision.reason}`;
		}

		default: {
			return assertNever(decision);
		}
	}
}

function describeCandidates(candidates: ReadonlyArray<{readonly upstream: string; readonly score: number}>): string {
	const shown = candidates
		.toSorted((first, second) => first.score - second.score)
		.slice(0, maxPrintedCandidates)
		.map(({upstream, score}) => `${upstream} ${Number(score.toPrecision(scoreDigits))}`);
	const omittedCount = candidates.length - shown.length;
	return `scores, lower is better: ${shown.join(', ')}${omittedCount > 0 ? ` and ${omittedCount} more` : ''}`;
}

function describeOutcome({type, code, detail}: Outcome): string {
	const reason = `${code === undefined ? '' : `: ${describeCode(code)}`}${detail === undefined ? '' : ` (${detail})`}`;
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
export function describeCode(code: number): string {
	const name = nameOfCode(code);
	return codes[name] === code ? `${code} ${texts[name]}` : String(code);
}

function describeFields({type, ...fields}: LoggedDecision): string {
	const shown = Object.entries(fields).map(([name, value]) => `${name} ${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return [type, ...shown].join(', ');
}

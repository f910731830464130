/** Evidence of crashes that hosts exchange, as part of messages that hosts without it accept. Ages are in milliseconds. */
import {z} from 'zod';
import {
	isCause, maxCauseLength, type Cause, type Scope,
} from '../../core/gateway/suspicion/causes.js';
import {type CrashReport} from '../../core/gateway/suspicion/crashes.js';
import {type ReceivedOrder} from '../../core/gateway/suspicion/orders.js';
import {type UpstreamProcess} from '../../core/gateway/types.js';
import {amount, shortText} from '../peers/fields.js';

/** Most pieces of evidence in one message, and most causes in one piece. */
export const maxPieces = 200;
const maxListedCauses = 64;

/** Longest reason of an order, in characters. */
export const maxReasonLength = 200;

/** Longest key of a trial: a scope and the causes of its conviction. */
const maxTrialKeyLength = 10_000;

const age = z.number().nonnegative();
const cause = z.string().max(maxCauseLength).refine(value => isCause(value));
const causes = z.array(cause).min(1).max(maxListedCauses);
const scope = {service: shortText, version: shortText};
const upstreamProcess = {upstream: shortText, started: amount.optional()};

const pieceSchema = z.discriminatedUnion('kind', [
	/** An attempt that ended with a crash. */
	z.object({
		kind: z.literal('crash'), attempt: shortText, ...upstreamProcess, ...scope, causes, begun: z.boolean(), sent: age, age,
	}),
	/** Requests with these causes were answered. */
	z.object({
		kind: z.literal('answers'), ...scope, causes, age,
	}),
	/** Answers to requests with these causes have begun. */
	z.object({
		kind: z.literal('beginnings'), ...scope, causes, age,
	}),
	/** A process is alive after its supposed crash. */
	z.object({kind: z.literal('survival'), ...upstreamProcess, age}),
	/** A host tests a conviction. */
	z.object({kind: z.literal('trial'), key: z.string().max(maxTrialKeyLength), age}),
	/** An operator has added or lifted a conviction. */
	z.object({
		kind: z.literal('order'), service: shortText, cause, action: z.enum(['add', 'lift']), given: amount, reason: z.string().max(maxReasonLength), age,
	}),
]);

const evidenceSchema = z.array(z.unknown()).max(maxPieces);

/** One piece of evidence as it is sent. */
export type Piece = z.infer<typeof pieceSchema>;

/** One piece of evidence with times on this host's clock. */
export type Evidence
	= | {readonly type: 'crash'; readonly report: CrashReport}
		| {readonly type: 'answers'; readonly scope: Scope; readonly causes: readonly Cause[]; readonly at: number}
		| {readonly type: 'beginnings'; readonly scope: Scope; readonly causes: readonly Cause[]; readonly at: number}
		| {readonly type: 'survival'; readonly process: UpstreamProcess; readonly at: number}
		| {readonly type: 'trial'; readonly key: string; readonly at: number}
		| {readonly type: 'order'; readonly order: ReceivedOrder};

/**
 * @param evidence - Evidence.
 * @param now - Monotonic time in milliseconds.
 * @returns The evidence as it is sent.
 */
export function toPiece(evidence: Evidence, now: number): Piece {
	switch (evidence.type) {
		case 'crash': {
			const {attempt, upstream, started, scope: {service, version}, causes: listed, hasBegun, sent, at} = evidence.report;
			return {
				kind: 'crash', attempt, upstream, started, service, version, causes: [...listed], begun: hasBegun, sent: Math.max(now - sent, 0), age: Math.max(now - at, 0),
			};
		}

		case 'answers':
		case 'beginnings': {
			return {
				kind: evidence.type, ...evidence.scope, causes: [...evidence.causes], age: Math.max(now - evidence.at, 0),
			};
		}

		case 'survival': {
			return {
				kind: 'survival', upstream: evidence.process.upstream, started: evidence.process.started, age: Math.max(now - evidence.at, 0),
			};
		}

		case 'trial': {
			return {kind: 'trial', key: evidence.key, age: Math.max(now - evidence.at, 0)};
		}

		case 'order': {
			const {at, ...order} = evidence.order;
			return {kind: 'order', ...order, age: Math.max(now - at, 0)};
		}

		default: {
			return evidence satisfies never;
		}
	}
}

/**
 * @param piece - Evidence as received.
 * @param now - Monotonic time in milliseconds.
 * @returns The evidence.
 */
function fromPiece(piece: Piece, now: number): Evidence {
	const at = now - piece.age;
	switch (piece.kind) {
		case 'crash': {
			const {attempt, upstream, started, service, version, begun, sent} = piece;
			return {
				type: 'crash',
				report: {
					attempt, upstream, started, scope: {service, version}, causes: toCauses(piece.causes), hasBegun: begun, sent: now - sent, at,
				},
			};
		}

		case 'answers':
		case 'beginnings': {
			const {service, version} = piece;
			return {
				type: piece.kind, scope: {service, version}, causes: toCauses(piece.causes), at,
			};
		}

		case 'survival': {
			return {type: 'survival', process: {upstream: piece.upstream, started: piece.started}, at};
		}

		case 'trial': {
			return {type: 'trial', key: piece.key, at};
		}

		case 'order': {
			const {service, action, given, reason} = piece;
			const [cause] = toCauses([piece.cause]);
			return {
				type: 'order', order: {
					service, cause: cause!, action, given, reason, at,
				},
			};
		}

		default: {
			return piece satisfies never;
		}
	}
}

function toCauses(values: readonly string[]): readonly Cause[] {
	return values.filter(value => isCause(value));
}

/** Evidence of a message, and how many of its pieces were of no use. */
export type DecodedEvidence = {
	readonly evidence: readonly Evidence[];
	/** Pieces that are invalid or of a kind that this host doesn't know. */
	readonly ignored: number;
};

/**
 * @param value - Field of a message; absent from hosts that send no evidence.
 * @param now - Monotonic time in milliseconds.
 * @returns The evidence; an invalid piece costs no other one.
 */
export function decodeEvidence(value: unknown, now: number): DecodedEvidence {
	if (value === undefined) {
		return {evidence: [], ignored: 0};
	}

	const pieces = evidenceSchema.safeParse(value);
	if (!pieces.success) {
		return {evidence: [], ignored: 1};
	}

	const parsed = pieces.data.map(piece => pieceSchema.safeParse(piece));
	const valid = parsed.flatMap(piece => piece.success ? [fromPiece(piece.data, now)] : []);
	return {evidence: valid, ignored: parsed.length - valid.length};
}

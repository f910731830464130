/** Puts lines of the gateway's log into words. */
import {z} from 'zod';
import {assertNever} from '../core/index.js';

const milliseconds = z.number().optional();

export const gatewaySchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('placed'),
		attempt: z.string(),
		upstream: z.string(),
		helpers: z.array(z.string()),
		hold: z.string().optional(),
		tokens: z.number(),
		predicted: z.number(),
		loss: z.number(),
		/** In requests of usual worth. */
		weight: z.number().optional(),
		jobs: z.number(),
		left: z.number(),
		version: z.number().optional(),
		confirmedAge: z.number(),
	}),
	z.object({
		type: z.literal('attempt-ended'),
		attempt: z.string(),
		upstream: z.string(),
		ending: z.enum(['answered', 'not-run', 'failed', 'unknown', 'cancelled']),
		reason: z.string().optional(),
		status: z.number().optional(),
	}),
	z.object({
		type: z.literal('not-placed'),
		upstream: z.string(),
		tokens: z.number(),
		predicted: z.number(),
		loss: z.number(),
		weight: z.number(),
		returnAfter: z.number(),
	}),
	z.object({type: z.literal('retry-denied'), service: z.string(), hosts: z.number()}),
	z.object({type: z.literal('hold-refused'), hold: z.string(), refused: z.array(z.string())}),
	z.object({
		type: z.literal('ended'),
		outcome: z.string(),
		route: z.string().optional(),
		attempts: z.number(),
		firstByte: milliseconds,
		longestPause: milliseconds,
		/** Since the last event, or since the request came. */
		silentFor: milliseconds,
		/** Within which the first byte, and each next event, was wanted. */
		objective: milliseconds,
		pause: milliseconds,
		took: z.number(),
		version: z.number().optional(),
		confirmedAge: z.number().nullish(),
	}),
]);

export type GatewayLine = z.infer<typeof gatewaySchema>;
export type Placed = Extract<GatewayLine, {type: 'placed'}>;
export type NotPlaced = Extract<GatewayLine, {type: 'not-placed'}>;
export type AttemptEnded = Extract<GatewayLine, {type: 'attempt-ended'}>;
export type Ended = Extract<GatewayLine, {type: 'ended'}>;

function placedInWords(line: Placed): string {
	const {attempt, upstream, helpers, hold, tokens, predicted, loss, jobs, left, version, confirmedAge} = line;
	const shared = helpers.length === 0 ? '' : `, read together with ${helpers.join(', ')}`;
	const held = hold === undefined ? '' : `, memory held as ${hold}`;
	const size = tokens === 0 ? '' : ` of ${tokens} tokens, first event expected after ${predicted} ms`;
	return `Sent to ${upstream} as attempt ${attempt}${size}${shared}${held}: expected loss ${loss}, ${jobs} requests known at upstreams, `
		+ `${left} ms left, configuration ${version ?? 'unknown'} confirmed ${confirmedAge} ms ago`;
}

function attemptInWords({attempt, upstream, ending, reason, status}: AttemptEnded): string {
	const why = reason ?? (status === undefined ? '' : `status ${status}`);
	switch (ending) {
		case 'answered': {
			return `Attempt ${attempt} was answered by ${upstream}: ${why}`;
		}

		case 'not-run': {
			return `Attempt ${attempt} was provably not run at ${upstream}: ${why}`;
		}

		case 'failed': {
			return `Attempt ${attempt} ran at ${upstream} and failed: ${why}`;
		}

		case 'unknown': {
			return `Attempt ${attempt} may have run at ${upstream}, no whole answer came: ${why}`;
		}

		case 'cancelled': {
			return `Attempt ${attempt} was given up at ${upstream}: ${why}`;
		}

		default: {
			return assertNever(ending);
		}
	}
}

function endedInWords({outcome, route, attempts, firstByte, longestPause, took}: Ended): string {
	const first = firstByte === undefined ? 'no byte of an answer' : `first byte after ${firstByte} ms`;
	const pause = longestPause === undefined ? '' : `, longest pause ${longestPause} ms`;
	return `Ended as "${outcome}" after ${took} ms on route ${route ?? 'unknown'}: ${attempts} attempts, ${first}${pause}`;
}

/**
 * @param line - Line of the gateway.
 * @returns One sentence without a full stop.
 */
export function gatewayInWords(line: GatewayLine): string {
	switch (line.type) {
		case 'placed': {
			return placedInWords(line);
		}

		case 'attempt-ended': {
			return attemptInWords(line);
		}

		case 'not-placed': {
			return `Refused: at ${line.upstream}, the best place, it would cost callers ${line.loss} and is worth ${line.weight}; it may come again after ${line.returnAfter} ms`;
		}

		case 'retry-denied': {
			return `Not sent once more: this host's part of the retries for ${line.service} is used up (hosts that share them: ${line.hosts})`;
		}

		case 'hold-refused': {
			return `Memory ${line.hold} was not granted by ${line.refused.join(', ')}`;
		}

		case 'ended': {
			return endedInWords(line);
		}

		default: {
			return assertNever(line);
		}
	}
}

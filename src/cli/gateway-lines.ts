/** Parses log lines of the gateway and describes them in sentences. */
import {z} from 'zod';
import {assertNever} from '../core/index.js';

const milliseconds = z.number().optional();

/** Why memory was reserved; absent from lines of older hosts. */
const reservationReason = z.enum(['contested', 'split']);

export const gatewayLineSchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('placed'),
		attempt: z.string(),
		upstream: z.string(),
		helpers: z.array(z.string()),
		hold: z.string().optional(),
		holdReason: reservationReason.optional(),
		/** Tokens at one engine that other hosts may take before they know of the request. */
		margin: z.number().optional(),
		tokens: z.number(),
		predicted: z.number(),
		loss: z.number(),
		/** In requests of usual weight. */
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
		/** Id of the tunnel that carried it over another host. */
		tunnel: z.string().optional(),
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
	z.object({
		type: z.literal('not-accepted'),
		service: z.string(),
		/** Number of upstreams by what keeps them from accepting the request. */
		obstacles: z.record(z.string(), z.number()),
		/** Milliseconds until one accepts it; 0 if that is unknown. */
		wait: z.number(),
	}),
	z.object({type: z.literal('retry-denied'), service: z.string(), hosts: z.number()}),
	z.object({
		type: z.literal('successor-sent'), from: z.string(), to: z.string(), reason: z.string(), silentEngines: z.number(),
	}),
	z.object({
		type: z.literal('successor-missing'), from: z.string(), reason: z.string(), obstacle: z.string(), silentEngines: z.number(),
	}),
	z.object({
		type: z.literal('hold-refused'), hold: z.string(), reason: reservationReason.optional(), refused: z.array(z.string()),
	}),
	z.object({
		type: z.literal('hold-unused'), hold: z.string(), reason: reservationReason.optional(), evacuated: z.array(z.string()),
	}),
	z.object({
		type: z.literal('domain-evacuated'), domain: z.string(), upstreams: z.number(), source: z.string(), era: z.number(), revision: z.number(),
	}),
	z.object({
		type: z.literal('domain-evacuation-ended'), domain: z.string(), source: z.string(), era: z.number(), revision: z.number(),
	}),
	z.object({
		type: z.literal('hold-replaced'), hold: z.string(), refused: z.string(), by: z.string(),
	}),
	z.object({
		type: z.literal('memory-wait'), tokens: z.number(), expected: z.number(), engines: z.array(z.string()), waiting: z.number(), left: z.number(),
	}),
	z.object({type: z.literal('memory-granted'), waited: z.number()}),
	z.object({type: z.literal('memory-refused'), waited: z.number(), returnAfter: z.number().optional()}),
	z.object({type: z.literal('placed-apart'), cause: z.string(), crashes: z.number()}),
	z.object({type: z.literal('conviction-tested'), causes: z.array(z.string()), versions: z.array(z.string())}),
	z.object({
		type: z.literal('refused-as-convicted'),
		causes: z.array(z.string()),
		version: z.string().optional(),
		crashes: z.number().optional(),
		/** In the words of the operator who added the conviction. */
		reason: z.string().optional(),
		returnAfter: z.number(),
	}),
	z.object({
		type: z.literal('ended'),
		outcome: z.string(),
		route: z.string().optional(),
		attempts: z.number(),
		firstByte: milliseconds,
		longestPause: milliseconds,
		/** Since the last event, or since the request arrived. */
		silentFor: milliseconds,
		/** Latency target of the first byte; `pause` is the one of each later event. */
		objective: milliseconds,
		pause: milliseconds,
		took: z.number(),
		version: z.number().optional(),
		confirmedAge: z.number().nullish(),
	}),
]);

export type GatewayLine = z.infer<typeof gatewayLineSchema>;
export type PlacedLine = Extract<GatewayLine, {type: 'placed'}>;
export type NotPlacedLine = Extract<GatewayLine, {type: 'not-placed'}>;
export type AttemptEndedLine = Extract<GatewayLine, {type: 'attempt-ended'}>;
export type RefusedAsConvictedLine = Extract<GatewayLine, {type: 'refused-as-convicted'}>;
export type EndedLine = Extract<GatewayLine, {type: 'ended'}>;

function describePlacement(line: PlacedLine): string {
	const {
		attempt, upstream, helpers, hold, holdReason, margin, tokens, predicted, loss, jobs, left, version, confirmedAge,
	} = line;
	const helperText = helpers.length === 0 ? '' : `, prefilled together with ${helpers.join(', ')}`;
	const reasonText = holdReason === 'contested' ? ` as other hosts may take ${margin ?? 0} tokens at the engine unnoticed` : '';
	const holdText = hold === undefined ? '' : `, memory reserved by hold ${hold}${reasonText}`;
	const sizeText = tokens === 0 ? '' : ` of ${tokens} tokens, first event expected after ${predicted} ms`;
	return `Sent to ${upstream} as attempt ${attempt}${sizeText}${helperText}${holdText}: expected loss ${loss}, ${jobs} requests known at upstreams, `
		+ `${left} ms left, configuration ${version ?? 'unknown'} confirmed ${confirmedAge} ms ago`;
}

function describeAttempt({
	attempt, upstream, ending, reason, status, tunnel,
}: AttemptEndedLine): string {
	const route = tunnel === undefined ? '' : `, over tunnel ${tunnel}`;
	const reasonText = (reason ?? (status === undefined ? '' : `status ${status}`)) + route;
	switch (ending) {
		case 'answered': {
			return `Attempt ${attempt} was answered by ${upstream}: ${reasonText}`;
		}

		case 'not-run': {
			return `Attempt ${attempt} was provably not run at ${upstream}: ${reasonText}`;
		}

		case 'failed': {
			return `Attempt ${attempt} ran at ${upstream} and failed: ${reasonText}`;
		}

		case 'unknown': {
			return `Attempt ${attempt} may have run at ${upstream}, no whole answer came: ${reasonText}`;
		}

		case 'cancelled': {
			return `Attempt ${attempt} was cancelled at ${upstream}: ${reasonText}`;
		}

		default: {
			return assertNever(ending);
		}
	}
}

function describeConviction({causes, version, crashes, reason, returnAfter}: RefusedAsConvictedLine): string {
	const basis = crashes === undefined
		? `an operator says so (${reason === undefined || reason === '' ? 'no reason given' : reason})`
		: `${crashes} engines of version ${version ?? ''} crashed under requests with it`;
	return `Refused because of ${causes.join(' with ')}: ${basis}; the caller may retry after ${returnAfter} ms`;
}

function describeEnd({outcome, route, attempts, firstByte, longestPause, took}: EndedLine): string {
	const firstText = firstByte === undefined ? 'no byte of an answer' : `first byte after ${firstByte} ms`;
	const pauseText = longestPause === undefined ? '' : `, longest pause ${longestPause} ms`;
	return `Ended as "${outcome}" after ${took} ms on route ${route ?? 'unknown'}: ${attempts} attempts, ${firstText}${pauseText}`;
}

/**
 * @param line - Log line of the gateway.
 * @returns One sentence without a full stop.
 */
export function describeGatewayLine(line: GatewayLine): string {
	switch (line.type) {
		case 'placed': {
			return describePlacement(line);
		}

		case 'attempt-ended': {
			return describeAttempt(line);
		}

		case 'not-placed': {
			return `Refused: at ${line.upstream}, the best upstream, its expected loss of ${line.loss} is too high for its weight of ${line.weight}; the caller may retry after ${line.returnAfter} ms`;
		}

		case 'not-accepted': {
			const obstacles = Object.entries(line.obstacles).map(([obstacle, count]) => `${obstacle} ${count}`).join(', ');
			return `Refused: no upstream of ${line.service} accepts the request (${obstacles})${line.wait > 0 ? `; the next one does in ${line.wait} ms` : ''}`;
		}

		case 'retry-denied': {
			return `Not sent once more: this host's part of the retries for ${line.service} is used up (hosts that share them: ${line.hosts})`;
		}

		case 'successor-sent': {
			return `Sent to ${line.to} as well (${line.reason} at ${line.from}, silent engines: ${line.silentEngines}): the attempt that sends something first is kept`;
		}

		case 'successor-missing': {
			return `Goes on at ${line.from} (${line.reason}): none may take its place (${line.obstacle}, silent engines: ${line.silentEngines})`;
		}

		case 'hold-refused': {
			return `Hold ${line.hold} was refused by ${line.refused.join(', ')}`;
		}

		case 'hold-unused': {
			return `Hold ${line.hold} was released unused: the failure domains of ${line.evacuated.join(', ')} were evacuated meanwhile`;
		}

		case 'domain-evacuated': {
			return `Failure domain ${line.domain} is evacuated: its ${line.upstreams} upstreams get no new requests (${line.source}, era ${line.era}, revision ${line.revision})`;
		}

		case 'domain-evacuation-ended': {
			return `The evacuation of failure domain ${line.domain} has ended (${line.source}, era ${line.era}, revision ${line.revision})`;
		}

		case 'hold-replaced': {
			return `Hold ${line.hold} was refused by ${line.refused} and got its part from ${line.by} instead`;
		}

		case 'memory-wait': {
			return `Waits for memory for ${line.tokens} tokens, expected after ${line.expected} ms at ${line.engines.join(', ')}: ${line.waiting} requests wait at this host, ${line.left} ms left`;
		}

		case 'memory-granted': {
			return `Got its memory after ${line.waited} ms`;
		}

		case 'memory-refused': {
			const expected = line.returnAfter === undefined ? 'is not known to become free' : `is expected to be free after ${line.returnAfter} ms`;
			return `Refused after ${line.waited} ms: its memory ${expected}`;
		}

		case 'placed-apart': {
			return `Suspected: engines have crashed under ${line.cause} (crashes: ${line.crashes}), so that it goes to one that others avoid`;
		}

		case 'conviction-tested': {
			return `Sent to find out whether ${line.causes.join(' with ')} still crashes engines of version ${line.versions.join(', ')}`;
		}

		case 'refused-as-convicted': {
			return describeConviction(line);
		}

		case 'ended': {
			return describeEnd(line);
		}

		default: {
			return assertNever(line);
		}
	}
}

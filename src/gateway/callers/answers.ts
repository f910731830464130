/** Responses that the gateway generates itself instead of forwarding one of an upstream. */
import {type ServerResponse} from 'node:http';
import {
	assertNever, codes, texts, type CodeName,
} from '../../core/index.js';
import {type AttemptEnding} from '../../core/gateway/limits/retries.js';

/** HTTP status of each answer. 503 guarantees that the request has not run and never will. */
const statuses = {
	notConfigured: 503,
	overloaded: 503,
	leaving: 503,
	noUpstream: 503,
	deadlineUnreachable: 503,
	deadlineBeforeStart: 503,
	refusedByUpstream: 503,
	notConnected: 503,
	convicted: 503,
	unknownKey: 401,
	unknownRoute: 404,
	missingId: 400,
	bodyTooLarge: 413,
	badBody: 400,
	badHeader: 400,
	upstreamFailed: 502,
	outcomeUnknown: 502,
	convictedAfterRun: 502,
	deadlinePassed: 504,
	internal: 502,
} as const satisfies Partial<Record<CodeName, number>>;

export type AnswerName = keyof typeof statuses;

/**
 * @param ending - How the last attempt ended.
 * @returns The answer to the caller, if nothing more specific is known.
 */
export function selectAnswer(ending: AttemptEnding): AnswerName {
	switch (ending.type) {
		case 'not-run': {
			return ending.isShed ? 'refusedByUpstream' : 'notConnected';
		}

		case 'failed': {
			return 'upstreamFailed';
		}

		case 'unknown':
		case 'answered':
		case 'cancelled': {
			return 'outcomeUnknown';
		}

		default: {
			return assertNever(ending);
		}
	}
}

/**
 * @param outgoing - Response to a caller, of which nothing has been sent yet.
 * @param name - Answer to send.
 * @param retryAfter - Seconds after which the caller may retry; only sent with status 503.
 */
export function sendAnswer(outgoing: ServerResponse, name: AnswerName, retryAfter?: number): void {
	const status = statuses[name];
	const body = JSON.stringify({code: codes[name], message: texts[name]});
	outgoing.writeHead(status, {
		'content-type': 'application/json',
		'content-length': body.length,
		...(retryAfter !== undefined && status === 503 && {'retry-after': retryAfter.toFixed(2)}),
	});
	outgoing.end(body);
}

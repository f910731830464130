/** Judges the head of an upstream's response, before any of its body is read. */

const minFinalStatus = 200;
const maxFinalStatus = 599;
const minErrorStatus = 500;
const noContentStatus = 204;

/** Statuses that guarantee callers that the request has not run. */
export const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** What the head of a response shows. */
export type ResponseHead = {
	readonly status: number;
	/** Whether it names another request than the one that was sent. */
	readonly isForeign: boolean;
	/** Whether its body is encoded, though no encoding was accepted. */
	readonly isEncoded: boolean;
	/** Whether it announces a body. */
	readonly hasContent: boolean;
	readonly isEventStream: boolean;
	/** Whether the upstream signed it as its own. */
	readonly isSigned: boolean;
	/** Whether it states that the request did not run, or will not run at this upstream. */
	readonly isNotRun: boolean;
};

/** What becomes of a response. */
export type HeadVerdict
	/** It is no response to this request, or contradicts itself: whether the request ran is unknown. */
	= | {readonly type: 'broken'; readonly reason: string}
	/** The request did not run; the body is of no use. */
		| {readonly type: 'not-run'}
	/** The request failed; another attempt may succeed. `isKept` if the response is passed on should none follow. */
		| {readonly type: 'failed'; readonly isKept: boolean}
	/** It is passed on event by event. */
		| {readonly type: 'stream'}
	/** It is passed on as a whole. */
		| {readonly type: 'body'};

/**
 * @param status - Status of a response.
 * @returns Whether a response with this status ends the exchange, and means something to a caller.
 */
export function isFinalStatus(status: number): boolean {
	return status >= minFinalStatus && status <= maxFinalStatus;
}

function isSuccess(status: number): boolean {
	return status >= 200 && status < 300;
}

/** Returns why a response can't be accepted, or undefined. */
function findContradiction({status, isForeign, isEncoded, hasContent, isSigned}: ResponseHead): string | undefined {
	if (!isFinalStatus(status)) {
		return `status ${String(status).padStart(3, '0')} is not final`;
	}

	if (isForeign) {
		return 'answer of another request';
	}

	if (isEncoded) {
		return 'encoded answer';
	}

	if (isSuccess(status) && !isSigned) {
		return 'unsigned answer';
	}

	return status === noContentStatus && hasContent ? 'status 204 with a body' : undefined;
}

/**
 * @param head - Head of a response.
 * @param isIdempotent - Whether the request may run again.
 * @returns What becomes of the response.
 */
export function judgeHead(head: ResponseHead, isIdempotent: boolean): HeadVerdict {
	const {status} = head;
	const reason = findContradiction(head);
	if (reason !== undefined) {
		return {type: 'broken', reason};
	}

	if (head.isNotRun) {
		return {type: 'not-run'};
	}

	// To callers such a status guarantees that nothing ran, but this upstream didn't state that.
	if (notRunStatuses.has(status)) {
		return {type: 'failed', isKept: false};
	}

	if (status >= minErrorStatus && isIdempotent) {
		return {type: 'failed', isKept: true};
	}

	return {type: isSuccess(status) && head.isEventStream ? 'stream' : 'body'};
}

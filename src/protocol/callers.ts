/** Names of the headers between callers and entry hosts. */

/** Sent by callers. */
export const callerHeaders = {
	/** Milliseconds the caller gives the request. */
	timeout: 'x-timeout-ms',
	/** `true` if the request may be repeated, `false` if it may run only once. */
	idempotent: 'x-idempotent',
	key: 'idempotency-key',
	ticket: 'x-ticket',
	/** Urgency from 0 to 9; never above the organisation's. */
	priority: 'x-priority',
	promptTokens: 'x-prompt-tokens',
	/** Position of the last event of a stream that was seen. */
	position: 'last-event-id',
} as const;

/** Sent back. */
export const answerHeaders = {
	outcome: 'x-outcome',
	code: 'x-result-code',
	request: 'x-request-id',
	ticket: 'x-ticket',
} as const;

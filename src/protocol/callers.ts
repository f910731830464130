/** Names of the HTTP headers between callers and entry hosts. */

/** Headers of requests. */
export const callerHeaders = {
	/** Timeout of the request in milliseconds. */
	timeout: 'x-timeout-ms',
	/** `true` if the request may be repeated, `false` if it must not run more than once. */
	idempotent: 'x-idempotent',
	key: 'idempotency-key',
	ticket: 'x-ticket',
	/** Urgency from 0 to 9, at most that of the organisation. */
	priority: 'x-priority',
	promptTokens: 'x-prompt-tokens',
	/** Position of the last stream event that the caller received. */
	position: 'last-event-id',
} as const;

/** Headers of responses. */
export const answerHeaders = {
	outcome: 'x-outcome',
	code: 'x-result-code',
	request: 'x-request-id',
	ticket: 'x-ticket',
} as const;

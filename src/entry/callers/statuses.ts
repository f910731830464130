/** Maps result codes to HTTP statuses. */
import {codes} from '../../core/index.js';

const badGateway = 502;
const serviceUnavailable = 503;
const gatewayTimeout = 504;

const httpStatuses: ReadonlyMap<number, number> = new Map([
	[codes.done, 200],
	[codes.badBody, 400],
	[codes.badHeader, 400],
	[codes.badPosition, 400],
	[codes.unknownKey, 401],
	[codes.badTicket, 403],
	[codes.unknownService, 404],
	[codes.unknownPath, 404],
	[codes.unknownRoute, 404],
	[codes.missingId, 400],
	[codes.sealed, 409],
	[codes.expiredTicket, 410],
	[codes.bodyTooLarge, 413],
	[codes.promptTooLong, 413],
	[codes.keyReused, 422],
	[codes.convicted, 422],
	[codes.ticketRequired, 428],
	[codes.organisationLimit, 429],
	[codes.deadlinePassed, gatewayTimeout],
	[codes.deadlineBeforeStart, gatewayTimeout],
]);

/** Codes from 2000 to 2999 mean that the request was not run. */
const firstNotRunCode = 2000;
const firstFailedCode = 3000;

/**
 * @param code - Result code.
 * @returns Its HTTP status; 503 for other requests that were not run, otherwise 502.
 */
export function getHttpStatus(code: number): number {
	const status = httpStatuses.get(code);
	if (status !== undefined) {
		return status;
	}

	return code >= firstNotRunCode && code < firstFailedCode ? serviceUnavailable : badGateway;
}

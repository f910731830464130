/** HTTP statuses of result codes. */
import {codes} from '../../core/index.js';

const badGateway = 502;
const unavailable = 503;
const timedOut = 504;

const statuses: ReadonlyMap<number, number> = new Map([
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
	[codes.deadlinePassed, timedOut],
	[codes.deadlineBeforeStart, timedOut],
]);

/** First code of those that say a request was not run, and of those that follow. */
const notRun = 2000;
const failed = 3000;

/**
 * @param code - Result code.
 * @returns The HTTP status that goes with it.
 */
export function statusOf(code: number): number {
	const status = statuses.get(code);
	if (status !== undefined) {
		return status;
	}

	return code >= notRun && code < failed ? unavailable : badGateway;
}

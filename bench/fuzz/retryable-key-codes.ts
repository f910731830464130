/** Result codes that leave a bare key usable; kept apart from the code under test, whose answers are checked against this list. */
import {codes} from '../../src/core/index.js';

/** A key refused with one of these codes may be sent again and run then; "not run" covers only the time before the refusal. */
export const retryableKeyCodes: ReadonlySet<number> = new Set([
	codes.overloaded,
	codes.deadlineUnreachable,
	codes.organisationLimit,
	codes.leaving,
	codes.noUpstream,
	codes.notConfigured,
	codes.refusedByUpstream,
	codes.notConnected,
	codes.abandoned,
	codes.deadlineBeforeStart,
	codes.badHeader,
]);

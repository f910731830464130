/** What the outside knows of refusals of bare keys: written down apart from the product, whose answers are checked by it. */
import {codes} from '../../src/core/index.js';

/** A key refused with one of these may be sent again and run then; "not run" speaks of the time before it. */
export const openCodes: ReadonlySet<number> = new Set([
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

/** Order numbers: the revision is the high part, a count the low part, so that orders of an older revision never win. */
import {type OrderNumber} from '../../types/upstream.js';

/** Order numbers available to each revision. */
const ordersPerRevision = 2 ** 20;

/**
 * @param revision - Revision in force.
 * @param highest - Highest number that the engine has seen.
 * @returns Whether the engine follows a newer revision than this host's.
 */
export function isBehind(revision: number, highest: OrderNumber | undefined): boolean {
	return highest !== undefined && highest.counter >= (revision + 1) * ordersPerRevision;
}

/**
 * @param revision - Revision in force.
 * @param host - Host that sends the order.
 * @param highest - Highest number that the engine has seen.
 * @returns A higher number, at least the first of the revision.
 */
export function nextNumber(revision: number, host: string, highest: OrderNumber | undefined): OrderNumber {
	return {counter: Math.max(revision * ordersPerRevision, (highest?.counter ?? 0) + 1), host};
}

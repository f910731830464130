/** Order numbers: the revision that an order follows, then a count, so that an older document never outnumbers a newer one. */
import {type OrderNumber} from '../../types/upstream.js';

/** Orders that one revision has numbers for. */
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
 * @param host - Host that orders.
 * @param highest - Highest number that the engine has seen.
 * @returns A number above it.
 */
export function nextNumber(revision: number, host: string, highest: OrderNumber | undefined): OrderNumber {
	return {counter: Math.max(revision * ordersPerRevision, (highest?.counter ?? 0) + 1), host};
}

/** Reads what engines publish and gives them cancellations, holds and orders. */
import {type Got} from 'got';
import {
	type Address,
	type Hold,
	type Order,
	type OrderNumber,
	type Report,
	type Segment,
} from '../core/index.js';
import {clientFor, urlOf} from './connection.js';
import {
	cacheEventsSchema,
	holdsSchema,
	loadSchema,
	orderStateSchema,
	type CacheEvents,
	type OrderState,
	type SegmentWork,
} from './protocol.js';

/** Milliseconds that an answer may take. */
const answerTimeout = 2000;

const created = 201;
const taken = 200;

const client: Got = clientFor(true).extend({timeout: {request: answerTimeout}, responseType: 'json'});

async function read(address: Address, path: string): Promise<unknown> {
	const {body} = await client(urlOf(address, path), {throwHttpErrors: true});
	return body;
}

/**
 * @param upstream - Engine.
 * @param address - Its address.
 * @returns Its own account of its load.
 */
export async function readReport(upstream: string, address: Address): Promise<Report> {
	const {engine, ...load} = loadSchema.parse(await read(address, '/v1/load'));
	return {upstream, ...load};
}

/**
 * @param address - Engine's address.
 * @param since - Sequence number to read from.
 * @returns Changes of its prefix cache.
 */
export async function readCacheEvents(address: Address, since: number): Promise<CacheEvents> {
	return cacheEventsSchema.parse(await read(address, `/v1/cache-events?since=${since}`));
}

/**
 * @param upstream - Engine.
 * @param address - Its address.
 * @returns KV memory reserved there.
 */
export async function readHolds(upstream: string, address: Address): Promise<readonly Hold[]> {
	const {holds} = holdsSchema.parse(await read(address, '/v1/holds'));
	return holds.map(hold => ({...hold, upstream}));
}

/**
 * @param address - Engine's address.
 * @returns Its fresh account of orders.
 */
export async function readOrders(address: Address): Promise<OrderState> {
	return orderStateSchema.parse(await read(address, '/v1/orders'));
}

/**
 * @param address - Engine's address.
 * @param hold - Hold wanted.
 * @returns Whether it was granted.
 */
export async function takeHold(address: Address, hold: Omit<Hold, 'upstream'>): Promise<boolean> {
	const {id, ...wanted} = hold;
	const {statusCode} = await client.put(urlOf(address, `/v1/holds/${encodeURIComponent(id)}`), {json: wanted});
	return statusCode === created || statusCode === taken;
}

/**
 * @param address - Engine's address.
 * @param hold - Hold to give back.
 */
export async function releaseHold(address: Address, hold: string): Promise<void> {
	await client.delete(urlOf(address, `/v1/holds/${encodeURIComponent(hold)}`), {throwHttpErrors: true, responseType: 'text'});
}

/**
 * @param address - Engine's address.
 * @param attempt - Attempt to stop.
 */
export async function cancelAttempt(address: Address, attempt: string): Promise<void> {
	await client.delete(urlOf(address, `/v1/attempts/${encodeURIComponent(attempt)}`), {throwHttpErrors: true, responseType: 'text'});
}

/**
 * Has one segment of a prompt prefilled into its hold.
 *
 * @param address - Engine's address.
 * @param segment - Segment.
 * @param blocks - Chained block hashes of the segment.
 * @param timeout - Milliseconds it may take.
 */
export async function prefillSegment(address: Address, segment: Segment, blocks: readonly string[], timeout: number): Promise<void> {
	const json: SegmentWork = {from: segment.from, to: segment.to, blocks};
	await client.post(urlOf(address, `/v1/segments/${encodeURIComponent(segment.hold)}`), {
		json,
		timeout: {request: timeout},
		throwHttpErrors: true,
		responseType: 'text',
	});
}

/** An engine's answer to an order. */
export type OrderAnswer = {
	readonly accepted: boolean;
	readonly seen?: OrderNumber;
};

/**
 * @param address - Engine's address.
 * @param order - Order.
 * @returns Whether the engine took it, and the highest number it has seen.
 */
export async function giveOrder(address: Address, order: Order): Promise<OrderAnswer> {
	const {statusCode, body} = await client.post(urlOf(address, '/v1/orders'), {json: order});
	const state = orderStateSchema.safeParse(body);
	return {accepted: statusCode === taken, seen: state.success ? state.data.highest : undefined};
}

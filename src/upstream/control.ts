/** Control calls to engines: load reports, cache events, holds, orders, cancellation and prefill of segments. */
import {type Got} from 'got';
import {
	type Address,
	type Hold,
	type Order,
	type OrderNumber,
	type LoadReport,
	type Segment,
} from '../core/index.js';
import {getClient, createUrl} from './connection.js';
import {
	cacheEventsSchema,
	holdsSchema,
	loadSchema,
	orderStateSchema,
	type CacheEvents,
	type OrderState,
	type SegmentRequest,
} from './protocol.js';

const answerTimeoutMs = 2000;

const createdStatus = 201;
const okStatus = 200;

const client: Got = getClient(true).extend({timeout: {request: answerTimeoutMs}, responseType: 'json'});

async function readJson(address: Address, path: string): Promise<unknown> {
	const {body} = await client(createUrl(address, path), {throwHttpErrors: true});
	return body;
}

/**
 * @param upstream - Id of the engine.
 * @param address - Address of the engine.
 */
export async function readLoadReport(upstream: string, address: Address): Promise<LoadReport> {
	const {engine, ...load} = loadSchema.parse(await readJson(address, '/v1/load'));
	return {upstream, ...load};
}

/**
 * @param address - Address of the engine.
 * @param since - Sequence number to read from.
 * @returns Changes of the engine's prefix cache.
 */
export async function readCacheEvents(address: Address, since: number): Promise<CacheEvents> {
	return cacheEventsSchema.parse(await readJson(address, `/v1/cache-events?since=${since}`));
}

/**
 * @param upstream - Id of the engine.
 * @param address - Address of the engine.
 * @returns Reservations of KV memory at the engine.
 */
export async function readHolds(upstream: string, address: Address): Promise<readonly Hold[]> {
	const {holds} = holdsSchema.parse(await readJson(address, '/v1/holds'));
	return holds.map(hold => ({...hold, upstream}));
}

/**
 * @param address - Address of the engine.
 * @returns Current order state, without lag.
 */
export async function readOrders(address: Address): Promise<OrderState> {
	return orderStateSchema.parse(await readJson(address, '/v1/orders'));
}

/**
 * @param address - Address of the engine.
 * @param hold - Requested reservation.
 * @returns Whether the engine granted it.
 */
export async function requestHold(address: Address, hold: Omit<Hold, 'upstream'>): Promise<boolean> {
	const {id, ...body} = hold;
	const {statusCode} = await client.put(createUrl(address, `/v1/holds/${encodeURIComponent(id)}`), {json: body});
	return statusCode === createdStatus || statusCode === okStatus;
}

/**
 * @param address - Address of the engine.
 * @param hold - Id of the hold.
 */
export async function releaseHold(address: Address, hold: string): Promise<void> {
	await client.delete(createUrl(address, `/v1/holds/${encodeURIComponent(hold)}`), {throwHttpErrors: true, responseType: 'text'});
}

/**
 * @param address - Address of the engine.
 * @param attempt - Id of the attempt.
 */
export async function cancelAttempt(address: Address, attempt: string): Promise<void> {
	await client.delete(createUrl(address, `/v1/attempts/${encodeURIComponent(attempt)}`), {throwHttpErrors: true, responseType: 'text'});
}

/**
 * Prefills one segment of a prompt into its hold.
 *
 * @param address - Address of the engine.
 * @param segment - Range of the prompt, and the hold for it.
 * @param blocks - Chained block hashes of the segment.
 * @param timeout - Timeout in milliseconds.
 */
export async function prefillSegment(address: Address, segment: Segment, blocks: readonly string[], timeout: number): Promise<void> {
	const json: SegmentRequest = {from: segment.from, to: segment.to, blocks};
	await client.post(createUrl(address, `/v1/segments/${encodeURIComponent(segment.hold)}`), {
		json,
		timeout: {request: timeout},
		throwHttpErrors: true,
		responseType: 'text',
	});
}

export type OrderAnswer = {
	readonly accepted: boolean;
	/** Highest order number that the engine has seen. */
	readonly seen?: OrderNumber;
};

/**
 * @param address - Address of the engine.
 * @param order - Order to send.
 */
export async function sendOrder(address: Address, order: Order): Promise<OrderAnswer> {
	const {statusCode, body} = await client.post(createUrl(address, '/v1/orders'), {json: order});
	const state = orderStateSchema.safeParse(body);
	return {accepted: statusCode === okStatus, seen: state.success ? state.data.highest : undefined};
}

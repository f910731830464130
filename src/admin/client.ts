/** Client of the hosts' admin endpoints, shared by the command line and the console. */
import {type Response} from 'got';
import {type z} from 'zod';
import {
	isFailure, raise, type Address, type Failure,
} from '../core/index.js';
import {
	convictionsSchema,
	decisionsSchema,
	drainResponseSchema,
	errorSchema,
	configurationInForceSchema,
	statusSchema,
	type ConvictionOrder,
	type Convictions,
	type Decisions,
	type DrainResponse,
	type DrainRequest,
	type ConfigurationInForce,
	type Status,
} from '../protocol/admin.js';
import {formatAddress} from '../protocol/address.js';
import {client} from '../protocol/http/client.js';

const answerTimeoutMs = 5000;

/** Content of a host's answer, or why there is none; `silent` covers hosts that are unreachable and hosts that refuse. */
export type HostAnswer<Content>
	= | {readonly type: 'answered'; readonly address: Address; readonly content: Content}
		| {readonly type: 'silent'; readonly address: Address; readonly failure: Failure};

/**
 * @param address - Admin address of the host.
 * @throws Failure `unreachableHost` or `refusedByHost`.
 */
export async function fetchStatus(address: Address): Promise<Status> {
	return fetchContent(address, {path: 'status'}, statusSchema);
}

/**
 * @param address - Admin address of the host.
 * @param timeout - Timeout in milliseconds.
 * @returns The configuration in force on the host.
 * @throws Failure `unreachableHost` or `refusedByHost`.
 */
export async function fetchConfiguration(address: Address, timeout = answerTimeoutMs): Promise<ConfigurationInForce> {
	return fetchContent(address, {path: 'configuration', timeout}, configurationInForceSchema);
}

/**
 * @param address - Admin address of the host.
 * @param request - Id of the request.
 * @returns The host's decisions about the request that it still remembers.
 * @throws Failure `unreachableHost` or `refusedByHost`.
 */
export async function fetchDecisions(address: Address, request: string): Promise<Decisions> {
	return fetchContent(address, {path: `decisions?${new URLSearchParams({request}).toString()}`}, decisionsSchema);
}

/**
 * @param address - Admin address of the host.
 * @param wanted - Optional grace period for running requests, in milliseconds.
 * @returns Phase of the host and number of unfinished requests.
 * @throws Failure `unreachableHost` or `refusedByHost`.
 */
export async function requestDrain(address: Address, wanted: DrainRequest): Promise<DrainResponse> {
	return fetchContent(address, {path: 'drain', body: wanted}, drainResponseSchema);
}

/**
 * @param address - Admin address of a gateway's host.
 * @returns The convictions in force there.
 * @throws Failure `unreachableHost` or `refusedByHost`.
 */
export async function fetchConvictions(address: Address): Promise<Convictions> {
	return fetchContent(address, {path: 'convictions'}, convictionsSchema);
}

/**
 * @param address - Admin address of a gateway's host, which notifies the others.
 * @param order - Conviction to add or lift.
 * @returns The convictions in force there after the order.
 * @throws Failure `unreachableHost` or `refusedByHost`.
 */
export async function sendConvictionOrder(address: Address, order: ConvictionOrder): Promise<Convictions> {
	return fetchContent(address, {path: 'convictions', body: order}, convictionsSchema);
}

/**
 * @param addresses - Admin addresses of the hosts.
 * @param fetch - Queries one host.
 * @returns Answers of the hosts, in the order of the addresses.
 */
export async function fetchFromHosts<Content>(
	addresses: readonly Address[],
	fetch: (address: Address) => Promise<Content>,
): Promise<ReadonlyArray<HostAnswer<Content>>> {
	return Promise.all(addresses.map(async address => {
		try {
			return {type: 'answered', address, content: await fetch(address)};
		} catch (error) {
			if (isFailure(error)) {
				return {type: 'silent', address, failure: error};
			}

			throw error;
		}
	}));
}

type Query = {
	readonly path: string;
	readonly body?: ConvictionOrder | DrainRequest;
	/** Timeout in milliseconds. */
	readonly timeout?: number;
};

async function fetchContent<Content>(address: Address, query: Query, schema: z.ZodType<Content>): Promise<Content> {
	const response = await sendQuery(address, query);
	const value = parseJson(response.body);
	if (!response.ok) {
		const error = errorSchema.safeParse(value);
		const reason = error.success ? `${error.data.error.code} ${error.data.error.message}` : `status ${response.statusCode}`;
		return raise('refusedByHost', `${formatAddress(address)}: ${reason}`);
	}

	const content = schema.safeParse(value);
	return content.success ? content.data : raise('refusedByHost', `${formatAddress(address)}: the response has an unexpected format.`);
}

async function sendQuery(address: Address, {path, body, timeout = answerTimeoutMs}: Query): Promise<Response<string>> {
	const url = `http://${formatAddress(address)}/admin/${path}`;
	const common = {throwHttpErrors: false, retry: {limit: 0}, timeout: {request: timeout}} as const;
	try {
		return body === undefined ? await client.get(url, common) : await client.post(url, {...common, json: body});
	} catch (error) {
		return raise('unreachableHost', `${formatAddress(address)}: ${error instanceof Error ? error.message : 'no answer'}`);
	}
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

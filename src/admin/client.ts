/** Asks hosts on their operators' listener; the command line and the console share it. */
import {got, type Response} from 'got';
import {type z} from 'zod';
import {
	isFailure, raise, type Address, type Failure,
} from '../core/index.js';
import {
	decisionsSchema,
	drainSchema,
	errorSchema,
	inForceSchema,
	statusSchema,
	type Decisions,
	type Drain,
	type DrainWanted,
	type InForce,
	type Status,
} from '../protocol/admin.js';
import {formatAddress} from '../protocol/address.js';

/** Milliseconds for one answer. */
const patience = 5000;

/** What one host answered, or why it did not. */
export type Answer<Content>
	= | {readonly type: 'answered'; readonly address: Address; readonly content: Content}
		| {readonly type: 'silent'; readonly address: Address; readonly failure: Failure};

/**
 * @param address - Operators' listener of a host.
 * @returns The host's status.
 * @throws Failure `unreachableHost` or `refusedByHost`.
 */
export async function fetchStatus(address: Address): Promise<Status> {
	return ask(address, {path: 'status'}, statusSchema);
}

/**
 * @param address - Operators' listener of a host.
 * @param timeout - Milliseconds for the answer.
 * @returns The document in force there.
 * @throws Failure `unreachableHost` or `refusedByHost`.
 */
export async function fetchInForce(address: Address, timeout = patience): Promise<InForce> {
	return ask(address, {path: 'configuration', timeout}, inForceSchema);
}

/**
 * @param address - Operators' listener of a host.
 * @param request - Request.
 * @returns What the host decided about it, as far as it still knows.
 * @throws Failure `unreachableHost` or `refusedByHost`.
 */
export async function fetchDecisions(address: Address, request: string): Promise<Decisions> {
	return ask(address, {path: `decisions?${new URLSearchParams({request}).toString()}`}, decisionsSchema);
}

/**
 * @param address - Operators' listener of a host.
 * @param wanted - Time for running requests.
 * @returns What the host still has to finish.
 * @throws Failure `unreachableHost` or `refusedByHost`.
 */
export async function orderDrain(address: Address, wanted: DrainWanted): Promise<Drain> {
	return ask(address, {path: 'drain', body: wanted}, drainSchema);
}

/**
 * @param addresses - Operators' listeners.
 * @param fetch - Asks one host.
 * @returns Every host's answer, in the same order.
 */
export async function askAll<Content>(addresses: readonly Address[], fetch: (address: Address) => Promise<Content>): Promise<ReadonlyArray<Answer<Content>>> {
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

type Question = {
	readonly path: string;
	readonly body?: DrainWanted;
	/** Milliseconds for the answer. */
	readonly timeout?: number;
};

async function ask<Content>(address: Address, question: Question, schema: z.ZodType<Content>): Promise<Content> {
	const response = await call(address, question);
	const value = parseJson(response.body);
	if (!response.ok) {
		const refusal = errorSchema.safeParse(value);
		const reason = refusal.success ? `${refusal.data.error.code} ${refusal.data.error.message}` : `status ${response.statusCode}`;
		return raise('refusedByHost', `${formatAddress(address)}: ${reason}`);
	}

	const content = schema.safeParse(value);
	return content.success ? content.data : raise('refusedByHost', `${formatAddress(address)}: the answer is of another form.`);
}

async function call(address: Address, {path, body, timeout = patience}: Question): Promise<Response<string>> {
	const url = `http://${formatAddress(address)}/admin/${path}`;
	const common = {throwHttpErrors: false, retry: {limit: 0}, timeout: {request: timeout}} as const;
	try {
		return body === undefined ? await got.get(url, common) : await got.post(url, {...common, json: body});
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

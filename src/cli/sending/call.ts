/** Sends one HTTP request and returns its answer as a stream. */
import {Buffer} from 'node:buffer';
import {type Method, type PlainResponse, type Request} from 'got';
import {type Address} from '../../core/index.js';
import {formatAddress} from '../../protocol/address.js';
import {client} from '../../protocol/http/client.js';

/** HTTP request, without the address of the host. */
export type Call = {
	readonly method: Method;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body?: string;
};

/** Result of a call. */
export type Reply
	/** Nothing was sent. */
	= | {readonly type: 'unreached'; readonly reason: string}
	/** The request may have been sent, but no answer began. */
		| {readonly type: 'lost'; readonly reason: string}
		| {readonly type: 'answered'; readonly status: number; readonly headers: Headers; readonly body: AsyncIterable<Uint8Array>};

/** Error codes that prove that no byte was sent. */
const unsentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN']);

/**
 * @param address - Caller listener of a host.
 * @param call - Request.
 * @returns The answer; its body throws if the connection is lost.
 */
export async function sendCall(address: Address, call: Call): Promise<Reply> {
	const stream = client.stream(`http://${formatAddress(address)}${call.path}`, {
		method: call.method,
		headers: call.headers,
		...(call.body !== undefined && {body: call.body}),
		throwHttpErrors: false,
		retry: {limit: 0},
		timeout: {connect: 5000},
		decompress: false,
	});
	try {
		const response = await waitForResponse(stream);
		return {
			type: 'answered',
			status: response.statusCode,
			headers: convertHeaders(response),
			body: stream,
		};
	} catch (error) {
		const reason = error instanceof Error ? error.message : 'no answer';
		return {type: isUnsent(error) ? 'unreached' : 'lost', reason};
	}
}

async function waitForResponse(stream: Request): Promise<PlainResponse> {
	return new Promise((resolve, reject) => {
		stream.once('response', resolve);
		stream.once('error', reject);
	});
}

function isUnsent(error: unknown): boolean {
	return error instanceof Error && 'code' in error && unsentCodes.has(String(error.code));
}

function convertHeaders(response: PlainResponse): Headers {
	const headers = new Headers();
	for (const [name, value] of Object.entries(response.headers)) {
		for (const each of [value ?? []].flat()) {
			headers.append(name, each);
		}
	}

	return headers;
}

/**
 * @param body - Body of an answer.
 * @returns The whole body as UTF-8.
 */
export async function readBody(body: AsyncIterable<Uint8Array>): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of body) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

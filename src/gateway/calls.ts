/** JSON calls over HTTP to the store and to the control endpoints of engines. */
import {Buffer} from 'node:buffer';
import {type Agent, type IncomingHttpHeaders} from 'node:http';
import {messageOf, raise, type Address} from '../core/index.js';
import {ByteBuffer} from '../protocol/byte-buffer.js';
import {requestValidated} from '../protocol/http/validated-request.js';
import {limitInterimResponses} from '../protocol/interim-responses.js';

export type Call = {
	readonly address: Address;
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly body?: unknown;
	readonly headers?: Readonly<Record<string, string>>;
	/** Milliseconds for the whole call. */
	readonly timeout: number;
	/** Longest response in bytes; that of an engine's answer to an order or a health check if absent. */
	readonly maxResponseBytes?: number;
	readonly agent: Agent;
};

export type CallResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly text: string;
};

/** Longer responses fail the call, and so do more interim responses. */
const usualMaxResponseBytes = 1_000_000;
const maxInterimResponses = 16;

/**
 * @param call - Request, address and timeout.
 * @returns The response, whatever its status.
 * @throws Error if no complete response arrives in time.
 */
export async function callJson(call: Call): Promise<CallResponse> {
	const {
		address, method, path, body, timeout, agent, headers, maxResponseBytes = usualMaxResponseBytes,
	} = call;
	const payload = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
	return new Promise((resolve, reject) => {
		const outgoing = requestValidated({
			host: address.host,
			port: address.port,
			method,
			path,
			agent,
			headers: payload === undefined ? headers : {'content-type': 'application/json', 'content-length': payload.length, ...headers},
		});
		limitInterimResponses(outgoing, maxInterimResponses);
		const timer = setTimeout(() => {
			outgoing.destroy(new Error(`no response within ${timeout} ms`));
		}, timeout);
		const fail = (error: Error) => {
			clearTimeout(timer);
			reject(error);
		};

		outgoing.on('error', fail);
		outgoing.on('response', response => {
			const bytes = new ByteBuffer();
			response.on('data', (chunk: Buffer) => {
				if (bytes.length + chunk.length > maxResponseBytes) {
					outgoing.destroy(new Error(`response longer than ${maxResponseBytes} bytes`));
					return;
				}

				bytes.append(chunk);
			});
			response.on('error', fail);
			response.on('end', () => {
				clearTimeout(timer);
				resolve({status: response.statusCode ?? 0, headers: response.headers, text: bytes.bytes.toString('utf8')});
			});
		});
		outgoing.end(payload);
	});
}

/**
 * @param text - JSON text.
 * @returns The parsed value.
 * @throws Failure `storeUnreadable` if the text is not valid JSON.
 */
export function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch (error) {
		return raise('storeUnreadable', messageOf(error));
	}
}

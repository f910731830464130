/** Sends one HTTP request and gives its answer as it comes. */
import {Buffer} from 'node:buffer';
import {
	got, type Method, type PlainResponse, type Request,
} from 'got';
import {type Address} from '../../core/index.js';
import {formatAddress} from '../../protocol/address.js';

/** What is sent. */
export type Call = {
	readonly method: Method;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body?: string;
};

/** What came of it. */
export type Reply
	/** Nothing was sent. */
	= | {readonly type: 'unreached'; readonly reason: string}
	/** Something may have been sent, and no answer began. */
		| {readonly type: 'lost'; readonly reason: string}
		| {readonly type: 'answered'; readonly status: number; readonly headers: Headers; readonly body: AsyncIterable<Uint8Array>};

/** Errors after which it is certain that no byte was sent. */
const unreached = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN']);

/**
 * @param address - Host.
 * @param call - What to send.
 * @returns The answer, whose body throws if it is cut.
 */
export async function place(address: Address, call: Call): Promise<Reply> {
	const stream = got.stream(`http://${formatAddress(address)}${call.path}`, {
		method: call.method,
		headers: call.headers,
		...(call.body !== undefined && {body: call.body}),
		throwHttpErrors: false,
		retry: {limit: 0},
		timeout: {connect: 5000},
		decompress: false,
	});
	try {
		const response = await responseOf(stream);
		return {
			type: 'answered',
			status: response.statusCode,
			headers: headersOf(response),
			body: stream,
		};
	} catch (error) {
		const reason = error instanceof Error ? error.message : 'no answer';
		return {type: isUnreached(error) ? 'unreached' : 'lost', reason};
	}
}

async function responseOf(stream: Request): Promise<PlainResponse> {
	return new Promise((resolve, reject) => {
		stream.once('response', resolve);
		stream.once('error', reject);
	});
}

function isUnreached(error: unknown): boolean {
	return error instanceof Error && 'code' in error && unreached.has(String(error.code));
}

function headersOf(response: PlainResponse): Headers {
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
 * @returns Its whole text.
 */
export async function readBody(body: AsyncIterable<Uint8Array>): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of body) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

/** A restify server for stand-ins: sends errors as JSON, and can close and listen again on the same port. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {text} from 'node:stream/consumers';
import {
	createServer,
	type Request as Incoming,
	type Response as Outgoing,
	type Server as RestifyServer,
} from 'restify';
import {z} from 'zod';
import {type Address} from '../../src/core/index.js';

export type Method = 'get' | 'post' | 'put' | 'del' | 'patch' | 'head';

/** Request, response and parsed parameters of one call to a route. */
export type Call = {
	readonly incoming: Incoming;
	readonly outgoing: Outgoing;
	/** Path parameters. */
	readonly parameters: Readonly<Record<string, string>>;
	readonly query: URLSearchParams;
};

export type RouteHandler = (call: Call) => Promise<void>;

const parametersSchema = z.record(z.string(), z.string());
const maxParameterLength = 1000;
const loopbackHost = '127.0.0.1';

/** Reads the whole request body as text. */
export async function readText(incoming: Incoming): Promise<string> {
	return text(incoming);
}

/**
 * @param incoming - Request.
 * @param name - Header name in lower case.
 * @returns The first value of the header.
 */
export function getHeader(incoming: Incoming, name: string): string | undefined {
	const value = incoming.headers[name];
	return typeof value === 'string' ? value : value?.[0];
}

/**
 * Sends a JSON response, unless one was started or the connection is closed.
 *
 * @param outgoing - Response.
 * @param status - HTTP status.
 * @param body - Value to serialize; without it the response body is empty.
 */
export function sendJson(outgoing: Outgoing, status: number, body?: unknown): void {
	if (outgoing.headersSent || outgoing.destroyed) {
		return;
	}

	const content = body === undefined ? '' : JSON.stringify(body);
	outgoing.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(content)});
	outgoing.end(content);
}

/**
 * Sends an error in the format of OpenAI-style servers.
 *
 * @param outgoing - Response.
 * @param status - HTTP status.
 * @param type - Machine-readable error type.
 * @param message - Human-readable description.
 */
export function sendError(outgoing: Outgoing, status: number, type: string, message: string): void {
	sendJson(outgoing, status, {error: {type, message}});
}

/** An HTTP server for one address. */
export class Server implements AsyncDisposable {
	readonly #restify: RestifyServer;
	readonly #host: string;
	#port: number;

	constructor(name: string, address?: Partial<Address>) {
		this.#restify = createServer({name, ignoreTrailingSlash: true, maxParamLength: maxParameterLength});
		this.#host = address?.host ?? loopbackHost;
		this.#port = address?.port ?? 0;
	}

	/** Listening address; port 0 stands for a free port until the first {@link listen}. */
	get address(): Address {
		return {host: this.#host, port: this.#port};
	}

	/**
	 * Adds a route.
	 *
	 * @param method - HTTP method.
	 * @param path - Path, with parameters as `:name`.
	 * @param handler - Sends the response; an error that it throws becomes a 400.
	 */
	route(method: Method, path: string, handler: RouteHandler): void {
		this.#restify[method](path, async (incoming: Incoming, outgoing: Outgoing) => {
			try {
				await handler({
					incoming,
					outgoing,
					parameters: parametersSchema.parse(incoming.params),
					query: new URLSearchParams(incoming.getQuery()),
				});
			} catch (error) {
				sendError(outgoing, 400, 'bad-request', error instanceof Error ? error.message : String(error));
			}
		});
	}

	/** Starts listening; after {@link close} on the same port as before. */
	async listen(): Promise<void> {
		this.#restify.server.listen(this.#port, this.#host);
		await once(this.#restify.server, 'listening');
		const address = this.#restify.server.address();
		if (typeof address === 'object' && address !== null) {
			this.#port = address.port;
		}
	}

	/** Closes every connection and refuses new ones until {@link listen} is called again. */
	async close(): Promise<void> {
		const {server} = this.#restify;
		if (!server.listening) {
			return;
		}

		const closed = once(server, 'close');
		server.close();
		server.closeAllConnections();
		await closed;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.close();
	}
}

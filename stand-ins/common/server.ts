/** A restify server for stand-ins: reads whole bodies, answers errors as JSON, can vanish and come back on its port. */
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

/** What a route is given. */
export type Call = {
	readonly incoming: Incoming;
	readonly outgoing: Outgoing;
	/** Path parameters. */
	readonly parameters: Readonly<Record<string, string>>;
	readonly query: URLSearchParams;
};

export type Answer = (call: Call) => Promise<void>;

const parametersSchema = z.record(z.string(), z.string());
const longestParameter = 1000;
const loopback = '127.0.0.1';

/**
 * Reads a whole body.
 *
 * @param incoming - Request.
 * @returns The body as text.
 */
export async function readText(incoming: Incoming): Promise<string> {
	return text(incoming);
}

/**
 * @param incoming - Request.
 * @param name - Header in lower case.
 * @returns The header's single value.
 */
export function header(incoming: Incoming, name: string): string | undefined {
	const value = incoming.headers[name];
	return typeof value === 'string' ? value : value?.[0];
}

/**
 * Answers with JSON.
 *
 * @param outgoing - Response.
 * @param status - HTTP status.
 * @param body - Anything JSON can hold; nothing for an empty answer.
 */
export function answerJson(outgoing: Outgoing, status: number, body?: unknown): void {
	if (outgoing.headersSent || outgoing.destroyed) {
		return;
	}

	const content = body === undefined ? '' : JSON.stringify(body);
	outgoing.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(content)});
	outgoing.end(content);
}

/**
 * Answers with an error as OpenAI-style servers write it.
 *
 * @param outgoing - Response.
 * @param status - HTTP status.
 * @param type - Kind of error.
 * @param message - What was wrong, for people.
 */
export function answerError(outgoing: Outgoing, status: number, type: string, message: string): void {
	answerJson(outgoing, status, {error: {type, message}});
}

/** A listening server. */
export class Server implements AsyncDisposable {
	readonly #restify: RestifyServer;
	readonly #host: string;
	#port: number;

	constructor(name: string, address?: Partial<Address>) {
		this.#restify = createServer({name, ignoreTrailingSlash: true, maxParamLength: longestParameter});
		this.#host = address?.host ?? loopback;
		this.#port = address?.port ?? 0;
	}

	/** Where it listens; the port is known after the first {@link listen}. */
	get address(): Address {
		return {host: this.#host, port: this.#port};
	}

	/**
	 * Adds a route.
	 *
	 * @param method - HTTP method.
	 * @param path - Path with parameters.
	 * @param answer - Answers a call; a thrown error becomes a 400.
	 */
	route(method: Method, path: string, answer: Answer): void {
		this.#restify[method](path, async (incoming: Incoming, outgoing: Outgoing) => {
			try {
				await answer({
					incoming,
					outgoing,
					parameters: parametersSchema.parse(incoming.params),
					query: new URLSearchParams(incoming.getQuery()),
				});
			} catch (error) {
				answerError(outgoing, 400, 'bad-request', error instanceof Error ? error.message : String(error));
			}
		});
	}

	/** Starts to listen, again on the same port after {@link vanish}. */
	async listen(): Promise<void> {
		this.#restify.server.listen(this.#port, this.#host);
		await once(this.#restify.server, 'listening');
		const address = this.#restify.server.address();
		if (typeof address === 'object' && address !== null) {
			this.#port = address.port;
		}
	}

	/** Drops every connection and refuses new ones. */
	async vanish(): Promise<void> {
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
		await this.vanish();
	}
}

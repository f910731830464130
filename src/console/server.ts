/** The console's HTTP server. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import restify, {
	type Request as RestifyRequest,
	type Response as RestifyResponse,
	type Server,
} from 'restify';
import {
	codes,
	isFailure,
	raise,
	texts,
	type Code,
} from '../core/index.js';
import {formatAddress} from '../protocol/address.js';
import {
	handleDraft, handleStart, type ConsoleResponse, type HandlerOptions,
} from './handlers.js';
import {renderErrorPage, renderStartPage} from './pages/start.js';
import {styleSheet} from './pages/style.js';
import {CrossSiteGuard, securityHeaders} from './security.js';
import {createSource, type Settings} from './settings.js';
import {type Source} from './source.js';

const defaultHttpPort = 80;

const statusByCode: ReadonlyMap<Code, number> = new Map([
	[codes.crossSite, 403],
	[codes.bodyTooLarge, 413],
	[codes.internal, 500],
	[codes.unreachableHost, 502],
	[codes.refusedByHost, 502],
	[codes.unknownPath, 404],
]);

export class ConsoleServer implements AsyncDisposable {
	readonly #settings: Settings;
	readonly #source: Source;
	readonly #server: Server;
	#guard = new CrossSiteGuard([]);

	/**
	 * @param settings - Settings of the console.
	 */
	constructor(settings: Settings) {
		this.#settings = settings;
		this.#source = createSource(settings);
		this.#server = restify.createServer({name: 'cranberrytide-console'});
		this.#registerRoutes();
	}

	/**
	 * @returns The port that the server listens on.
	 */
	async listen(): Promise<number> {
		const {host, port} = this.#settings.listen;
		this.#server.listen(port, host);
		await once(this.#server.server, 'listening');
		const address = this.#server.server.address();
		const actual = typeof address === 'object' && address !== null ? address.port : port;
		this.#guard = new CrossSiteGuard(this.#listAllowedHosts(actual));
		return actual;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		const closed = once(this.#server.server, 'close');
		this.#server.close();
		this.#server.server.closeAllConnections();
		await closed;
	}

	/** Browsers omit the default port from the Host header. Names in the settings state their own port, since a proxy may use any. */
	#listAllowedHosts(port: number): readonly string[] {
		const {listen, names} = this.#settings;
		const ownNames = [listen.host, 'localhost'].flatMap(host => {
			const name = formatAddress({host, port});
			return port === defaultHttpPort ? [host, name] : [name];
		});
		return [...ownNames, ...names].map(name => name.toLowerCase());
	}

	#registerRoutes(): void {
		this.#registerRoute('get', '/', async () => ({type: 'page', text: renderStartPage(this.#source, this.#guard.token)}));
		this.#registerRoute('get', '/style.css', async () => ({type: 'style', text: styleSheet}));
		this.#registerRoute('post', '/start', async request => handleStart(this.#createHandlerOptions(), await this.#readForm(request)));
		this.#registerRoute('post', '/draft', async request => handleDraft(this.#createHandlerOptions(), await this.#readForm(request)));
		this.#server.on('NotFound', (_request, response: RestifyResponse) => {
			sendResponse(response, statusByCode.get(codes.unknownPath)!, {type: 'page', text: renderErrorPage(codes.unknownPath, texts.unknownPath)});
		});
	}

	#createHandlerOptions(): HandlerOptions {
		return {source: this.#source, token: this.#guard.token};
	}

	#registerRoute(method: 'get' | 'post', path: string, handle: (request: RestifyRequest) => Promise<ConsoleResponse>): void {
		this.#server[method](path, async (request: RestifyRequest, response: RestifyResponse) => {
			try {
				this.#guard.checkHost(request.headers);
				sendResponse(response, 200, await handle(request));
			} catch (error) {
				const code = isFailure(error) ? error.code : codes.internal;
				const message = isFailure(error) ? error.message : texts.internal;
				sendResponse(response, statusByCode.get(code) ?? 400, {type: 'page', text: renderErrorPage(code, message)});
			}
		});
	}

	async #readForm(request: RestifyRequest): Promise<URLSearchParams> {
		this.#guard.checkOrigin(request.headers);
		const form = new URLSearchParams(await readBody(request, this.#settings.bodyLimit));
		this.#guard.checkToken(form.get('token') ?? '');
		return form;
	}
}

async function readBody(request: AsyncIterable<Uint8Array>, limit: number): Promise<string> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of request) {
		size += chunk.byteLength;
		if (size > limit) {
			return raise('bodyTooLarge', `The limit is ${limit} bytes.`);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

function sendResponse(response: RestifyResponse, status: number, content: ConsoleResponse): void {
	response.writeHead(status, {...securityHeaders, ...getContentHeaders(content)});
	response.end(content.text);
}

function getContentHeaders(content: ConsoleResponse): Readonly<Record<string, string>> {
	switch (content.type) {
		case 'page': {
			return {'content-type': 'text/html; charset=utf-8'};
		}

		case 'style': {
			return {'content-type': 'text/css; charset=utf-8'};
		}

		case 'document': {
			return {
				'content-type': 'application/json; charset=utf-8',
				'content-disposition': `attachment; filename="configuration-${content.revision}.json"`,
			};
		}
	}
}

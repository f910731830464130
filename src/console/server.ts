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
	answerDraft, answerStart, type Answer, type Desk,
} from './desk.js';
import {errorPage, startPage} from './pages/start.js';
import {styleSheet} from './pages/style.js';
import {Guard, securityHeaders} from './security.js';
import {sourceOf, type Settings} from './settings.js';
import {type Source} from './source.js';

const defaultPort = 80;

const statuses: ReadonlyMap<Code, number> = new Map([
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
	#guard = new Guard([]);

	/**
	 * @param settings - Settings of the console.
	 */
	constructor(settings: Settings) {
		this.#settings = settings;
		this.#source = sourceOf(settings);
		this.#server = restify.createServer({name: 'cranberrytide-console'});
		this.#routes();
	}

	/**
	 * @returns The port that browsers reach.
	 */
	async listen(): Promise<number> {
		const {host, port} = this.#settings.listen;
		this.#server.listen(port, host);
		await once(this.#server.server, 'listening');
		const address = this.#server.server.address();
		const actual = typeof address === 'object' && address !== null ? address.port : port;
		this.#guard = new Guard(this.#names(actual));
		return actual;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		const closed = once(this.#server.server, 'close');
		this.#server.close();
		this.#server.server.closeAllConnections();
		await closed;
	}

	/** Browsers leave the default port out; a name behind a proxy may have any port. */
	#names(port: number): readonly string[] {
		const {listen, names} = this.#settings;
		const own = [listen.host, 'localhost'].flatMap(host => {
			const name = formatAddress({host, port});
			return port === defaultPort ? [host, name] : [name];
		});
		return [...own, ...names].map(name => name.toLowerCase());
	}

	#routes(): void {
		this.#answer('get', '/', async () => ({type: 'page', text: startPage(this.#source, this.#guard.token)}));
		this.#answer('get', '/style.css', async () => ({type: 'style', text: styleSheet}));
		this.#answer('post', '/start', async request => answerStart(this.#desk(), await this.#form(request)));
		this.#answer('post', '/draft', async request => answerDraft(this.#desk(), await this.#form(request)));
		this.#server.on('NotFound', (_request, response: RestifyResponse) => {
			write(response, statuses.get(codes.unknownPath)!, {type: 'page', text: errorPage(codes.unknownPath, texts.unknownPath)});
		});
	}

	#desk(): Desk {
		return {source: this.#source, token: this.#guard.token};
	}

	#answer(method: 'get' | 'post', path: string, handle: (request: RestifyRequest) => Promise<Answer>): void {
		this.#server[method](path, async (request: RestifyRequest, response: RestifyResponse) => {
			try {
				this.#guard.checkHost(request.headers);
				write(response, 200, await handle(request));
			} catch (error) {
				const code = isFailure(error) ? error.code : codes.internal;
				const message = isFailure(error) ? error.message : texts.internal;
				write(response, statuses.get(code) ?? 400, {type: 'page', text: errorPage(code, message)});
			}
		});
	}

	async #form(request: RestifyRequest): Promise<URLSearchParams> {
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

function write(response: RestifyResponse, status: number, answer: Answer): void {
	response.writeHead(status, {...securityHeaders, ...headersOf(answer)});
	response.end(answer.text);
}

function headersOf(answer: Answer): Readonly<Record<string, string>> {
	switch (answer.type) {
		case 'page': {
			return {'content-type': 'text/html; charset=utf-8'};
		}

		case 'style': {
			return {'content-type': 'text/css; charset=utf-8'};
		}

		case 'document': {
			return {
				'content-type': 'application/json; charset=utf-8',
				'content-disposition': `attachment; filename="configuration-${answer.revision}.json"`,
			};
		}
	}
}

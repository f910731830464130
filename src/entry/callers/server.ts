/** HTTP server for callers: health checks, chat completions, plain services and tickets. */
import {once} from 'node:events';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	type Request as RestifyRequest,
	type Response as RestifyResponse,
} from 'restify';
import {v7} from 'uuid';
import {z} from 'zod';
import {
	messageOf,
	codes,
	isFailure,
	raise,
	type Configuration,
	type Event,
	type Failure,
	type Outcome,
	type Service,
	type State,
} from '../../core/index.js';
import {type Clock} from '../clock.js';
import {type Log} from '../logs.js';
import {Listener} from '../listener.js';
import {type Settings} from '../settings.js';
import {readBody} from './body.js';
import {
	parseChatBody, parseChatRequest, type ParsedRequest, type RequestContext,
} from './chat.js';
import {type Directory} from './directory.js';
import {type Exchanges} from './exchange.js';
import {callerHeaders, getHeader, findOrganisation} from './headers.js';
import {requestHeader} from './outcomes.js';
import {parsePlainRequest, servicesPath} from './plain.js';
import {endAnswer, type Receiver} from './receivers.js';
import {type Resumption} from './resumption.js';

export type CallerServerOptions = {
	readonly settings: Settings;
	readonly exchanges: Exchanges;
	readonly directory: Directory;
	readonly clock: Clock;
	readonly log: Log;
	readonly resumption: Resumption;
	readonly state: () => State;
	readonly dispatch: (event: Event) => void;
	readonly isReady: () => boolean;
	/** Stops forwarding a request whose callers have all disconnected. */
	readonly abandon: (request: string) => void;
};

const methods = ['get', 'post', 'put', 'patch', 'del', 'head', 'opts'] as const;

export class CallerServer implements AsyncDisposable {
	readonly #options: CallerServerOptions;
	readonly #listener = new Listener('cranberrytide');

	constructor(options: CallerServerOptions) {
		this.#options = options;
		this.#addRoutes();
	}

	/**
	 * @returns Port that the server listens on.
	 */
	async listen(): Promise<number> {
		return this.#listener.listen(this.#options.settings.caller);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#listener[Symbol.asyncDispose]();
	}

	#addRoutes(): void {
		const {server} = this.#listener;
		server.get('/health/live', async (request: RestifyRequest, response: RestifyResponse) => {
			response.send(200, {live: true, id: request.getId()});
		});
		server.get('/health/ready', async (request: RestifyRequest, response: RestifyResponse) => {
			const ready = this.#options.isReady();
			response.send(ready ? 200 : 503, {ready, id: request.getId()});
		});
		server.post('/v1/chat/completions', async (request: RestifyRequest, response: RestifyResponse) => {
			await this.#handleRequest(request, response, async context => this.#parseChatRequest(context));
		});
		server.post('/v1/tickets', async (request: RestifyRequest, response: RestifyResponse) => {
			await this.#issueTicket(request, response);
		});
		for (const method of methods) {
			server[method](`${servicesPath}:service/*`, async (request: RestifyRequest, response: RestifyResponse) => {
				await this.#handleRequest(request, response, async context => this.#parsePlainRequest(context, parseServiceName(request.params)));
			});
		}

		server.on('NotFound', (_request, response: RestifyResponse) => {
			sendOutcome(response, v7(), {type: 'not-run', code: codes.unknownPath});
		});
	}

	/** Parses a request, dispatches it to the core and waits until the response is closed. */
	async #handleRequest(
		request: IncomingMessage,
		response: ServerResponse,
		parse: (context: Omit<RequestContext, 'service'>) => Promise<ParsedRequest>,
	): Promise<void> {
		const id = v7();
		try {
			const configuration = this.#getConfiguration();
			const organisation = findOrganisation(request.headers, this.#options.directory, configuration);
			const position = getHeader(request.headers, callerHeaders.position);
			if (position !== undefined) {
				await this.#options.resumption.resume(id, position, organisation, response);
				return;
			}

			const body = await readBody(request, this.#options.settings.bodyLimit);
			const {clock, settings} = this.#options;
			const parsed = await parse({
				id,
				method: request.method ?? 'GET',
				path: request.url ?? '/',
				headers: request.headers,
				body,
				configuration,
				organisation,
				now: clock.now(),
				wall: clock.wall(),
				statedPromptTokens: settings.statedPromptTokens,
			});
			await this.#runRequest(parsed, response);
		} catch (error) {
			this.#sendError(response, id, error);
		}
	}

	async #runRequest({request, payload, form}: ParsedRequest, response: ServerResponse): Promise<void> {
		const receiver: Receiver = {
			request: request.id,
			form,
			response,
			frames: [],
		};
		const responseClosed = once(response, 'close');
		this.#options.exchanges.open(request, payload, receiver);
		this.#options.dispatch({type: 'request-arrived', request});
		await responseClosed;
		if (!response.writableFinished) {
			const abandoned = this.#options.exchanges.detach(receiver);
			if (abandoned !== undefined) {
				this.#options.dispatch({type: 'request-abandoned', request: abandoned});
				this.#options.abandon(abandoned);
			}
		}
	}

	async #parseChatRequest(context: Omit<RequestContext, 'service'>): Promise<ParsedRequest> {
		const chat = parseChatBody(context.body);
		const service = this.#options.directory.findModelService(context.configuration, chat.model);
		return service === undefined
			? raise('unknownService', chat.model)
			: parseChatRequest({...context, service}, chat);
	}

	async #parsePlainRequest(context: Omit<RequestContext, 'service'>, name: string): Promise<ParsedRequest> {
		const service: Service | undefined = this.#options.directory.findService(context.configuration, name);
		return service?.kind === 'plain'
			? parsePlainRequest({...context, service})
			: raise('unknownService', name);
	}

	async #issueTicket(request: IncomingMessage, response: RestifyResponse): Promise<void> {
		const id = v7();
		try {
			const {exchanges, directory, dispatch} = this.#options;
			const organisation = findOrganisation(request.headers, directory, this.#getConfiguration());
			exchanges.awaitTicket(id, (ticket, expires) => {
				response.send(201, {ticket, expires}, {[requestHeader]: id});
			});
			dispatch({type: 'ticket-wanted', request: id, organisation: organisation.id});
		} catch (error) {
			this.#sendError(response, id, error);
		}
	}

	#getConfiguration(): Configuration {
		return this.#options.state().configuration.inForce ?? raise('notConfigured');
	}

	#sendError(response: ServerResponse, id: string, error: unknown): void {
		if (isFailure(error)) {
			sendOutcome(response, id, failureToOutcome(error));
			return;
		}

		this.#options.log.write({event: 'request-failed', request: id, detail: messageOf(error)}, 'error');
		sendOutcome(response, id, {type: 'unknown', code: codes.internal});
	}
}

/** The outcome for an expired ticket is unknown, because the ticket may have been used before it expired. */
function failureToOutcome({code, detail}: Failure): Outcome {
	return code === codes.expiredTicket ? {type: 'unknown', code, detail} : {type: 'not-run', code, detail};
}

const parametersSchema = z.object({service: z.string()});

function parseServiceName(parameters: unknown): string {
	return parametersSchema.parse(parameters).service;
}

function sendOutcome(response: ServerResponse, request: string, outcome: Outcome): void {
	endAnswer({
		request,
		form: 'whole',
		response,
		frames: [],
	}, outcome);
}

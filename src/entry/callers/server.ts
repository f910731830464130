/** The listener that callers connect to. */
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
	parseChat, readChat, type Intake, type Reading,
} from './chat.js';
import {type Directory} from './directory.js';
import {type Exchanges} from './exchange.js';
import {callerHeaders, header, readOrganisation} from './headers.js';
import {requestHeader} from './outcomes.js';
import {readPlain, servicesPath} from './plain.js';
import {endAnswer, type Receiver} from './receivers.js';
import {type Resumption} from './resumption.js';

/** What the listener needs of the daemon. */
export type Counter = {
	readonly settings: Settings;
	readonly exchanges: Exchanges;
	readonly directory: Directory;
	readonly clock: Clock;
	readonly log: Log;
	readonly resumption: Resumption;
	readonly state: () => State;
	readonly dispatch: (event: Event) => void;
	readonly isReady: () => boolean;
	/** Ends the forwarding of a request whose caller left. */
	readonly abandon: (request: string) => void;
};

const methods = ['get', 'post', 'put', 'patch', 'del', 'head', 'opts'] as const;

export class CallerServer implements AsyncDisposable {
	readonly #counter: Counter;
	readonly #listener = new Listener('cranberrytide');

	/**
	 * @param counter - Parts of the daemon.
	 */
	constructor(counter: Counter) {
		this.#counter = counter;
		this.#routes();
	}

	/**
	 * @returns The port that callers reach.
	 */
	async listen(): Promise<number> {
		return this.#listener.listen(this.#counter.settings.caller);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#listener[Symbol.asyncDispose]();
	}

	#routes(): void {
		const {server} = this.#listener;
		server.get('/health/live', async (request: RestifyRequest, response: RestifyResponse) => {
			response.send(200, {live: true, id: request.getId()});
		});
		server.get('/health/ready', async (request: RestifyRequest, response: RestifyResponse) => {
			const ready = this.#counter.isReady();
			response.send(ready ? 200 : 503, {ready, id: request.getId()});
		});
		server.post('/v1/chat/completions', async (request: RestifyRequest, response: RestifyResponse) => {
			await this.#take(request, response, async reading => this.#chat(reading));
		});
		server.post('/v1/tickets', async (request: RestifyRequest, response: RestifyResponse) => {
			await this.#ticket(request, response);
		});
		for (const method of methods) {
			server[method](`${servicesPath}:service/*`, async (request: RestifyRequest, response: RestifyResponse) => {
				await this.#take(request, response, async reading => this.#plain(reading, serviceOf(request.params)));
			});
		}

		server.on('NotFound', (_request, response: RestifyResponse) => {
			refuse(response, v7(), {type: 'not-run', code: codes.unknownPath});
		});
	}

	/** Reads a request, hands it to the core and waits until its caller has the answer. */
	async #take(
		request: IncomingMessage,
		response: ServerResponse,
		read: (reading: Omit<Reading, 'service'>) => Promise<Intake>,
	): Promise<void> {
		const id = v7();
		try {
			const configuration = this.#configuration();
			const organisation = readOrganisation(request.headers, this.#counter.directory, configuration);
			const position = header(request.headers, callerHeaders.position);
			if (position !== undefined) {
				await this.#counter.resumption.run(id, position, organisation, response);
				return;
			}

			const body = await readBody(request, this.#counter.settings.bodyLimit);
			const {clock, settings} = this.#counter;
			const intake = await read({
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
			await this.#hand(intake, response);
		} catch (error) {
			this.#fail(response, id, error);
		}
	}

	async #hand({request, payload, form}: Intake, response: ServerResponse): Promise<void> {
		const receiver: Receiver = {
			request: request.id,
			form,
			response,
			frames: [],
		};
		const closed = once(response, 'close');
		this.#counter.exchanges.open(request, payload, receiver);
		this.#counter.dispatch({type: 'request-arrived', request});
		await closed;
		if (!response.writableFinished) {
			const abandoned = this.#counter.exchanges.leave(receiver);
			if (abandoned !== undefined) {
				this.#counter.dispatch({type: 'request-abandoned', request: abandoned});
				this.#counter.abandon(abandoned);
			}
		}
	}

	async #chat(reading: Omit<Reading, 'service'>): Promise<Intake> {
		const chat = parseChat(reading.body);
		const service = this.#counter.directory.modelService(reading.configuration, chat.model);
		return service === undefined
			? raise('unknownService', chat.model)
			: readChat({...reading, service}, chat);
	}

	async #plain(reading: Omit<Reading, 'service'>, name: string): Promise<Intake> {
		const service: Service | undefined = this.#counter.directory.service(reading.configuration, name);
		return service?.kind === 'plain'
			? readPlain({...reading, service})
			: raise('unknownService', name);
	}

	async #ticket(request: IncomingMessage, response: RestifyResponse): Promise<void> {
		const id = v7();
		try {
			const {exchanges, directory, dispatch} = this.#counter;
			const organisation = readOrganisation(request.headers, directory, this.#configuration());
			exchanges.expectTicket(id, (ticket, expires) => {
				response.send(201, {ticket, expires}, {[requestHeader]: id});
			});
			dispatch({type: 'ticket-wanted', request: id, organisation: organisation.id});
		} catch (error) {
			this.#fail(response, id, error);
		}
	}

	#configuration(): Configuration {
		return this.#counter.state().configuration.inForce ?? raise('notConfigured');
	}

	#fail(response: ServerResponse, id: string, error: unknown): void {
		if (isFailure(error)) {
			refuse(response, id, outcomeOf(error));
			return;
		}

		this.#counter.log.write({event: 'request-failed', request: id, detail: messageOf(error)}, 'error');
		refuse(response, id, {type: 'unknown', code: codes.internal});
	}
}

/** An expired ticket may have been used before it expired, so "not run" would not be known to be true. */
function outcomeOf({code, detail}: Failure): Outcome {
	return code === codes.expiredTicket ? {type: 'unknown', code, detail} : {type: 'not-run', code, detail};
}

const parametersSchema = z.object({service: z.string()});

function serviceOf(parameters: unknown): string {
	return parametersSchema.parse(parameters).service;
}

function refuse(response: ServerResponse, request: string, outcome: Outcome): void {
	endAnswer({
		request,
		form: 'whole',
		response,
		frames: [],
	}, outcome);
}

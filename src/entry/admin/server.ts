/** HTTP server for operators' tools: status, configuration, decisions, cost and drain. */
import {type IncomingMessage} from 'node:http';
import process from 'node:process';
import restify, {
	type Request as RestifyRequest,
	type Response as RestifyResponse,
} from 'restify';
import {z} from 'zod';
import {
	messageOf,
	codes,
	isFailure,
	raise,
	texts,
	type Event,
	type State,
} from '../../core/index.js';
import {
	defaultDecisionLimit,
	drainRequestSchema,
	type DrainRequest,
	type DrainResponse,
	type ConfigurationInForce,
} from '../../protocol/admin.js';
import {decodeText, readBody} from '../callers/body.js';
import {getHttpStatus as httpStatusOf} from '../callers/statuses.js';
import {type Clock} from '../clock.js';
import {Listener} from '../listener.js';
import {type EventUsage} from '../driver.js';
import {type Settings} from '../settings.js';
import {type DecisionHistory} from './decisions.js';
import {describeStatus} from './status.js';

/** Resource usage of the daemon itself. */
export type Cost = {
	/** Milliseconds spent in the core and number of events, by event type. */
	readonly core: Readonly<Record<string, EventUsage>>;
	/** Bytes transferred over peer links. */
	readonly peerBytes: {readonly sent: number; readonly received: number};
	/** Number of requests sent to the platform. */
	readonly platformCalls: number;
};

export type AdminServerOptions = {
	readonly settings: Settings;
	readonly clock: Clock;
	readonly decisions: DecisionHistory;
	readonly state: () => State;
	readonly dispatch: (event: Event) => void;
	readonly cost: () => Cost;
};

const maxBodyBytes = 10_000;

export class AdminServer implements AsyncDisposable {
	readonly #options: AdminServerOptions;
	readonly #listener = new Listener('cranberrytide-admin');

	constructor(options: AdminServerOptions) {
		this.#options = options;
		this.#listener.server.use(restify.plugins.queryParser());
		this.#addRoutes();
	}

	/**
	 * Starts listening at the address in the settings.
	 *
	 * @returns The port listened at.
	 */
	async listen(): Promise<number> {
		return this.#listener.listen(this.#options.settings.admin);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#listener[Symbol.asyncDispose]();
	}

	#addRoutes(): void {
		this.#addRoute('get', '/admin/status', async () => describeStatus(this.#options.state(), this.#options.clock.now()));
		this.#addRoute('get', '/admin/configuration', async () => this.#getConfiguration());
		this.#addRoute('get', '/admin/decisions', async request => this.#findDecisions(request));
		this.#addRoute('get', '/admin/cost', async () => this.#getCost());
		this.#addRoute('post', '/admin/drain', async request => this.#startDrain(request), 202);
	}

	#addRoute(method: 'get' | 'post', path: string, handle: (request: RestifyRequest) => Promise<unknown>, status = 200): void {
		this.#listener.server[method](path, async (request: RestifyRequest, response: RestifyResponse) => {
			try {
				response.send(status, await handle(request));
			} catch (error) {
				const code = isFailure(error) ? error.code : codes.internal;
				const message = isFailure(error) ? error.message : texts.internal;
				response.send(httpStatusOf(code), {error: {code, message}});
			}
		});
	}

	#getConfiguration(): ConfigurationInForce {
		const {inForce, digest, text} = this.#options.state().configuration;
		if (inForce === undefined) {
			return raise('notConfigured');
		}

		return {
			host: this.#options.settings.host,
			revision: inForce.revision,
			digest,
			text,
		};
	}

	#findDecisions(request: RestifyRequest) {
		const {request: id, limit: maxCount} = parseDecisionsQuery(request.query);
		const {decisions, settings} = this.#options;
		return {host: settings.host, decisions: decisions.findLatest(id, maxCount), dropped: decisions.hasDropped};
	}

	#getCost() {
		const {user, system} = process.cpuUsage();
		return {...this.#options.cost(), processor: {user, system}, memory: process.memoryUsage()};
	}

	async #startDrain(request: IncomingMessage): Promise<DrainResponse> {
		const drainRequest = parseDrainRequest(await readBody(request, maxBodyBytes));
		const {dispatch, settings, state} = this.#options;
		dispatch({type: 'stop-asked', grace: drainRequest.grace ?? settings.drainGrace});
		const {membership, requests} = state();
		return {host: settings.host, phase: membership.phase, unfinished: requests.admissions.size};
	}
}

const querySchema = z.object({
	request: z.string().optional(),
	limit: z.coerce.number().int().positive().default(defaultDecisionLimit),
});

function parseDecisionsQuery(query: unknown): z.infer<typeof querySchema> {
	const result = querySchema.safeParse(query);
	return result.success ? result.data : raise('badArgument', result.error.message);
}

function parseDrainRequest(body: Uint8Array): DrainRequest {
	try {
		return drainRequestSchema.parse(body.byteLength === 0 ? {} : JSON.parse(decodeText(body)));
	} catch (error) {
		return raise('badArgument', messageOf(error));
	}
}

/** The listener that operators' tools connect to. */
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
	decisionsKept,
	drainWantedSchema,
	type DrainWanted,
	type Drain,
	type InForce,
} from '../../protocol/admin.js';
import {decode, readBody} from '../callers/body.js';
import {statusOf as httpStatusOf} from '../callers/statuses.js';
import {type Clock} from '../clock.js';
import {Listener} from '../listener.js';
import {type Usage} from '../driver.js';
import {type Settings} from '../settings.js';
import {type Decisions} from './decisions.js';
import {statusOf} from './status.js';

/** Counts of the daemon's own cost. */
export type Cost = {
	/** Milliseconds in the core and number of events, by type of event. */
	readonly core: Readonly<Record<string, Usage>>;
	/** Bytes over peer links. */
	readonly peerBytes: {readonly sent: number; readonly received: number};
	readonly platformCalls: number;
};

/** What the listener needs of the daemon. */
export type Office = {
	readonly settings: Settings;
	readonly clock: Clock;
	readonly decisions: Decisions;
	readonly state: () => State;
	readonly dispatch: (event: Event) => void;
	readonly cost: () => Cost;
};

const bodyLimit = 10_000;

export class AdminServer implements AsyncDisposable {
	readonly #office: Office;
	readonly #listener = new Listener('cranberrytide-admin');

	/**
	 * @param office - Parts of the daemon.
	 */
	constructor(office: Office) {
		this.#office = office;
		this.#listener.server.use(restify.plugins.queryParser());
		this.#routes();
	}

	/**
	 * @returns The port that operators' tools reach.
	 */
	async listen(): Promise<number> {
		return this.#listener.listen(this.#office.settings.admin);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#listener[Symbol.asyncDispose]();
	}

	#routes(): void {
		this.#answer('get', '/admin/status', async () => statusOf(this.#office.state(), this.#office.clock.now()));
		this.#answer('get', '/admin/configuration', async () => this.#inForce());
		this.#answer('get', '/admin/decisions', async request => this.#find(request));
		this.#answer('get', '/admin/cost', async () => this.#cost());
		this.#answer('post', '/admin/drain', async request => this.#drain(request), 202);
	}

	#answer(method: 'get' | 'post', path: string, handle: (request: RestifyRequest) => Promise<unknown>, status = 200): void {
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

	#inForce(): InForce {
		const {inForce, digest, text} = this.#office.state().configuration;
		if (inForce === undefined) {
			return raise('notConfigured');
		}

		return {
			host: this.#office.settings.host,
			revision: inForce.revision,
			digest,
			text,
		};
	}

	#find(request: RestifyRequest) {
		const {request: id, limit: most} = decisionsQuery(request.query);
		const {decisions, settings} = this.#office;
		return {host: settings.host, decisions: decisions.latest(id, most), dropped: decisions.isDropped};
	}

	#cost() {
		const {user, system} = process.cpuUsage();
		return {...this.#office.cost(), processor: {user, system}, memory: process.memoryUsage()};
	}

	async #drain(request: IncomingMessage): Promise<Drain> {
		const wanted = readDrain(await readBody(request, bodyLimit));
		const {dispatch, settings, state} = this.#office;
		dispatch({type: 'stop-asked', grace: wanted.grace ?? settings.drainGrace});
		const {membership, requests} = state();
		return {host: settings.host, phase: membership.phase, unfinished: requests.admissions.size};
	}
}

const querySchema = z.object({
	request: z.string().optional(),
	limit: z.coerce.number().int().positive().default(decisionsKept),
});

function decisionsQuery(query: unknown): z.infer<typeof querySchema> {
	const result = querySchema.safeParse(query);
	return result.success ? result.data : raise('badArgument', result.error.message);
}

function readDrain(body: Uint8Array): DrainWanted {
	try {
		return drainWantedSchema.parse(body.byteLength === 0 ? {} : JSON.parse(decode(body)));
	} catch (error) {
		return raise('badArgument', messageOf(error));
	}
}

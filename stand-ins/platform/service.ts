/** Stand-in for the platform: serves a configuration that can be read and watched, and a host list with a lag. */
import {performance} from 'node:perf_hooks';
import {z} from 'zod';
import {assertNever} from '../../src/core/index.js';
import {revisionHeader, type Hosts} from '../../src/configuration-service/protocol.js';
import {
	sendError, sendJson, getHeader, readText, Server, type RouteHandler, type Call,
} from '../common/server.js';
import {type RunningProgram} from '../common/command.js';
import {listenSchema, millisecondsSchema} from '../common/settings.js';
import {CallBudget} from './budget.js';
import {controlSchema, type Control} from './control.js';
import {Documents, type Publication} from './documents.js';

export const settingsSchema = z.object({
	listen: listenSchema.prefault({}),
	control: listenSchema.prefault({}),
	callsPerSecond: z.number().positive().default(2000),
	/** Lag of the host list in real milliseconds. */
	hostLag: millisecondsSchema.default(2000),
}).readonly();

export type Settings = z.infer<typeof settingsSchema>;

type Waiter = () => void;
type HostVersion = {readonly hosts: Hosts['hosts']; readonly at: number};

const maxWaitMs = 300_000;
/** Identifies the reader for the call budget; without it, the remote address does. */
const readerHeader = 'x-reader';

export class PlatformService implements RunningProgram {
	/** Starts the platform and waits until it listens. */
	static async start(settings: Settings): Promise<PlatformService> {
		const platform = new PlatformService(settings);
		await platform.#server.listen();
		await platform.#control.listen();
		return platform;
	}

	readonly #server: Server;
	readonly #control: Server;
	readonly #budget: CallBudget;
	readonly #documents = new Documents();
	readonly #waiters = new Set<Waiter>();
	#hostVersions: readonly HostVersion[] = [];
	#hostLag: number;
	#isUp = true;

	private constructor(settings: Settings) {
		this.#budget = new CallBudget(settings.callsPerSecond);
		this.#hostLag = settings.hostLag;
		this.#server = new Server('platform', settings.listen);
		this.#control = new Server('platform-control', settings.control);
		this.#server.route('get', '/v1/configuration', this.#withBudget(async call => this.#sendConfiguration(call)));
		this.#server.route('get', '/v1/hosts', this.#withBudget(async ({outgoing}) => {
			sendJson(outgoing, 200, {hosts: this.#getVisibleHosts()});
		}));
		this.#control.route('post', '/control', async ({incoming, outgoing}) => {
			await this.apply(controlSchema.parse(JSON.parse(await readText(incoming))));
			sendJson(outgoing, 204);
		});
		this.#control.route('get', '/control/calls', async ({outgoing}) => {
			sendJson(outgoing, 200, this.counts);
		});
	}

	get addresses() {
		return {address: this.#server.address, control: this.#control.address};
	}

	/** Calls and refusals so far, and the number of waiting watches. */
	get counts() {
		return {...this.#budget.counts, waiting: this.#waiters.size};
	}

	/** Carries out a control request of a test. */
	async apply(control: Control): Promise<void> {
		switch (control.type) {
			case 'publish': {
				this.#documents.publish(control);
				break;
			}

			case 'stale':
			case 'alternate':
			case 'fresh': {
				this.#documents.setView(control);
				break;
			}

			case 'hosts': {
				this.#hostVersions = [...this.#hostVersions, {hosts: control.hosts, at: performance.now()}];
				break;
			}

			case 'host-lag': {
				this.#hostLag = control.lag;
				break;
			}

			case 'down': {
				this.#isUp = false;
				await this.#server.close();
				break;
			}

			case 'up': {
				await this.#resume();
				break;
			}

			default: {
				assertNever(control);
			}
		}

		this.#wakeWaiters();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#wakeWaiters();
		await Promise.all([this.#server[Symbol.asyncDispose](), this.#control[Symbol.asyncDispose]()]);
	}

	async #resume(): Promise<void> {
		if (!this.#isUp) {
			this.#isUp = true;
			await this.#server.listen();
		}
	}

	#wakeWaiters(): void {
		for (const waiter of this.#waiters) {
			waiter();
		}
	}

	#withBudget(handler: RouteHandler): RouteHandler {
		return async call => {
			const reader = getHeader(call.incoming, readerHeader) ?? call.incoming.socket.remoteAddress ?? '';
			if (!this.#budget.countCall(reader, performance.now())) {
				sendError(call.outgoing, 429, 'too-many-calls', 'the call budget is used up');
				return;
			}

			await handler(call);
		};
	}

	async #sendConfiguration({outgoing, query}: Call): Promise<void> {
		this.#documents.countRead();
		const above = Number(query.get('above') ?? -1);
		const end = performance.now() + Math.min(Number(query.get('wait') ?? 0), maxWaitMs);
		const found = await this.#waitForDocument(above, end, outgoing);
		if (found === undefined) {
			outgoing.writeHead(204);
			outgoing.end();
			return;
		}

		outgoing.writeHead(200, {'content-type': 'application/json', [revisionHeader]: found.revision});
		outgoing.end(found.text);
	}

	/** Waits until a document above a revision is visible, the time is over or the reader has disconnected. */
	async #waitForDocument(above: number, end: number, outgoing: Call['outgoing']): Promise<Publication | undefined> {
		for (;;) {
			const found = this.#documents.findNewer(above);
			const remaining = end - performance.now();
			if (found !== undefined || remaining <= 0 || outgoing.destroyed) {
				return found;
			}

			await new Promise<void>(resolve => {
				const finish = (): void => {
					clearTimeout(timer);
					this.#waiters.delete(finish);
					outgoing.off('close', finish);
					resolve();
				};

				const timer = setTimeout(finish, remaining);
				this.#waiters.add(finish);
				outgoing.once('close', finish);
			});
		}
	}

	#getVisibleHosts(): Hosts['hosts'] {
		const until = performance.now() - this.#hostLag;
		return this.#hostVersions.findLast(each => each.at <= until)?.hosts ?? [];
	}
}

/** A plain HTTP service that responds on any path and counts its executions. */
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {shortDigest} from '../../src/protocol/blocks.js';
import {Gate} from '../common/gate.js';
import {
	sendError, sendJson, getHeader, readText, Server, type Call,
} from '../common/server.js';
import {type RunningProgram} from '../common/command.js';
import {listenSchema, millisecondsSchema} from '../common/settings.js';
import {type CallFault, type Fault, faultSchema} from './faults.js';

export const settingsSchema = z.object({
	id: z.string().min(1),
	listen: listenSchema.prefault({}),
	control: listenSchema.prefault({}),
	/** Duration of each call in real milliseconds. */
	duration: millisecondsSchema.default(2),
}).readonly();

export const countsSchema = z.object({
	service: z.string(),
	executed: z.number(),
	/** Executions by Idempotency-Key. */
	byKey: z.record(z.string(), z.number()),
	/** Executions by digest of the request body. */
	byBody: z.record(z.string(), z.number()),
});

export type Settings = z.infer<typeof settingsSchema>;
export type Counts = z.infer<typeof countsSchema>;

const methods = ['get', 'post', 'put', 'del', 'patch', 'head'] as const;

function increment(table: Map<string, number>, key: string): void {
	table.set(key, (table.get(key) ?? 0) + 1);
}

export class PlainService implements RunningProgram {
	/**
	 * @param settings - Validated settings.
	 * @returns The service, already listening.
	 */
	static async start(settings: Settings): Promise<PlainService> {
		const started = new PlainService(settings);
		await started.#server.listen();
		await started.#control.listen();
		return started;
	}

	readonly #settings: Settings;
	readonly #server: Server;
	readonly #control: Server;
	readonly #gate = new Gate();
	readonly #byKey = new Map<string, number>();
	readonly #byBody = new Map<string, number>();
	#executed = 0;
	#dueFaults: readonly CallFault[] = [];
	/** Extra delay before each response, in real milliseconds. */
	#delay = 0;
	#poisons: ReadonlyArray<Extract<Fault, {type: 'poison'}>> = [];
	#restartTimer: NodeJS.Timeout | undefined;
	#isUp = true;

	private constructor(settings: Settings) {
		this.#settings = settings;
		this.#server = new Server(settings.id, settings.listen);
		this.#control = new Server(`${settings.id}-control`, settings.control);
		for (const method of methods) {
			this.#server.route(method, '/*', async call => this.#handleCall(call));
		}

		this.#control.route('post', '/control', async ({incoming, outgoing}) => {
			await this.#applyFault(faultSchema.parse(JSON.parse(await readText(incoming))));
			sendJson(outgoing, 204);
		});
		this.#control.route('get', '/control/executions', async ({outgoing}) => {
			sendJson(outgoing, 200, this.counts);
		});
	}

	get addresses() {
		return {id: this.#settings.id, address: this.#server.address, control: this.#control.address};
	}

	get counts(): Counts {
		return {
			service: this.#settings.id,
			executed: this.#executed,
			byKey: Object.fromEntries(this.#byKey),
			byBody: Object.fromEntries(this.#byBody),
		};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		clearTimeout(this.#restartTimer);
		this.#gate.open();
		await Promise.all([this.#server[Symbol.asyncDispose](), this.#control[Symbol.asyncDispose]()]);
	}

	async #handleCall({incoming, outgoing}: Call): Promise<void> {
		const body = await readText(incoming);
		const fault = this.#takeDueFault();
		if (fault?.type === 'refuse') {
			sendError(outgoing, fault.status, 'refused', 'refused on demand');
			return;
		}

		if (fault?.type === 'drop-before') {
			outgoing.destroy();
			return;
		}

		const key = getHeader(incoming, 'idempotency-key');
		this.#execute(key, body);
		await sleep(this.#settings.duration + this.#delay);
		await this.#gate.waitUntilOpen();
		if (fault?.type === 'drop-after') {
			outgoing.destroy();
			return;
		}

		if (fault?.type === 'fail-after') {
			sendError(outgoing, fault.status, 'failed', 'failed on demand');
			return;
		}

		sendJson(outgoing, 200, {
			service: this.#settings.id, method: incoming.method, path: incoming.url, key, body: shortDigest(body),
		});
	}

	#execute(key: string | undefined, body: string): void {
		this.#executed++;
		increment(this.#byBody, shortDigest(body));
		if (key !== undefined) {
			increment(this.#byKey, key);
		}

		const poison = this.#poisons.find(each => body.includes(each.marker));
		if (poison !== undefined) {
			void this.#crash(poison.returnAfter);
		}
	}

	/** Consumes one occurrence of the first pending fault. */
	#takeDueFault(): CallFault | undefined {
		const [first, ...rest] = this.#dueFaults;
		if (first !== undefined) {
			this.#dueFaults = first.count > 1 ? [{...first, count: first.count - 1}, ...rest] : rest;
		}

		return first;
	}

	async #applyFault(fault: Fault): Promise<void> {
		switch (fault.type) {
			case 'hang': {
				this.#gate.close();
				break;
			}

			case 'late': {
				this.#delay = fault.delay;
				break;
			}

			case 'crash': {
				await this.#crash(fault.returnAfter);
				break;
			}

			case 'restart': {
				await this.#restart();
				break;
			}

			case 'poison': {
				this.#poisons = [...this.#poisons, fault];
				break;
			}

			case 'heal': {
				this.#heal();
				break;
			}

			default: {
				this.#dueFaults = [...this.#dueFaults, fault];
			}
		}
	}

	#heal(): void {
		this.#gate.open();
		this.#delay = 0;
		this.#dueFaults = [];
		this.#poisons = [];
	}

	async #crash(returnAfter: number | undefined): Promise<void> {
		if (!this.#isUp) {
			return;
		}

		this.#isUp = false;
		await this.#server.close();
		if (returnAfter !== undefined) {
			this.#restartTimer = setTimeout(() => {
				void this.#restart();
			}, returnAfter);
		}
	}

	async #restart(): Promise<void> {
		clearTimeout(this.#restartTimer);
		if (!this.#isUp) {
			this.#isUp = true;
			await this.#server.listen();
		}
	}
}

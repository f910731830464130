/** A weight store that serves a limited number of loads per second, over all clients. */
import {performance} from 'node:perf_hooks';
import {z} from 'zod';
import {sendError, sendJson, Server} from '../common/server.js';
import {type RunningProgram} from '../common/command.js';
import {listenSchema} from '../common/settings.js';

export const settingsSchema = z.object({
	listen: listenSchema.prefault({}),
	/** Loads per second of real time; further loads are refused with status 429. */
	loadsPerSecond: z.number().positive().default(4),
}).readonly();

export type Settings = z.infer<typeof settingsSchema>;

const secondMs = 1000;

export class WeightStoreService implements RunningProgram {
	/**
	 * @param settings - Validated settings.
	 * @returns The store, already listening.
	 */
	static async start(settings: Settings): Promise<WeightStoreService> {
		const started = new WeightStoreService(settings);
		await started.#server.listen();
		return started;
	}

	readonly #server: Server;
	/** Milliseconds between loads at the full rate. */
	readonly #loadInterval: number;
	readonly #counters = {served: 0, refused: 0};
	/** Monotonic time at which the next load may be served. */
	#nextAt = 0;

	private constructor(settings: Settings) {
		this.#loadInterval = secondMs / settings.loadsPerSecond;
		this.#server = new Server('weights', settings.listen);
		this.#server.route('get', '/v1/weights/:model/:version', async ({outgoing, parameters}) => {
			const wait = this.#takeLoad(performance.now());
			if (wait > 0) {
				outgoing.setHeader('retry-after', Math.ceil(wait / secondMs));
				sendError(outgoing, 429, 'too-many-loads', 'the store is at its rate');
				return;
			}

			sendJson(outgoing, 200, {model: parameters.model, version: parameters.version});
		});
		this.#server.route('get', '/control/counters', async ({outgoing}) => {
			sendJson(outgoing, 200, this.#counters);
		});
	}

	get addresses() {
		return {address: this.#server.address};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#server[Symbol.asyncDispose]();
	}

	/** Counts a load as served and returns 0, or as refused and returns the milliseconds until the next one is allowed. */
	#takeLoad(now: number): number {
		if (now < this.#nextAt) {
			this.#counters.refused++;
			return this.#nextAt - now;
		}

		this.#counters.served++;
		this.#nextAt = Math.max(this.#nextAt, now - this.#loadInterval) + this.#loadInterval;
		return 0;
	}
}

/** Runs several engines in one process, each on its own port, with one control server through which tests inject faults. */
import {z} from 'zod';
import {sendJson, readText, Server} from '../common/server.js';
import {type RunningProgram} from '../common/command.js';
import {faultSchema} from './faults.js';
import {EngineHost} from './host.js';
import {type Settings} from './settings.js';

/** Body of `POST /control`; without `engine` the fault applies to every engine. */
export const controlSchema = z.object({engine: z.string().optional(), fault: faultSchema});

export type Control = z.infer<typeof controlSchema>;

export class EngineProcess implements RunningProgram {
	/**
	 * @param settings - Validated settings.
	 * @returns The engines, already listening.
	 */
	static async start(settings: Settings): Promise<EngineProcess> {
		const started = new EngineProcess(settings);
		await Promise.all([started.#control, ...started.#hosts].map(async each => each.listen()));
		return started;
	}

	readonly #hosts: readonly EngineHost[];
	readonly #control: Server;

	private constructor(settings: Settings) {
		const {timeScale, seed, weightStore} = settings;
		this.#hosts = settings.engines.map((each, index) =>
			new EngineHost(each, {timeScale, seed: seed + index, weightStore}));
		this.#control = new Server('engine-control', settings.control);
		this.#addControlRoutes();
	}

	get hosts(): readonly EngineHost[] {
		return this.#hosts;
	}

	get addresses() {
		return {
			control: this.#control.address,
			engines: this.#hosts.map(({id, address}) => ({id, ...address})),
		};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await Promise.all([this.#control, ...this.#hosts].map(async each => each[Symbol.asyncDispose]()));
	}

	#selectHosts(id: string | undefined): readonly EngineHost[] {
		return id === undefined ? this.#hosts : this.#hosts.filter(each => each.id === id);
	}

	#addControlRoutes(): void {
		this.#control.route('post', '/control', async ({incoming, outgoing}) => {
			const {engine, fault} = controlSchema.parse(JSON.parse(await readText(incoming)));
			await Promise.all(this.#selectHosts(engine).map(async each => each.applyFault(fault)));
			sendJson(outgoing, 204);
		});
		this.#control.route('get', '/control/counters', async ({outgoing}) => {
			sendJson(outgoing, 200, {engines: this.#hosts.map(({id, log}) => ({engine: id, counters: log.counters}))});
		});
		this.#control.route('get', '/control/executions', async ({outgoing, query}) => {
			const selected = this.#selectHosts(query.get('engine') ?? undefined);
			sendJson(outgoing, 200, {engines: selected.map(each => each.executions)});
		});
	}
}

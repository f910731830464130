/** The fixed address of an engine, behind which each restart after a crash creates a new incarnation. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Address} from '../../src/core/index.js';
import {Server} from '../common/server.js';
import {Engine, type EngineOptions} from './engine.js';
import {ExecutionLog, type Executions} from './executions.js';
import {Faults, type Fault} from './faults.js';
import {addRoutes} from './routes.js';
import {type EngineSettings} from './settings.js';

export class EngineHost implements AsyncDisposable {
	readonly settings: EngineSettings;
	readonly faults = new Faults();
	readonly #log = new ExecutionLog();
	readonly #server: Server;
	readonly #options: EngineOptions;
	#incarnationCount = 0;
	#engine: Engine;
	#restartTimer: NodeJS.Timeout | undefined;
	#isUp = true;

	constructor(settings: EngineSettings, options: Omit<EngineOptions, 'log'>) {
		this.settings = settings;
		this.#options = {...options, log: this.#log};
		this.#server = new Server(settings.id, settings.listen);
		this.#engine = this.#createEngine();
		addRoutes(this.#server, this);
	}

	get id(): string {
		return this.settings.id;
	}

	get address(): Address {
		return this.#server.address;
	}

	get engine(): Engine {
		return this.#engine;
	}

	get log(): ExecutionLog {
		return this.#log;
	}

	get executions(): Executions {
		return {
			engine: this.id,
			incarnation: this.#engine.incarnation,
			counters: this.#log.counters,
			executions: [...this.#log.executions],
		};
	}

	async listen(): Promise<void> {
		await this.#server.listen();
	}

	/** Activates a fault, or ends faults with `heal`. */
	async applyFault(fault: Fault): Promise<void> {
		this.faults.activate(fault);
		switch (fault.type) {
			case 'crash': {
				await this.crash(fault.returnAfter);

				break;
			}

			case 'restart': {
				await this.#restart();

				break;
			}

			case 'hang': {
				this.#engine.pause();

				break;
			}

			case 'heal': {
				this.#engine.resume();

				break;
			}

			case 'lose-cache-events': {
				this.#engine.cacheEvents.setLoss(fault.share);

				break;
			}
		// No default
		}
	}

	/**
	 * Closes all connections and discards the engine's state.
	 *
	 * @param returnAfter - Real milliseconds until the next incarnation starts; without it only a `restart` fault starts one.
	 */
	async crash(returnAfter: number | undefined): Promise<void> {
		if (!this.#isUp) {
			return;
		}

		this.#isUp = false;
		this.#log.count('crashes');
		this.#engine[Symbol.dispose]();
		await this.#server.close();
		if (returnAfter !== undefined) {
			this.#restartTimer = setTimeout(() => {
				void this.#restart();
			}, returnAfter);
		}
	}

	/**
	 * Waits as long as the transfer of KV cache between engines takes.
	 *
	 * @param tokens - Prompt tokens transferred.
	 */
	async simulateTransfer(tokens: number): Promise<void> {
		await sleep(tokens / this.settings.transferRate * 1000 / this.#options.timeScale);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		clearTimeout(this.#restartTimer);
		this.#engine[Symbol.dispose]();
		await this.#server[Symbol.asyncDispose]();
	}

	async #restart(): Promise<void> {
		clearTimeout(this.#restartTimer);
		if (this.#isUp) {
			return;
		}

		this.#isUp = true;
		this.#engine = this.#createEngine();
		await this.#server.listen();
	}

	#createEngine(): Engine {
		const incarnation = `${this.settings.id}-${Date.now()}-${this.#incarnationCount++}`;
		return new Engine(incarnation, this.settings, this.#options);
	}
}

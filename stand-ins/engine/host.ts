/** An engine's address: it stays while incarnations of the engine come and go. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Address} from '../../src/core/index.js';
import {Server} from '../common/server.js';
import {Engine, type Surroundings} from './engine.js';
import {ExecutionLog, type Executions} from './executions.js';
import {Faults, type Fault} from './faults.js';
import {addRoutes} from './routes.js';
import {type EngineSettings} from './settings.js';

export class EngineHost implements AsyncDisposable {
	readonly settings: EngineSettings;
	readonly faults = new Faults();
	readonly #log = new ExecutionLog();
	readonly #server: Server;
	readonly #surroundings: Surroundings;
	#incarnations = 0;
	#engine: Engine;
	#return: NodeJS.Timeout | undefined;
	#isUp = true;

	constructor(settings: EngineSettings, surroundings: Omit<Surroundings, 'log'>) {
		this.settings = settings;
		this.#surroundings = {...surroundings, log: this.#log};
		this.#server = new Server(settings.id, settings.listen);
		this.#engine = this.#create();
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

	/**
	 * Switches a fault on or off.
	 *
	 * @param fault - Fault wanted.
	 */
	async apply(fault: Fault): Promise<void> {
		this.faults.set(fault);
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
				this.#engine.freeze();

				break;
			}

			case 'heal': {
				this.#engine.thaw();

				break;
			}

			case 'lose-cache-events': {
				this.#engine.cacheEvents.lose(fault.share);

				break;
			}
		// No default
		}
	}

	/**
	 * Loses all connections and state.
	 *
	 * @param returnAfter - Real milliseconds until the next incarnation; none to stay away.
	 */
	async crash(returnAfter: number | undefined): Promise<void> {
		if (!this.#isUp) {
			return;
		}

		this.#isUp = false;
		this.#log.count('crashes');
		this.#engine[Symbol.dispose]();
		await this.#server.vanish();
		if (returnAfter !== undefined) {
			this.#return = setTimeout(() => {
				void this.#restart();
			}, returnAfter);
		}
	}

	/**
	 * Takes the time that moving KV cache between engines needs.
	 *
	 * @param tokens - Prompt tokens moved.
	 */
	async transfer(tokens: number): Promise<void> {
		await sleep(tokens / this.settings.transferRate * 1000 / this.#surroundings.timeScale);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		clearTimeout(this.#return);
		this.#engine[Symbol.dispose]();
		await this.#server[Symbol.asyncDispose]();
	}

	async #restart(): Promise<void> {
		clearTimeout(this.#return);
		if (this.#isUp) {
			return;
		}

		this.#isUp = true;
		this.#engine = this.#create();
		await this.#server.listen();
	}

	#create(): Engine {
		const incarnation = `${this.settings.id}-${Date.now()}-${this.#incarnations++}`;
		return new Engine(incarnation, this.settings, this.#surroundings);
	}
}

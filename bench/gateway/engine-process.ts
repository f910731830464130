/** Starts an engine in a process of its own, stops and continues it by signals, and collects its runs. */
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {assertNever} from '../../src/core/index.js';
import {type Ledger} from '../../stand-ins/gateway/ledger.js';
import {messageSchema, type Message, type Settings} from '../../stand-ins/gateway/messages.js';

const entry = 'dist/stand-ins/gateway/main.js';

type Registration = Readonly<Record<string, unknown>>;

export class EngineProcess implements AsyncDisposable {
	/**
	 * @param settings - Id, service and model of the engine.
	 * @param ledger - Gets its runs.
	 * @returns An engine that listens.
	 * @throws {Error} If its process ends before.
	 */
	static async start(settings: Settings, ledger: Ledger): Promise<EngineProcess> {
		const child = fork(entry, ['--settings', JSON.stringify(settings)], {stdio: ['ignore', 'ignore', 'inherit', 'ipc']});
		const started = new EngineProcess(settings.id, child, ledger);
		await started.#listening;
		return started;
	}

	readonly id: string;
	readonly #child: ChildProcess;
	readonly #ledger: Ledger;
	readonly #listening: Promise<void>;
	#registration: Registration = {};
	#isPaused = false;

	private constructor(id: string, child: ChildProcess, ledger: Ledger) {
		this.id = id;
		this.#child = child;
		this.#ledger = ledger;
		this.#listening = new Promise((resolve, reject) => {
			child.on('message', message => {
				const parsed = messageSchema.parse(message);
				this.#handleMessage(parsed);
				if (parsed.type === 'listening') {
					resolve();
				}
			});
			child.once('error', reject);
			child.once('exit', code => {
				reject(new Error(`the process of ${id} has ended with exit code ${code}`));
			});
		});
	}

	/** Its registration record for the store. */
	get registration(): Registration {
		return this.#registration;
	}

	/** Whether its process is stopped by a signal. */
	get isPaused(): boolean {
		return this.#isPaused;
	}

	/** Exit code of its process, or the signal that ended it; undefined while it runs. */
	get ending(): number | NodeJS.Signals | undefined {
		return this.#child.exitCode ?? this.#child.signalCode ?? undefined;
	}

	/**
	 * Stops its process by SIGSTOP and continues it by SIGCONT. Its connections stay open.
	 *
	 * @param duration - Milliseconds.
	 */
	async pause(duration: number): Promise<void> {
		this.#isPaused = true;
		this.#child.kill('SIGSTOP');
		await sleep(duration);
		this.#child.kill('SIGCONT');
		this.#isPaused = false;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		if (this.ending === undefined) {
			const ended = once(this.#child, 'exit');
			this.#child.kill('SIGKILL');
			await ended;
		}
	}

	#handleMessage(message: Message): void {
		switch (message.type) {
			case 'listening': {
				this.#registration = message.registration;
				return;
			}

			case 'run': {
				this.#ledger.add({...message.run, at: message.run.at - performance.timeOrigin});
				return;
			}

			default: {
				assertNever(message);
			}
		}
	}
}

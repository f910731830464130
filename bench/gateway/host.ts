/** A gateway process of a test. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {z} from 'zod';
import {type Address} from '../../src/core/index.js';

const lineSchema = z.record(z.string(), z.unknown());

/** Where the processes of a site listen. */
export const loopback = '127.0.0.1';

/** One gateway process. */
export class Host {
	readonly name: string;
	readonly caller: Address;
	readonly ready: Address;
	readonly peer: Address;
	readonly metrics: Address;
	readonly file: string;
	readonly lines: Array<Record<string, unknown>> = [];
	#process: ChildProcess | undefined;
	#rest = '';

	constructor(name: string, ports: readonly number[], file: string) {
		this.name = name;
		this.caller = {host: loopback, port: ports[0]!};
		this.ready = {host: loopback, port: ports[1]!};
		this.peer = {host: loopback, port: ports[2]!};
		this.metrics = {host: loopback, port: ports[3]!};
		this.file = file;
	}

	get process(): ChildProcess {
		return this.#process!;
	}

	/** Starts the process. */
	start(): void {
		this.#process = spawn(process.execPath, ['dist/platform/main.js'], {
			env: {...process.env, CRANBERRYTIDE_CONFIG: this.file}, stdio: ['ignore', 'pipe', 'inherit'],
		});
		this.#process.stdout!.on('data', chunk => {
			this.#read(String(chunk));
		});
	}

	/**
	 * @param event - Event of a log line.
	 * @param request - Request it is about.
	 * @returns The lines.
	 */
	logged(event: string, request?: string): ReadonlyArray<Record<string, unknown>> {
		return this.lines.filter(line => line.event === event && (request === undefined || line.request === request));
	}

	/** Ends the process at once. */
	async kill(): Promise<void> {
		if (this.process.exitCode === null && this.process.signalCode === null) {
			const ended = once(this.process, 'exit');
			this.process.kill('SIGKILL');
			await ended;
		}
	}

	#read(text: string): void {
		const parts = (this.#rest + text).split('\n');
		this.#rest = parts.pop() ?? '';
		for (const part of parts) {
			this.lines.push(lineSchema.parse(JSON.parse(part)));
		}
	}
}

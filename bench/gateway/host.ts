/** Starts and observes a gateway process of a test. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {z} from 'zod';
import {type Address} from '../../src/core/index.js';

const lineSchema = z.record(z.string(), z.unknown());

/** Address on which all processes of a site listen. */
export const loopback = '127.0.0.1';

/** Node.js that runs the processes; another release than that of the tests may be set. */
const nodePath = process.env.GATEWAY_NODE ?? process.execPath;

/** One gateway process and the log lines that it wrote. */
export class Host {
	readonly name: string;
	readonly caller: Address;
	readonly ready: Address;
	readonly peer: Address;
	readonly metrics: Address;
	readonly tunnel: Address;
	readonly admin: Address;
	/** Path of the settings file. */
	readonly settingsFile: string;
	readonly lines: Array<Record<string, unknown>> = [];
	readonly #nodeOptions: readonly string[];
	#process: ChildProcess | undefined;
	#partialLine = '';

	/**
	 * @param name - Name of the host.
	 * @param ports - Ports of its listeners.
	 * @param settingsFile - Path of its settings file.
	 * @param nodeOptions - Options of Node.js for its process.
	 */
	constructor(name: string, ports: readonly number[], settingsFile: string, nodeOptions: readonly string[] = []) {
		this.#nodeOptions = nodeOptions;
		this.name = name;
		this.caller = {host: loopback, port: ports[0]!};
		this.ready = {host: loopback, port: ports[1]!};
		this.peer = {host: loopback, port: ports[2]!};
		this.metrics = {host: loopback, port: ports[3]!};
		this.tunnel = {host: loopback, port: ports[4]!};
		this.admin = {host: loopback, port: ports[5]!};
		this.settingsFile = settingsFile;
	}

	get process(): ChildProcess {
		return this.#process!;
	}

	/** Starts the process. */
	start(): void {
		this.#process = spawn(nodePath, [...this.#nodeOptions, 'dist/platform/main.js'], {
			env: {...process.env, CRANBERRYTIDE_CONFIG: this.settingsFile}, stdio: ['ignore', 'pipe', 'inherit'],
		});
		this.#process.stdout!.on('data', chunk => {
			this.#parseLines(String(chunk));
		});
	}

	/**
	 * @param event - Event of the log lines.
	 * @param request - Id of the request that they are about; any if absent.
	 * @returns The log lines with this event so far.
	 */
	findLogLines(event: string, request?: string): ReadonlyArray<Record<string, unknown>> {
		return this.lines.filter(line => line.event === event && (request === undefined || line.request === request));
	}

	/** Kills the process and waits for its exit. */
	async kill(): Promise<void> {
		if (this.process.exitCode === null && this.process.signalCode === null) {
			const ended = once(this.process, 'exit');
			this.process.kill('SIGKILL');
			await ended;
		}
	}

	#parseLines(text: string): void {
		const parts = (this.#partialLine + text).split('\n');
		this.#partialLine = parts.pop() ?? '';
		for (const part of parts) {
			this.lines.push(lineSchema.parse(JSON.parse(part)));
		}
	}
}

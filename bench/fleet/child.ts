/** A child process of a fleet. Signals go to its process id only, never to a process group or a name. */
import {spawn, type ChildProcessWithoutNullStreams} from 'node:child_process';
import {once} from 'node:events';
import {existsSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {z} from 'zod';

const logLineSchema = z.record(z.string(), z.unknown());

/** A line of JSON on the standard output of a process. */
export type LogLine = Readonly<z.infer<typeof logLineSchema>>;

export type ChildOptions = {
	readonly name: string;
	/** Path of the compiled program below `dist/`. */
	readonly program: string;
	readonly settings: string;
	/** Path below `dist/` of a module that is loaded before the program. */
	readonly preload?: string;
	readonly environment?: Readonly<Record<string, string>>;
	/** Value of `event` in the line that the process prints once it is ready. */
	readonly readyEvent: string;
	/** Whether lines are also kept once the process is ready. */
	readonly keepsLog: boolean;
};

const maxLines = 100_000;
const startTimeoutMs = 20_000;
const stopTimeoutMs = 5000;

/** Finds the project's root, from the sources as well as from `dist/`. */
function findProjectRoot(): string {
	let directory = import.meta.dirname;
	while (!existsSync(path.join(directory, 'package.json'))) {
		directory = path.dirname(directory);
	}

	return directory;
}

const compiledDirectory = path.join(findProjectRoot(), 'dist');

function parseLine(text: string): LogLine | undefined {
	try {
		return logLineSchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
}

/** Child processes to kill when this process exits. */
const runningProcesses = new Set<ChildProcessWithoutNullStreams>();

process.once('exit', () => {
	for (const each of runningProcesses) {
		each.kill('SIGKILL');
	}
});

/** Exits on SIGTERM and SIGINT, so that the exit handler kills the child processes; the default handling of signals wouldn't run it. */
export function exitOnSignals(): void {
	for (const [signal, code] of [['SIGTERM', 143], ['SIGINT', 130]] as const) {
		process.once(signal, () => {
			process.exit(code);
		});
	}
}

export class Child implements AsyncDisposable {
	/**
	 * Starts a process and waits until it is ready.
	 *
	 * @throws Error if the process exits or doesn't become ready in time.
	 */
	static async start(options: ChildOptions): Promise<Child> {
		const child = new Child(options);
		try {
			await child.#waitUntilReady();
		} catch (error) {
			await child[Symbol.asyncDispose]();
			throw error;
		}

		return child;
	}

	readonly #options: ChildOptions;
	readonly #process: ChildProcessWithoutNullStreams;
	readonly #lines: LogLine[] = [];
	readonly #exit: Promise<unknown>;
	#errorOutput = '';
	#readyLine: LogLine | undefined;

	private constructor(options: ChildOptions) {
		this.#options = options;
		const preload = options.preload === undefined ? [] : ['--import', path.join(compiledDirectory, options.preload)];
		this.#process = spawn(
			process.execPath,
			['--no-deprecation', ...preload, path.join(compiledDirectory, options.program), '--settings', options.settings],
			{stdio: 'pipe', env: {...process.env, ...options.environment}},
		);
		runningProcesses.add(this.#process);
		this.#process.once('exit', () => {
			runningProcesses.delete(this.#process);
		});
		this.#exit = once(this.#process, 'exit');
		this.#process.stderr.on('data', chunk => {
			this.#errorOutput = (this.#errorOutput + String(chunk)).slice(-maxLines);
		});
		createInterface({input: this.#process.stdout}).on('line', text => {
			this.#handleLine(text);
		});
	}

	get name(): string {
		return this.#options.name;
	}

	/** Process id. */
	get id(): number {
		return this.#process.pid ?? 0;
	}

	get isAlive(): boolean {
		return this.#process.exitCode === null && this.#process.signalCode === null;
	}

	/** The line that the process printed when it became ready. */
	get readyLine(): LogLine {
		return this.#readyLine ?? {};
	}

	/** Lines since the start, oldest first; the oldest are dropped beyond a limit. */
	get lines(): readonly LogLine[] {
		return this.#lines;
	}

	/** The last part of the standard error output. */
	get errorOutput(): string {
		return this.#errorOutput;
	}

	/** Kills the process at once, as a crash would. */
	async kill(): Promise<void> {
		if (this.isAlive) {
			this.#process.kill('SIGKILL');
			await this.#exit;
		}
	}

	/** Suspends the process until {@link resume}. */
	pause(): void {
		this.#process.kill('SIGSTOP');
	}

	resume(): void {
		this.#process.kill('SIGCONT');
	}

	/**
	 * Asks the process to stop and waits until it exits.
	 *
	 * @returns Its exit code; absent if a signal ended it.
	 */
	async stop(): Promise<number | undefined> {
		if (this.isAlive) {
			this.#process.kill('SIGTERM');
			await this.#exit;
		}

		return this.#process.exitCode ?? undefined;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		const timer = setTimeout(() => {
			this.#process.kill('SIGKILL');
		}, stopTimeoutMs);
		this.resume();
		await this.stop();
		clearTimeout(timer);
	}

	/** Parses lines until the process is ready, and later lines only if they are kept. */
	#handleLine(text: string): void {
		if (this.#readyLine !== undefined && !this.#options.keepsLog) {
			return;
		}

		const line = parseLine(text);
		if (line === undefined) {
			return;
		}

		if (line.event === this.#options.readyEvent && this.#readyLine === undefined) {
			this.#readyLine = line;
			this.#process.emit('ready');
		}

		this.#lines.push(line);
		if (this.#lines.length > maxLines) {
			this.#lines.splice(0, maxLines / 2);
		}
	}

	async #waitUntilReady(): Promise<void> {
		const signal = AbortSignal.timeout(startTimeoutMs);
		await Promise.race([once(this.#process, 'ready', {signal}), this.#exit]);
		if (this.#readyLine === undefined) {
			throw new Error(`${this.name} did not start: ${this.#errorOutput}${JSON.stringify(this.#lines.at(-1) ?? {})}`);
		}
	}
}

/** One process of a fleet, addressed only by its own process id. */
import {spawn, type ChildProcessWithoutNullStreams} from 'node:child_process';
import {once} from 'node:events';
import {existsSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {z} from 'zod';

const lineSchema = z.record(z.string(), z.unknown());

/** A line of JSON that a process prints. */
export type Line = Readonly<z.infer<typeof lineSchema>>;

export type Launch = {
	readonly name: string;
	/** Compiled program below `dist/`. */
	readonly program: string;
	readonly settings: string;
	/** Module loaded before the program, below `dist/`. */
	readonly preload?: string;
	readonly environment?: Readonly<Record<string, string>>;
	/** The value of `event` in the line that says that it is up. */
	readonly readyEvent: string;
	readonly keepsLog: boolean;
};

const mostLines = 100_000;
const startTimeout = 20_000;
const stopTimeout = 5000;

/** The project's root, from sources as well as from compiled files. */
function findRoot(): string {
	let directory = import.meta.dirname;
	while (!existsSync(path.join(directory, 'package.json'))) {
		directory = path.dirname(directory);
	}

	return directory;
}

const compiled = path.join(findRoot(), 'dist');

function parseLine(text: string): Line | undefined {
	try {
		return lineSchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
}

/** Processes that run, to be ended with this one. */
const running = new Set<ChildProcessWithoutNullStreams>();

process.once('exit', () => {
	for (const each of running) {
		each.kill('SIGKILL');
	}
});

/** Lets SIGTERM and SIGINT end this process in a way that ends its children too. */
export function endWithChildren(): void {
	for (const [signal, code] of [['SIGTERM', 143], ['SIGINT', 130]] as const) {
		process.once(signal, () => {
			process.exit(code);
		});
	}
}

export class Child implements AsyncDisposable {
	/**
	 * Starts a process and waits until it says that it is up.
	 *
	 * @param launch - What to start.
	 * @returns The process.
	 */
	static async start(launch: Launch): Promise<Child> {
		const child = new Child(launch);
		try {
			await child.#awaitReady();
		} catch (error) {
			await child[Symbol.asyncDispose]();
			throw error;
		}

		return child;
	}

	readonly #launch: Launch;
	readonly #process: ChildProcessWithoutNullStreams;
	readonly #lines: Line[] = [];
	readonly #exit: Promise<unknown>;
	#errors = '';
	#ready: Line | undefined;

	private constructor(launch: Launch) {
		this.#launch = launch;
		const preload = launch.preload === undefined ? [] : ['--import', path.join(compiled, launch.preload)];
		this.#process = spawn(
			process.execPath,
			['--no-deprecation', ...preload, path.join(compiled, launch.program), '--settings', launch.settings],
			{stdio: 'pipe', env: {...process.env, ...launch.environment}},
		);
		running.add(this.#process);
		this.#process.once('exit', () => {
			running.delete(this.#process);
		});
		this.#exit = once(this.#process, 'exit');
		this.#process.stderr.on('data', chunk => {
			this.#errors = (this.#errors + String(chunk)).slice(-mostLines);
		});
		createInterface({input: this.#process.stdout}).on('line', text => {
			this.#take(text);
		});
	}

	get name(): string {
		return this.#launch.name;
	}

	/** Process id. */
	get id(): number {
		return this.#process.pid ?? 0;
	}

	get isAlive(): boolean {
		return this.#process.exitCode === null && this.#process.signalCode === null;
	}

	/** The line that said it was up. */
	get ready(): Line {
		return this.#ready ?? {};
	}

	/** Lines kept since the start, oldest first; the first ones are lost beyond a bound. */
	get lines(): readonly Line[] {
		return this.#lines;
	}

	/** The end of what it wrote to its standard error. */
	get errors(): string {
		return this.#errors;
	}

	/** Ends it at once, as a crash does. */
	async kill(): Promise<void> {
		if (this.isAlive) {
			this.#process.kill('SIGKILL');
			await this.#exit;
		}
	}

	/** Stops its clock until {@link resume}. */
	pause(): void {
		this.#process.kill('SIGSTOP');
	}

	resume(): void {
		this.#process.kill('SIGCONT');
	}

	/** Asks it to stop, and waits until it has. */
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
		}, stopTimeout);
		this.resume();
		await this.stop();
		clearTimeout(timer);
	}

	/** Lines are parsed until the process is up, and after that only where they are kept. */
	#take(text: string): void {
		if (this.#ready !== undefined && !this.#launch.keepsLog) {
			return;
		}

		const line = parseLine(text);
		if (line === undefined) {
			return;
		}

		if (line.event === this.#launch.readyEvent && this.#ready === undefined) {
			this.#ready = line;
			this.#process.emit('ready');
		}

		this.#lines.push(line);
		if (this.#lines.length > mostLines) {
			this.#lines.splice(0, mostLines / 2);
		}
	}

	async #awaitReady(): Promise<void> {
		const signal = AbortSignal.timeout(startTimeout);
		await Promise.race([once(this.#process, 'ready', {signal}), this.#exit]);
		if (this.#ready === undefined) {
			throw new Error(`${this.name} did not start: ${this.#errors}${JSON.stringify(this.#lines.at(-1) ?? {})}`);
		}
	}
}

/**
 * Command line of a stand-in: reads settings from a file, standard input or the argument itself, prints one JSON line when
 * ready, and stops on SIGTERM or SIGINT.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {text as readAll} from 'node:stream/consumers';
import {Command} from 'commander';
import {type z} from 'zod';

/** A running stand-in. */
export type RunningProgram = AsyncDisposable & {
	/** Addresses printed in the ready line. */
	readonly addresses: Readonly<Record<string, unknown>>;
};

/** Command line and start function of a stand-in. */
export type Program<Schema extends z.ZodType> = {
	readonly name: string;
	readonly description: string;
	readonly settings: Schema;
	readonly start: (settings: z.infer<Schema>) => Promise<RunningProgram>;
};

async function readSettings(source: string): Promise<unknown> {
	if (source.trimStart().startsWith('{')) {
		return JSON.parse(source) as unknown;
	}

	const text = source === '-' ? await readAll(process.stdin) : await readFile(source, 'utf8');
	return JSON.parse(text) as unknown;
}

async function startProgram<Schema extends z.ZodType>(program: Program<Schema>, source: string): Promise<void> {
	const settings = program.settings.parse(await readSettings(source));
	const running = await program.start(settings);
	process.stdout.write(`${JSON.stringify({event: 'ready', ...running.addresses})}\n`);
	const stop = async (): Promise<void> => {
		await running[Symbol.asyncDispose]();
		process.exitCode = 0;
	};

	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.once(signal, () => {
			void stop();
		});
	}
}

/** Parses the command line and starts the stand-in; prints an error and sets exit code 1 on failure. */
export async function main<Schema extends z.ZodType>(program: Program<Schema>): Promise<void> {
	const command = new Command(program.name)
		.description(program.description)
		.requiredOption('--settings <source>', 'file, "-" for standard input, or the JSON itself')
		.action(async ({settings}: {readonly settings: string}) => startProgram(program, settings));
	try {
		await command.parseAsync();
	} catch (error) {
		process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
		process.exitCode = 1;
	}
}

/** What an engine ran, for tests to count; it outlives the engine's crashes. */
import {z} from 'zod';

export const executionSchema = z.object({
	attempt: z.string(),
	/** Digest of the body, and of the rendered prompt. */
	body: z.string(),
	prompt: z.string(),
	idempotencyKey: z.string().optional(),
	ticket: z.string().optional(),
	incarnation: z.string(),
});

export const countersSchema = z.object({
	/** Taken into the queue, and begun. */
	accepted: z.number(),
	started: z.number(),
	finished: z.number(),
	cancelled: z.number(),
	refused: z.number(),
	crashes: z.number(),
	/** Prompt tokens of begun requests, and those found in the prefix cache. */
	promptTokens: z.number(),
	cachedTokens: z.number(),
});

export const executionsSchema = z.object({
	engine: z.string(),
	incarnation: z.string(),
	counters: countersSchema,
	executions: z.array(executionSchema),
});

export type Execution = z.infer<typeof executionSchema>;
export type Counters = z.infer<typeof countersSchema>;
export type CounterName = keyof Counters;
export type Executions = z.infer<typeof executionsSchema>;

const mostKept = 200_000;

export class ExecutionLog {
	readonly #executions: Execution[] = [];
	readonly #counters: Counters = {
		accepted: 0, started: 0, finished: 0, cancelled: 0, refused: 0, crashes: 0, promptTokens: 0, cachedTokens: 0,
	};

	get executions(): readonly Execution[] {
		return this.#executions;
	}

	get counters(): Readonly<Counters> {
		return this.#counters;
	}

	/**
	 * @param name - Counter.
	 * @param value - Amount to add.
	 */
	count(name: CounterName, value = 1): void {
		this.#counters[name] += value;
	}

	/**
	 * @param execution - A request that was begun.
	 */
	add(execution: Execution): void {
		this.count('started');
		if (this.#executions.length < mostKept) {
			this.#executions.push(execution);
		}
	}
}

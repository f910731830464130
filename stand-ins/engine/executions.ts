/** Record of the requests that an engine ran, for assertions in tests. It survives crashes of the engine. */
import {z} from 'zod';

export const executionSchema = z.object({
	attempt: z.string(),
	/** Digest of the request body. */
	body: z.string(),
	/** Digest of the rendered prompt. */
	prompt: z.string(),
	idempotencyKey: z.string().optional(),
	ticket: z.string().optional(),
	incarnation: z.string(),
});

export const countersSchema = z.object({
	/** Requests added to the queue. */
	accepted: z.number(),
	/** Requests that entered the batch. */
	started: z.number(),
	finished: z.number(),
	cancelled: z.number(),
	refused: z.number(),
	crashes: z.number(),
	/** Prompt tokens of started requests. */
	promptTokens: z.number(),
	/** Prompt tokens of started requests that were in the prefix cache. */
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

const maxExecutions = 200_000;

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

	/** Adds to a counter. */
	count(name: CounterName, value = 1): void {
		this.#counters[name] += value;
	}

	/** Records a started request; beyond a maximum number of records it is only counted. */
	add(execution: Execution): void {
		this.count('started');
		if (this.#executions.length < maxExecutions) {
			this.#executions.push(execution);
		}
	}
}

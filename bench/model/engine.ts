/** Models an engine in virtual time: continuous batching by priority, with chunked prefill. */

export type ModelEngineOptions = {
	/** Prompt tokens per second. */
	readonly prefillRate: number;
	/** Milliseconds between tokens for a batch of one job. */
	readonly decodeInterval: number;
	/** Fraction by which each further job in the batch lengthens that interval. */
	readonly batchSlowdown: number;
	/** Limit of jobs in the batch. */
	readonly batch: number;
	/** Limit of prompt tokens prefilled in one iteration. */
	readonly chunk: number;
	/** KV memory in tokens. */
	readonly memory: number;
	/** Number of prefixes that stay cached. */
	readonly prefixes: number;
};

export type Job = {
	readonly attempt: string;
	readonly host: number;
	readonly priority: number;
	readonly promptTokens: number;
	readonly prefix: string;
	/** Tokens of the prompt that other prompts with the same prefix share. */
	readonly prefixTokens: number;
	/** Tokens of the answer. */
	readonly output: number;
};

/** Progress of one job in an iteration that produced a token. */
export type JobProgress = {
	readonly job: Job;
	readonly cached: number;
	readonly produced: number;
	readonly isFinished: boolean;
};

type Entry = {
	readonly job: Job;
	readonly order: number;
	cached: number;
	/** Prompt tokens that remain to be prefilled. */
	left: number;
	produced: number;
};

export class ModelEngine {
	isBusy = false;
	/** Total prefill time in milliseconds. */
	prefillTime = 0;
	readonly #options: ModelEngineOptions;
	readonly #waiting: Entry[] = [];
	#running: Entry[] = [];
	/** Cached tokens by prefix, least recently used first. */
	readonly #prefixes = new Map<string, number>();
	/** Prompt tokens that each job prefills in the current iteration. */
	#prefillShares = new Map<Entry, number>();
	#order = 0;

	constructor(options: ModelEngineOptions) {
		this.#options = options;
	}

	get running(): number {
		return this.#running.length;
	}

	get waiting(): number {
		return this.#waiting.length;
	}

	get queuedPrefill(): number {
		let sum = 0;
		for (const each of [...this.#running, ...this.#waiting]) {
			sum += each.left;
		}

		return sum;
	}

	get usedMemory(): number {
		let sum = 0;
		for (const {job} of this.#running) {
			sum += job.promptTokens + job.output;
		}

		return sum;
	}

	add(job: Job): void {
		this.#waiting.push({
			job, order: this.#order++, cached: 0, left: job.promptTokens, produced: 0,
		});
		this.#waiting.sort((a, b) => a.job.priority - b.job.priority || a.order - b.order);
	}

	remove(attempt: string): void {
		this.#running = this.#running.filter(each => each.job.attempt !== attempt);
		const index = this.#waiting.findIndex(each => each.job.attempt === attempt);
		if (index !== -1) {
			this.#waiting.splice(index, 1);
		}
	}

	/** Starts an iteration; returns its duration in milliseconds, or undefined if there is no job. */
	startIteration(): number | undefined {
		this.#admit();
		this.isBusy = this.#running.length > 0;
		if (!this.isBusy) {
			return undefined;
		}

		const {chunk, prefillRate, decodeInterval, batchSlowdown} = this.#options;
		let budget = chunk;
		let decoding = 0;
		this.#prefillShares = new Map();
		for (const entry of this.#running) {
			const share = Math.min(entry.left, budget);
			budget -= share;
			decoding += entry.left === 0 ? 1 : 0;
			this.#prefillShares.set(entry, share);
		}

		const decode = decoding === 0 ? 0 : decodeInterval * (1 + (batchSlowdown * (decoding - 1)));
		const prefill = (chunk - budget) * 1000 / prefillRate;
		this.prefillTime += prefill;
		return prefill + decode;
	}

	/** Ends an iteration; returns the jobs that produced a token. */
	finishIteration(): readonly JobProgress[] {
		const progress: JobProgress[] = [];
		for (const entry of this.#running) {
			const share = this.#prefillShares.get(entry);
			if (share === undefined) {
				continue;
			}

			entry.left -= share;
			if (entry.left > 0) {
				continue;
			}

			if (share > 0) {
				this.#cachePrefix(entry.job);
			}

			entry.produced++;
			const isFinished = entry.produced >= entry.job.output;
			progress.push({
				job: entry.job, cached: entry.cached, produced: entry.produced, isFinished,
			});
		}

		this.#running = this.#running.filter(each => each.produced < each.job.output);
		return progress;
	}

	#admit(): void {
		for (let next = this.#waiting[0]; next !== undefined; next = this.#waiting[0]) {
			const needed = next.job.promptTokens + next.job.output;
			if (this.#running.length >= this.#options.batch || this.usedMemory + needed > this.#options.memory) {
				return;
			}

			this.#waiting.shift();
			next.cached = Math.min(this.#prefixes.get(next.job.prefix) ?? 0, next.job.prefixTokens);
			next.left = Math.max(next.left - next.cached, 1);
			this.#running.push(next);
			this.#running.sort((a, b) => a.job.priority - b.job.priority || a.order - b.order);
		}
	}

	#cachePrefix({prefix, prefixTokens}: Job): void {
		const cachedTokens = Math.max(this.#prefixes.get(prefix) ?? 0, prefixTokens);
		this.#prefixes.delete(prefix);
		this.#prefixes.set(prefix, cachedTokens);
		if (this.#prefixes.size > this.#options.prefixes) {
			const [oldest] = this.#prefixes.keys();
			this.#prefixes.delete(oldest!);
		}
	}
}

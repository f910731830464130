/** A model engine in virtual time: continuous batching with a chunk of prefill in each iteration, by priority. */

export type EngineSpeed = {
	/** Prompt tokens a second. */
	readonly prefillRate: number;
	/** Milliseconds between tokens of a batch of one, and the part by which each further request lengthens it. */
	readonly decodeInterval: number;
	readonly batchSlowdown: number;
	readonly batch: number;
	readonly chunk: number;
	/** Tokens of KV memory. */
	readonly memory: number;
	/** Prefixes that stay cached. */
	readonly prefixes: number;
};

export type Job = {
	readonly attempt: string;
	readonly host: number;
	readonly priority: number;
	readonly promptTokens: number;
	readonly prefix: string;
	/** Tokens of the prompt that other prompts may share. */
	readonly prefixTokens: number;
	readonly output: number;
};

/** What an iteration brought for one job. */
export type Advance = {
	readonly job: Job;
	readonly cached: number;
	readonly produced: number;
	readonly isOver: boolean;
};

type Entry = {
	readonly job: Job;
	readonly order: number;
	cached: number;
	left: number;
	produced: number;
};

export class ModelEngine {
	isBusy = false;
	/** Prefill time spent, in milliseconds. */
	worked = 0;
	readonly #speed: EngineSpeed;
	readonly #waiting: Entry[] = [];
	#running: Entry[] = [];
	/** Cached tokens of each prefix, the oldest use first. */
	readonly #prefixes = new Map<string, number>();
	#shares = new Map<Entry, number>();
	#order = 0;

	constructor(speed: EngineSpeed) {
		this.#speed = speed;
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
		const place = this.#waiting.findIndex(each => each.job.attempt === attempt);
		if (place !== -1) {
			this.#waiting.splice(place, 1);
		}
	}

	/** Starts an iteration; returns how long it takes in milliseconds, or undefined if there is nothing to do. */
	begin(): number | undefined {
		this.#admit();
		this.isBusy = this.#running.length > 0;
		if (!this.isBusy) {
			return undefined;
		}

		const {chunk, prefillRate, decodeInterval, batchSlowdown} = this.#speed;
		let budget = chunk;
		let decoding = 0;
		this.#shares = new Map();
		for (const entry of this.#running) {
			const share = Math.min(entry.left, budget);
			budget -= share;
			decoding += entry.left === 0 ? 1 : 0;
			this.#shares.set(entry, share);
		}

		const decode = decoding === 0 ? 0 : decodeInterval * (1 + (batchSlowdown * (decoding - 1)));
		const prefill = (chunk - budget) * 1000 / prefillRate;
		this.worked += prefill;
		return prefill + decode;
	}

	/** Ends an iteration. */
	finish(): readonly Advance[] {
		const advances: Advance[] = [];
		for (const entry of this.#running) {
			const share = this.#shares.get(entry);
			if (share === undefined) {
				continue;
			}

			entry.left -= share;
			if (entry.left > 0) {
				continue;
			}

			if (share > 0) {
				this.#store(entry.job);
			}

			entry.produced++;
			const isOver = entry.produced >= entry.job.output;
			advances.push({
				job: entry.job, cached: entry.cached, produced: entry.produced, isOver,
			});
		}

		this.#running = this.#running.filter(each => each.produced < each.job.output);
		return advances;
	}

	#admit(): void {
		for (let next = this.#waiting[0]; next !== undefined; next = this.#waiting[0]) {
			const needed = next.job.promptTokens + next.job.output;
			if (this.#running.length >= this.#speed.batch || this.usedMemory + needed > this.#speed.memory) {
				return;
			}

			this.#waiting.shift();
			next.cached = Math.min(this.#prefixes.get(next.job.prefix) ?? 0, next.job.prefixTokens);
			next.left = Math.max(next.left - next.cached, 1);
			this.#running.push(next);
			this.#running.sort((a, b) => a.job.priority - b.job.priority || a.order - b.order);
		}
	}

	#store({prefix, prefixTokens}: Job): void {
		const held = Math.max(this.#prefixes.get(prefix) ?? 0, prefixTokens);
		this.#prefixes.delete(prefix);
		this.#prefixes.set(prefix, held);
		if (this.#prefixes.size > this.#speed.prefixes) {
			const [oldest] = this.#prefixes.keys();
			this.#prefixes.delete(oldest!);
		}
	}
}

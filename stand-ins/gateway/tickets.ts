/** Expiring reservations of an engine's KV memory, for prompts that are split over several engines. */
type Ticket = {
	readonly tokens: number;
	timer: NodeJS.Timeout;
};

export class Tickets implements Disposable {
	readonly #all = new Map<string, Ticket>();

	/** Names of the tickets that currently hold memory. */
	get names(): readonly string[] {
		return [...this.#all.keys()];
	}

	/** Total tokens held. */
	get tokens(): number {
		let sum = 0;
		for (const {tokens} of this.#all.values()) {
			sum += tokens;
		}

		return sum;
	}

	/**
	 * Reserves memory, or extends an existing reservation.
	 *
	 * @param tokens - Memory.
	 * @param duration - Milliseconds until it expires.
	 * @param free - Tokens that are neither used nor reserved; not checked for an existing reservation.
	 * @returns Whether the memory is reserved.
	 */
	reserve(name: string, tokens: number, duration: number, free: number): boolean {
		const existing = this.#all.get(name);
		if (existing === undefined && tokens > free) {
			return false;
		}

		clearTimeout(existing?.timer);
		const timer = setTimeout(() => {
			this.#all.delete(name);
		}, duration);
		this.#all.set(name, {tokens, timer});
		return true;
	}

	/**
	 * Removes a reservation.
	 *
	 * @returns Whether it existed.
	 */
	release(name: string): boolean {
		clearTimeout(this.#all.get(name)?.timer);
		return this.#all.delete(name);
	}

	[Symbol.dispose](): void {
		for (const {timer} of this.#all.values()) {
			clearTimeout(timer);
		}
	}
}

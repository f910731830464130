/** Memory that an engine keeps for prompts which several engines read, each part for a while. */
type Ticket = {
	readonly tokens: number;
	timer: NodeJS.Timeout;
};

export class Tickets implements Disposable {
	readonly #all = new Map<string, Ticket>();

	/** Names of the tickets that hold memory now. */
	get names(): readonly string[] {
		return [...this.#all.keys()];
	}

	/** Tokens held. */
	get tokens(): number {
		let sum = 0;
		for (const {tokens} of this.#all.values()) {
			sum += tokens;
		}

		return sum;
	}

	/**
	 * Holds memory, or holds what is held already for longer.
	 *
	 * @param name - Ticket.
	 * @param tokens - Memory.
	 * @param time - Milliseconds.
	 * @param free - Tokens that are not spoken for.
	 * @returns Whether it is held.
	 */
	reserve(name: string, tokens: number, time: number, free: number): boolean {
		const known = this.#all.get(name);
		if (known === undefined && tokens > free) {
			return false;
		}

		clearTimeout(known?.timer);
		const timer = setTimeout(() => {
			this.#all.delete(name);
		}, time);
		this.#all.set(name, {tokens, timer});
		return true;
	}

	/**
	 * @param name - Ticket.
	 * @returns Whether it was held.
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

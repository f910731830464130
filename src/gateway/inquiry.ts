/** Asks the relay for news of load just before a decision, so that none have to come while nothing is decided. */
import {type LoadTold} from './peers/messages.js';

/** Milliseconds that a decision waits for the relay: several times what a question takes within a failure domain. */
const patience = 10;

type Question = {
	readonly id: number;
	readonly relay: string;
	/** Settles with the answer, or when the wait is over. */
	readonly over: Promise<void>;
	readonly settle: () => void;
};

export class Inquiry {
	readonly #send: (relay: string, ask: number) => void;
	#count = 0;
	#question: Question | undefined;
	/** Relay that has not answered in time, until it answers. */
	#slow: string | undefined;

	/**
	 * @param send - Sends a question to a relay.
	 */
	constructor(send: (relay: string, ask: number) => void) {
		this.#send = send;
	}

	/**
	 * Waits until the relay has told all that it knew when it was asked. Requests that come together ask once, and none waits for a relay
	 * that left the last question unanswered.
	 *
	 * @param relay - Relay of this failure domain.
	 */
	async ask(relay: string): Promise<void> {
		const question = this.#question?.relay === relay ? this.#question : this.#begin(relay);
		if (this.#slow !== relay) {
			await question.over;
		}
	}

	/**
	 * @param from - Relay that answers.
	 * @param told - Its answer.
	 */
	answered(from: string, {ask}: LoadTold): void {
		if (this.#slow === from) {
			this.#slow = undefined;
		}

		if (this.#question?.id === ask) {
			this.#question.settle();
		}
	}

	#begin(relay: string): Question {
		this.#count++;
		const id = this.#count;
		const question = {id, relay, ...this.#wait(id, relay)};
		this.#question = question;
		this.#send(relay, id);
		return question;
	}

	#wait(id: number, relay: string): Pick<Question, 'over' | 'settle'> {
		const waiting = new AbortController();
		const {signal} = waiting;
		const over = new Promise<void>(resolve => {
			const timer = setTimeout(() => {
				this.#slow = relay;
				waiting.abort();
			}, patience);
			signal.addEventListener('abort', () => {
				clearTimeout(timer);
				this.#forget(id);
				resolve();
			});
		});
		return {
			over,
			settle() {
				waiting.abort();
			},
		};
	}

	#forget(id: number): void {
		if (this.#question?.id === id) {
			this.#question = undefined;
		}
	}
}

/** Gathers news of load that are told together. */
import {type Absence} from '../core/gateway/absences.js';
import {type Job} from '../core/gateway/load.js';

export type Changes = {
	readonly began: readonly Job[];
	readonly progressed: readonly string[];
	readonly ended: readonly string[];
	/** Upstreams that were found not to be there. */
	readonly absences: readonly Absence[];
};

export class Bundle {
	readonly #delay: number;
	readonly #send: (changes: Changes) => void;
	#began: Job[] = [];
	#progressed: string[] = [];
	#ended: string[] = [];
	#absences: Absence[] = [];
	#timer: NodeJS.Timeout | undefined;

	/**
	 * @param delay - Milliseconds from the first change to the sending.
	 * @param send - Takes what was gathered.
	 */
	constructor(delay: number, send: (changes: Changes) => void) {
		this.#delay = delay;
		this.#send = send;
	}

	/**
	 * @param changes - What has happened.
	 */
	add({began = [], progressed = [], ended = [], absences = []}: Partial<Changes>): void {
		this.#began.push(...began);
		this.#progressed.push(...progressed);
		this.#ended.push(...ended);
		this.#absences.push(...absences);
		this.#timer ??= setTimeout(() => {
			this.flush();
		}, this.#delay);
	}

	/** Sends what there is. */
	flush(): void {
		if (this.#timer === undefined) {
			return;
		}

		clearTimeout(this.#timer);
		this.#timer = undefined;
		const changes = {
			began: this.#began, progressed: this.#progressed, ended: this.#ended, absences: this.#absences,
		};
		this.#began = [];
		this.#progressed = [];
		this.#ended = [];
		this.#absences = [];
		this.#send(changes);
	}
}

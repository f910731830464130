/** Collects changes of load that are sent in one message. */
import {type Absence} from '../../core/gateway/health/absences.js';
import {type Job} from '../../core/gateway/engines/load.js';
import {type MemoryClaim} from '../../core/gateway/engines/memory-admission.js';
import {type PaceReport} from '../../core/gateway/engines/paces.js';
import {type UpstreamReport} from '../../core/gateway/limits/upstream-reports.js';

export type LoadChanges = {
	readonly began: readonly Job[];
	readonly progressed: readonly string[];
	readonly ended: readonly string[];
	/** Upstreams found unreachable or replaced. */
	readonly absences: readonly Absence[];
	/** What upstreams reported about themselves. */
	readonly reports: readonly UpstreamReport[];
	/** Paces of engines that hosts have learned. */
	readonly paces: readonly PaceReport[];
	/** Memory that hosts keep for waiting requests. */
	readonly claims: readonly MemoryClaim[];
};

export class LoadBatch {
	readonly #delay: number;
	readonly #send: (changes: LoadChanges) => void;
	#began: Job[] = [];
	#progressed: string[] = [];
	#ended: string[] = [];
	#absences: Absence[] = [];
	#reports: UpstreamReport[] = [];
	#paces: PaceReport[] = [];
	#claims: MemoryClaim[] = [];
	#timer: NodeJS.Timeout | undefined;

	/**
	 * @param delay - Milliseconds from the first change until the batch is sent.
	 * @param send - Sends a batch.
	 */
	constructor(delay: number, send: (changes: LoadChanges) => void) {
		this.#delay = delay;
		this.#send = send;
	}

	/** Changes that wait to be sent; undefined if there are none. */
	get pending(): LoadChanges | undefined {
		return this.#timer === undefined
			? undefined
			: {
				began: this.#began, progressed: this.#progressed, ended: this.#ended, absences: this.#absences, reports: this.#reports, paces: this.#paces, claims: this.#claims,
			};
	}

	add({began = [], progressed = [], ended = [], absences = [], reports = [], paces = [], claims = []}: Partial<LoadChanges>): void {
		this.#began.push(...began);
		this.#progressed.push(...progressed);
		this.#ended.push(...ended);
		this.#absences.push(...absences);
		this.#reports.push(...reports);
		this.#paces.push(...paces);
		this.#claims.push(...claims);
		this.#timer ??= setTimeout(() => {
			this.flush();
		}, this.#delay);
	}

	/** Sends the batch at once, unless it is empty. */
	flush(): void {
		const changes = this.pending;
		if (changes === undefined) {
			return;
		}

		clearTimeout(this.#timer);
		this.#timer = undefined;
		this.#began = [];
		this.#progressed = [];
		this.#ended = [];
		this.#absences = [];
		this.#reports = [];
		this.#paces = [];
		this.#claims = [];
		this.#send(changes);
	}
}

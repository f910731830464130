/** Collects changes of load that are sent in one message. */
import {type Absence, type UpstreamReturn} from '../../core/gateway/health/absences.js';
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
	/** Upstreams that answer again after hosts have reported them as silent. */
	readonly returns: readonly UpstreamReturn[];
	/** What upstreams reported about themselves. */
	readonly reports: readonly UpstreamReport[];
	/** Paces of engines that hosts have learned. */
	readonly paces: readonly PaceReport[];
	/** Memory that hosts keep for waiting requests. */
	readonly claims: readonly MemoryClaim[];
	/** Jobs among those that began which this host didn't know before. */
	readonly fresh: readonly Job[];
	/** Jobs that have progressed or ended, as far as this host knew them. */
	readonly changed: readonly Job[];
};

export class LoadBatch {
	readonly #delay: number;
	readonly #send: (changes: LoadChanges) => void;
	#changes = createChanges();
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
		return this.#timer === undefined ? undefined : this.#changes;
	}

	add({began = [], progressed = [], ended = [], absences = [], returns = [], reports = [], paces = [], claims = [], fresh = [], changed = []}: Partial<LoadChanges>): void {
		this.#changes.began.push(...began);
		this.#changes.progressed.push(...progressed);
		this.#changes.ended.push(...ended);
		this.#changes.absences.push(...absences);
		this.#changes.returns.push(...returns);
		this.#changes.reports.push(...reports);
		this.#changes.paces.push(...paces);
		this.#changes.claims.push(...claims);
		this.#changes.fresh.push(...fresh);
		this.#changes.changed.push(...changed);
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
		this.#changes = createChanges();
		this.#send(changes);
	}
}

type GrowingChanges = {-readonly [Key in keyof LoadChanges]: Array<LoadChanges[Key][number]>};

function createChanges(): GrowingChanges {
	return {
		began: [], progressed: [], ended: [], absences: [], returns: [], reports: [], paces: [], claims: [], fresh: [], changed: [],
	};
}

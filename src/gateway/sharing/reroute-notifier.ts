/** Notifies own jobs of other jobs that may make it worthwhile to reroute them. */
import {findDisruptedStreams} from '../../core/gateway/engines/losses.js';
import {type Job, type Load} from '../../core/gateway/engines/load.js';
import {disruptivePrefillMs, hasToYield} from '../../core/gateway/placement/rerouting.js';
import {type EngineModel} from '../../core/gateway/types.js';

/** Notified of changes that may make it worthwhile to reroute a job. */
export type RerouteListener = {
	/** Another host's job started earlier at one of the job's engines. */
	readonly preceded: () => void;
	/** The prefill of a long prompt will interrupt the job's decode: the loss of staying, in requests of usual weight. */
	readonly disrupted: (loss: number) => void;
};

export type RerouteNotifierOptions = {
	readonly load: Load;
	readonly now: () => number;
	/** Timing model of an engine, if known. */
	readonly modelAt: (upstream: string) => EngineModel | undefined;
};

export class RerouteNotifier {
	readonly #options: RerouteNotifierOptions;
	/** Listeners of own jobs that could be rerouted, by job. */
	readonly #listeners = new Map<string, RerouteListener>();

	constructor(options: RerouteNotifierOptions) {
		this.#options = options;
	}

	/**
	 * @param id - Own job that could be rerouted.
	 * @param listener - Notified until the job ends.
	 */
	watch(id: string, listener: RerouteListener): void {
		this.#listeners.set(id, listener);
	}

	/**
	 * @param id - Own job that has ended.
	 */
	forget(id: string): void {
		this.#listeners.delete(id);
	}

	/**
	 * Notifies own streams if the prefill of a new job will interrupt their decode for too long.
	 *
	 * @param job - New job of any host, which is part of the load already.
	 */
	notifyDisrupted(job: Job): void {
		if (job.readPerPass < disruptivePrefillMs || this.#listeners.size === 0) {
			return;
		}

		const {load, now, modelAt} = this.#options;
		for (const upstream of [job.upstream, ...job.helpers]) {
			const model = modelAt(upstream);
			for (const {job: stream, loss} of model === undefined ? [] : findDisruptedStreams(load.forecast(upstream, model, now()))) {
				this.#listeners.get(stream.id)?.disrupted(loss);
			}
		}
	}

	/**
	 * Notifies own jobs that started after another host's job at the same engine.
	 *
	 * @param other - New job of another host.
	 */
	notifyPreceded(other: Job): void {
		const {load, now} = this.#options;
		for (const [id, {preceded}] of this.#listeners) {
			const own = load.get(id);
			if (own !== undefined && hasToYield(own, other, now())) {
				preceded();
			}
		}
	}
}

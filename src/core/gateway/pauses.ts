/** Upstreams that refused a request of this host and stated for how long they want no more from it. Peers are not concerned. */
import {type UpstreamProcess} from './types.js';

type Pause = UpstreamProcess & {
	/** Monotonic time in milliseconds. */
	readonly until: number;
};

export class Pauses {
	readonly #pauses = new Map<string, Pause>();

	/**
	 * @param process - Process that refused a request.
	 * @param until - When its pause ends. A longer pause of the same process that was stated before still holds.
	 * @param now - Time.
	 */
	record({upstream, started}: UpstreamProcess, until: number, now: number): void {
		for (const [id, pause] of this.#pauses) {
			if (pause.until <= now) {
				this.#pauses.delete(id);
			}
		}

		const known = this.#pauses.get(upstream);
		const knownUntil = known?.started === started ? known?.until ?? 0 : 0;
		this.#pauses.set(upstream, {upstream, started, until: Math.max(until, knownUntil)});
	}

	/**
	 * @param process - Process of an upstream.
	 * @param now - Time.
	 * @returns Milliseconds until it accepts requests of this host again; 0 if it does now.
	 */
	computeWait({upstream, started}: UpstreamProcess, now: number): number {
		const pause = this.#pauses.get(upstream);
		return pause?.started === started ? Math.max((pause?.until ?? 0) - now, 0) : 0;
	}

	/**
	 * @param now - Time.
	 * @returns Processes that accept no request of this host now.
	 */
	findActive(now: number): readonly UpstreamProcess[] {
		return [...this.#pauses.values()].filter(({until}) => until > now);
	}
}

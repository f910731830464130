/** Upstreams that refused a request of this host and stated for how long they want no more from it. Peers are not concerned. */
import {type UpstreamProcess} from '../types.js';

/** Difference between the clocks of a host and an upstream up to which a refusal may be that of a process which started at that time. */
const maxClockDifferenceMs = 2000;

/** A refusal of a request. */
export type Refusal = UpstreamProcess & {
	/** When it arrived, in Unix milliseconds. */
	readonly receivedWall: number;
	/** When the pause ends; monotonic. */
	readonly until: number;
};

/**
 * Returns whether a refusal is that of the registered process. The process that refused may have started later than the one that was
 * registered as the request was sent.
 */
function isFrom(refusal: Refusal, registered: UpstreamProcess): boolean {
	return refusal.started === registered.started
		|| (registered.started !== undefined && refusal.receivedWall >= registered.started - maxClockDifferenceMs);
}

export class Pauses {
	readonly #refusals = new Map<string, Refusal>();

	/**
	 * @param refusal - Refusal by the process that was registered as the request was sent, or a later one. A longer pause that was stated
	 * before still holds.
	 * @param now - Time.
	 */
	record(refusal: Refusal, now: number): void {
		for (const [upstream, {until}] of this.#refusals) {
			if (until <= now) {
				this.#refusals.delete(upstream);
			}
		}

		const known = this.#refusals.get(refusal.upstream);
		const knownUntil = known?.started === refusal.started ? known?.until ?? 0 : 0;
		this.#refusals.set(refusal.upstream, {...refusal, until: Math.max(refusal.until, knownUntil)});
	}

	/**
	 * @param registered - Registered process of an upstream.
	 * @param now - Time.
	 * @returns Milliseconds until it accepts requests of this host again; 0 if it does now.
	 */
	computeWait(registered: UpstreamProcess, now: number): number {
		const refusal = this.#refusals.get(registered.upstream);
		return refusal !== undefined && isFrom(refusal, registered) ? Math.max(refusal.until - now, 0) : 0;
	}
}

/** Detects that this host was suspended: the monotonic clock stops during a suspension, the wall clock continues. */
import {type Clock} from '../entry/clock.js';
import {type Log} from '../entry/logs.js';

/** How often to compare the two clocks. */
const checkIntervalMs = 250;

/** Drift of the clocks between two comparisons that isn't logged. */
const toleranceMs = 200;

export class SuspensionDetector implements Disposable {
	readonly #timer: NodeJS.Timeout;
	#offset: number;

	/**
	 * @param clock - Monotonic and wall clock.
	 * @param log - Receives each gap: a suspension, or a step of the wall clock.
	 */
	constructor(clock: Clock, log: Pick<Log, 'write'>) {
		this.#offset = clock.wall() - clock.now();
		this.#timer = setInterval(() => {
			const offset = clock.wall() - clock.now();
			const gap = offset - this.#offset;
			this.#offset = offset;
			if (Math.abs(gap) > toleranceMs) {
				log.write({event: 'clock-gap', gap: Math.round(gap)}, 'warn');
			}
		}, checkIntervalMs);
	}

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
	}
}

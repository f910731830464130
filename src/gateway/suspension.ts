/** Notices that this host stood still: the monotonic clock stops while it is suspended, the time of day goes on. */
import {type Clock} from '../entry/clock.js';
import {type Log} from '../entry/logs.js';

/** Milliseconds between comparisons of the two clocks. */
const lookInterval = 250;

/** Milliseconds by which the clocks may drift apart between two comparisons. */
const tolerance = 200;

export class SuspensionWatch implements Disposable {
	readonly #timer: NodeJS.Timeout;
	#offset: number;

	/**
	 * @param clock - Both clocks.
	 * @param log - Told of each gap: a suspension, or a step of the time of day.
	 */
	constructor(clock: Clock, log: Pick<Log, 'write'>) {
		this.#offset = clock.wall() - clock.now();
		this.#timer = setInterval(() => {
			const offset = clock.wall() - clock.now();
			const gap = offset - this.#offset;
			this.#offset = offset;
			if (Math.abs(gap) > tolerance) {
				log.write({event: 'clock-gap', gap: Math.round(gap)}, 'warn');
			}
		}, lookInterval);
	}

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
	}
}

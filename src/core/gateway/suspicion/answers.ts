/** When requests with a cause were last answered completely, which shows that it doesn't crash engines of that version. */
import {dropOldest} from '../../utils/bounded.js';
import {formatScope, type Cause, type Scope} from './causes.js';

/** Most causes in memory for each scope; those that were not answered for longest are dropped first. */
const maxCauses = 4096;

/** Most scopes in memory. */
const maxScopes = 64;

export class Answers {
	readonly #times = new Map<string, Map<Cause, number>>();

	/**
	 * @param scope - Engines that answered.
	 * @param cause - Cause of an answered request.
	 * @param at - Time of the answer; monotonic milliseconds.
	 */
	record(scope: Scope, cause: Cause, at: number): void {
		const times = this.#scopeTimes(formatScope(scope));
		const previous = times.get(cause) ?? at;
		times.delete(cause);
		times.set(cause, Math.max(previous, at));
		dropOldest(times, maxCauses);
	}

	/**
	 * @param scope - Engines.
	 * @param cause - Cause.
	 * @returns When a request with the cause was last answered there; undefined if it never was.
	 */
	findTime(scope: Scope, cause: Cause): number | undefined {
		return this.#times.get(formatScope(scope))?.get(cause);
	}

	#scopeTimes(scope: string): Map<Cause, number> {
		const known = this.#times.get(scope);
		if (known !== undefined) {
			return known;
		}

		const times = new Map<Cause, number>();
		this.#times.set(scope, times);
		dropOldest(this.#times, maxScopes);
		return times;
	}
}

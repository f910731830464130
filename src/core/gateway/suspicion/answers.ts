/** When requests with a cause were last answered, which shows that it doesn't crash engines of that version. */
import {dropOldest} from '../../utils/bounded.js';
import {formatScope, type Cause, type Scope} from './causes.js';

/**
 * Most causes in memory for each scope: those answered once, and those answered again. Most causes belong to one request, and must not displace
 * the parts that requests share.
 */
const maxNewCauses = 2048;
const maxRepeatedCauses = 4096;

/** Most scopes in memory. */
const maxScopes = 64;

type Times = {
	/** Of causes answered once. */
	readonly fresh: Map<Cause, number>;
	readonly repeated: Map<Cause, number>;
};

export class Answers {
	readonly #times = new Map<string, Times>();

	/**
	 * @param scope - Engines that answered.
	 * @param cause - Cause of an answered request.
	 * @param at - Time of the answer; monotonic milliseconds.
	 */
	record(scope: Scope, cause: Cause, at: number): void {
		const {fresh, repeated} = this.#findTimes(formatScope(scope));
		const previous = repeated.get(cause) ?? fresh.get(cause);
		if (previous === undefined) {
			fresh.set(cause, at);
			dropOldest(fresh, maxNewCauses);
			return;
		}

		fresh.delete(cause);
		repeated.delete(cause);
		repeated.set(cause, Math.max(previous, at));
		dropOldest(repeated, maxRepeatedCauses);
	}

	/**
	 * @param scope - Engines.
	 * @param cause - Cause.
	 * @returns When a request with the cause was last answered there; undefined if it never was.
	 */
	findTime(scope: Scope, cause: Cause): number | undefined {
		const times = this.#times.get(formatScope(scope));
		return times?.repeated.get(cause) ?? times?.fresh.get(cause);
	}

	#findTimes(scope: string): Times {
		const known = this.#times.get(scope);
		if (known !== undefined) {
			return known;
		}

		const times: Times = {fresh: new Map(), repeated: new Map()};
		this.#times.set(scope, times);
		dropOldest(this.#times, maxScopes);
		return times;
	}
}

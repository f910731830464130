/** Attempts of this host that run at upstreams, by upstream. */
import {type Cause, type Scope} from '../../core/gateway/suspicion/causes.js';
import {type UpstreamProcess} from '../../core/gateway/types.js';

/** An attempt that was sent. */
export type RunningAttempt = UpstreamProcess & {
	/** Id of its job, unique over all hosts. */
	readonly attempt: string;
	readonly scope: Scope;
	readonly causes: readonly Cause[];
	readonly fingerprint: string;
	/** Engines that prefill a part of its prompt. */
	readonly helpers: readonly string[];
	/** Monotonic time in milliseconds. */
	readonly sent: number;
	/** Whether the caller has received a part of the answer. */
	readonly hasBegun: () => boolean;
	readonly cancel: () => void;
};

/** Attempts that would crash their engines. */
export type CancelledAttempts = {
	readonly service: string;
	/** Version of the engines; undefined for all. */
	readonly version?: string;
	/** Attempts with all of them are meant. */
	readonly causes: readonly Cause[];
};

export class RunningAttempts {
	readonly #attempts = new Set<RunningAttempt>();

	/**
	 * @param attempt - Attempt that is being sent.
	 * @returns Removes it when disposed of.
	 */
	add(attempt: RunningAttempt): Disposable {
		this.#attempts.add(attempt);
		return {
			[Symbol.dispose]: () => {
				this.#attempts.delete(attempt);
			},
		};
	}

	/**
	 * Cancels attempts with all of some causes whose answers have not begun.
	 *
	 * @param which - Their causes, and the engines that they would crash.
	 * @returns Number of attempts.
	 */
	cancelUnbegun({service, version, causes}: CancelledAttempts): number {
		const doomed = [...this.#attempts].filter(attempt => attempt.scope.service === service
			&& (version === undefined || attempt.scope.version === version)
			&& !attempt.hasBegun()
			&& causes.every(cause => attempt.causes.includes(cause)));
		for (const attempt of doomed) {
			attempt.cancel();
		}

		return doomed.length;
	}
}

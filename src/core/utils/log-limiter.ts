/** Limits the log lines about events that may repeat many times a second to one a minute for each subject. */

const logIntervalMs = 60_000;

/** Subjects whose last log line is remembered. While this many were logged within a minute, lines about others are left out. */
const maxSubjects = 256;

export class LogLimiter {
	/** Times of the last log lines by subject, the oldest first. */
	readonly #loggedAt = new Map<string, number>();

	/**
	 * @param subject - What the log line is about.
	 * @param now - Monotonic time in milliseconds.
	 * @returns Whether the line is written; it counts as written then.
	 */
	admit(subject: string, now: number): boolean {
		for (const [oldest, at] of this.#loggedAt) {
			if (now - at < logIntervalMs) {
				break;
			}

			this.#loggedAt.delete(oldest);
		}

		if (this.#loggedAt.has(subject) || this.#loggedAt.size >= maxSubjects) {
			return false;
		}

		this.#loggedAt.set(subject, now);
		return true;
	}
}

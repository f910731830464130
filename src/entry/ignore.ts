/** A callback for what needs no answer. */

/** Does nothing. */
export function ignore(): void {
	// Nothing depends on it.
}

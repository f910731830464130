/** A callback that does nothing, for events and errors that need no handling. */
export function ignore(): void {
	// Does nothing.
}

/** Formats JSON paths such as `$.services[0].deadline`. */

/**
 * @param steps - Keys and indices, starting at the root of the document.
 * @returns The JSON path.
 */
export function formatPath(steps: readonly PropertyKey[]): string {
	let path = '$';
	for (const step of steps) {
		path += typeof step === 'number' ? `[${step}]` : formatKey(String(step));
	}

	return path;
}

function formatKey(key: string): string {
	return /^[\p{L}_]\w*$/v.test(key) ? `.${key}` : `[${JSON.stringify(key)}]`;
}

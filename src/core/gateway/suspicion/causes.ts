/** What may make a request crash the engines that run it: a part of its prompt, or the request as a whole. */

/** Names a cause in messages, logs and commands. */
export type Cause = `part:${string}` | `request:${string}`;

/** Most causes of one request; a longer prompt is recognised by its first parts and as a whole. */
const maxCauses = 64;

/** Longest name of a cause, in characters. */
export const maxCauseLength = 128;

const pattern = /^(?:part|request):[^\s]+$/v;

/**
 * @param value - Text from a peer or an operator.
 * @returns Whether it names a cause.
 */
export function isCause(value: string): value is Cause {
	return value.length <= maxCauseLength && pattern.test(value);
}

/**
 * @param fingerprint - Fingerprint of a request, equal for repetitions.
 * @returns The cause that stands for the whole request.
 */
export function toRequestCause(fingerprint: string): Cause {
	return `request:${fingerprint}`;
}

/**
 * @param fingerprint - Fingerprint of a request.
 * @param parts - Ids of the parts of its prompt, in order; absent for requests without a prompt.
 * @returns Its causes, each once: first the parts, then the whole request.
 */
export function listCauses(fingerprint: string, parts: readonly string[] = []): readonly Cause[] {
	const named = parts.map(part => `part:${part}` as const).filter(cause => isCause(cause));
	return [...new Set([...named.slice(0, maxCauses - 1), toRequestCause(fingerprint)])];
}

/** Engines under which evidence is kept apart: another version may not crash. */
export type Scope = {
	readonly service: string;
	/** Version of the engines' software; empty if they don't state one. */
	readonly version: string;
};

/**
 * @param scope - Scope.
 * @returns A text that is equal for equal scopes.
 */
export function formatScope({service, version}: Scope): string {
	return `${service} ${version}`;
}

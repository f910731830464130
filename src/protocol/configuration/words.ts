/** Says in words what changes. */
import {assertNever, type Takeover} from '../../core/index.js';
import {type Change, type Value} from './changes.js';

const second = 1000;
const minute = 60 * second;
const hour = 60 * minute;

const durations = new Set(['deadline.default', 'deadline.most', 'grace', 'decodeInterval']);
const tokenCounts = new Set(['memory', 'expectedOutput', 'lengthClasses.short', 'lengthClasses.long']);
const hashShown = 8;

/**
 * @param change - A change between two documents.
 * @returns One sentence without a full stop; secrets and whole key hashes are left out.
 */
export function changeInWords(change: Change): string {
	switch (change.type) {
		case 'added': {
			return `Adds the ${change.entry} "${change.id}"`;
		}

		case 'removed': {
			return `Removes the ${change.entry} "${change.id}"`;
		}

		case 'field-changed': {
			return `${capital(change.entry)} "${change.id}": ${fieldInWords(change.field, change.before, change.after)}`;
		}

		case 'document-changed': {
			return `Document: ${fieldInWords(change.field, change.before, change.after)}`;
		}

		case 'list-changed': {
			return `${capital(change.entry)} "${change.id}": ${change.field} ${listInWords(change.added, change.removed)}`;
		}

		case 'secret-changed': {
			return `Token key "${change.id}": its secret changes`;
		}

		case 'signing-key-changed': {
			return `Tokens are signed with the key "${change.after}" in place of "${change.before}"`;
		}

		case 'takeover-changed': {
			return takeoverInWords(change.scope, change.before, change.after);
		}

		default: {
			return assertNever(change);
		}
	}
}

/**
 * @param scope - Service, and failure domain and organisation if it is for one only.
 * @returns Whom it concerns.
 */
export function scopeInWords({service, failureDomain, organisation}: Omit<Takeover, 'servedBy'>): string {
	const where = failureDomain === undefined ? 'in every failure domain' : `in "${failureDomain}"`;
	const whom = organisation === undefined ? 'for every organisation' : `for "${organisation}"`;
	return `"${service}" ${where} ${whom}`;
}

function takeoverInWords(scope: Omit<Takeover, 'servedBy'>, before?: Takeover['servedBy'], after?: Takeover['servedBy']): string {
	const server = (servedBy: Takeover['servedBy']) => servedBy === 'legacy' ? 'the old endpoint' : 'cranberrytide';
	if (after === undefined) {
		return `Service ${scopeInWords(scope)}: the rule "served by ${server(before!)}" is removed`;
	}

	const from = before === undefined ? '' : `, in place of ${server(before)}`;
	return `Service ${scopeInWords(scope)}: served by ${server(after)}${from}`;
}

function fieldInWords(field: string, before?: Value, after?: Value): string {
	if (before === undefined) {
		return `${field} becomes ${valueInWords(field, after!)}`;
	}

	return after === undefined
		? `${field} is no longer set (was ${valueInWords(field, before)})`
		: `${field} changes from ${valueInWords(field, before)} to ${valueInWords(field, after)}`;
}

function valueInWords(field: string, value: Value): string {
	if (typeof value !== 'number') {
		return typeof value === 'string' ? `"${value}"` : (value ? 'yes' : 'no');
	}

	if (field === 'notBefore') {
		return timeInWords(value);
	}

	if (durations.has(field)) {
		return durationInWords(value);
	}

	return tokenCounts.has(field) ? `${value} tokens` : String(value);
}

/** Times beyond those that a date can hold stay numbers. */
function timeInWords(wall: number): string {
	const date = new Date(wall);
	return Number.isNaN(date.getTime()) ? String(wall) : date.toISOString();
}

/**
 * @param milliseconds - Duration in milliseconds.
 * @returns The duration in the largest unit that gives a whole number.
 */
export function durationInWords(milliseconds: number): string {
	for (const [unit, name] of [[hour, 'h'], [minute, 'min'], [second, 's']] as const) {
		if (milliseconds >= unit && milliseconds % unit === 0) {
			return `${milliseconds / unit} ${name}`;
		}
	}

	return `${milliseconds} ms`;
}

function listInWords(added: readonly string[], removed: readonly string[]): string {
	const parts: string[] = [];
	if (added.length > 0) {
		parts.push(`gains ${namesInWords(added)}`);
	}

	if (removed.length > 0) {
		parts.push(`loses ${namesInWords(removed)}`);
	}

	return parts.join(' and ');
}

function namesInWords(names: readonly string[]): string {
	const shown = names.map(name => /^[\da-f]{64}$/v.test(name) ? `${name.slice(0, hashShown)}…` : `"${name}"`);
	return shown.join(', ');
}

function capital(text: string): string {
	return text.charAt(0).toUpperCase() + text.slice(1);
}

/** Describes the changes between two documents for operators. */
import {assertNever, type Takeover} from '../../core/index.js';
import {type Change, type FieldValue} from './changes.js';

const secondMs = 1000;
const minuteMs = 60 * secondMs;
const hourMs = 60 * minuteMs;

const durationFields = new Set(['deadline.default', 'deadline.most', 'grace', 'decodeInterval']);
const tokenCountFields = new Set(['memory', 'expectedOutput', 'lengthClasses.short', 'lengthClasses.long']);
const shownHashDigits = 8;

/**
 * @param change - Change to describe.
 * @returns One sentence without a full stop. Contains no secrets and only the first digits of key hashes.
 */
export function describeChange(change: Change): string {
	switch (change.type) {
		case 'added': {
			return `Adds the ${change.entry} "${change.id}"`;
		}

		case 'removed': {
			return `Removes the ${change.entry} "${change.id}"`;
		}

		case 'field-changed': {
			return `${capitalize(change.entry)} "${change.id}": ${describeFieldChange(change.field, change.before, change.after)}`;
		}

		case 'document-changed': {
			return `Document: ${describeFieldChange(change.field, change.before, change.after)}`;
		}

		case 'list-changed': {
			return `${capitalize(change.entry)} "${change.id}": ${change.field} ${describeListChange(change.added, change.removed)}`;
		}

		case 'secret-changed': {
			return `Token key "${change.id}": its secret changes`;
		}

		case 'signing-key-changed': {
			return `Tokens are signed with the key "${change.after}" in place of "${change.before}"`;
		}

		case 'takeover-changed': {
			return describeTakeoverChange(change.scope, change.before, change.after);
		}

		default: {
			return assertNever(change);
		}
	}
}

/**
 * @param scope - Service, and the failure domain and organisation if the takeover is limited to one.
 * @returns The service, failure domain and organisation that the takeover applies to.
 */
export function describeScope({service, failureDomain, organisation}: Omit<Takeover, 'servedBy'>): string {
	const domainText = failureDomain === undefined ? 'in every failure domain' : `in "${failureDomain}"`;
	const organisationText = organisation === undefined ? 'for every organisation' : `for "${organisation}"`;
	return `"${service}" ${domainText} ${organisationText}`;
}

function describeTakeoverChange(scope: Omit<Takeover, 'servedBy'>, before?: Takeover['servedBy'], after?: Takeover['servedBy']): string {
	const formatServer = (servedBy: Takeover['servedBy']) => servedBy === 'legacy' ? 'the old endpoint' : 'cranberrytide';
	if (after === undefined) {
		return `Service ${describeScope(scope)}: the rule "served by ${formatServer(before!)}" is removed`;
	}

	const from = before === undefined ? '' : `, in place of ${formatServer(before)}`;
	return `Service ${describeScope(scope)}: served by ${formatServer(after)}${from}`;
}

function describeFieldChange(field: string, before?: FieldValue, after?: FieldValue): string {
	if (before === undefined) {
		return `${field} becomes ${formatValue(field, after!)}`;
	}

	return after === undefined
		? `${field} is no longer set (was ${formatValue(field, before)})`
		: `${field} changes from ${formatValue(field, before)} to ${formatValue(field, after)}`;
}

function formatValue(field: string, value: FieldValue): string {
	if (typeof value !== 'number') {
		return typeof value === 'string' ? `"${value}"` : (value ? 'yes' : 'no');
	}

	if (field === 'notBefore') {
		return formatTime(value);
	}

	if (durationFields.has(field)) {
		return formatDuration(value);
	}

	return tokenCountFields.has(field) ? `${value} tokens` : String(value);
}

/** Formats times outside the range of a date as plain numbers. */
function formatTime(wall: number): string {
	const date = new Date(wall);
	return Number.isNaN(date.getTime()) ? String(wall) : date.toISOString();
}

/**
 * @param milliseconds - Duration in milliseconds.
 * @returns The duration in the largest unit that divides it evenly, such as `10 min`.
 */
export function formatDuration(milliseconds: number): string {
	for (const [unit, name] of [[hourMs, 'h'], [minuteMs, 'min'], [secondMs, 's']] as const) {
		if (milliseconds >= unit && milliseconds % unit === 0) {
			return `${milliseconds / unit} ${name}`;
		}
	}

	return `${milliseconds} ms`;
}

function describeListChange(added: readonly string[], removed: readonly string[]): string {
	const parts: string[] = [];
	if (added.length > 0) {
		parts.push(`gains ${formatNames(added)}`);
	}

	if (removed.length > 0) {
		parts.push(`loses ${formatNames(removed)}`);
	}

	return parts.join(' and ');
}

function formatNames(names: readonly string[]): string {
	const shown = names.map(name => /^[\da-f]{64}$/v.test(name) ? `${name.slice(0, shownHashDigits)}…` : `"${name}"`);
	return shown.join(', ');
}

function capitalize(text: string): string {
	return text.charAt(0).toUpperCase() + text.slice(1);
}

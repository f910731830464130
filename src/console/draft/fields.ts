/** Form fields: converts values of the document to text and back. */
import {assertNever} from '../../core/index.js';
import {
	isJsonArray, formatJson, type Json, type Path,
} from './json.js';

export type Field = {
	/** Path within the entry, or within the document for a field of a group. */
	readonly path: Path;
	readonly label: string;
	readonly help?: string;
	readonly kind: FieldKind;
};

export type FieldKind
	= | {readonly type: 'text'}
		| {readonly type: 'number'}
	/** Date and time in UTC; Unix time in milliseconds in the document. */
		| {readonly type: 'time'}
		| {readonly type: 'yes-no'}
		| {readonly type: 'choice'; readonly choices: readonly Choice[]}
	/** Name of an entry in another list of the document. */
		| {readonly type: 'reference'; readonly list: string; readonly isOptional: boolean}
	/** List of names, one per line. */
		| {readonly type: 'lines'};

export type Choice = {readonly value: string; readonly label: string};

/** A `datetime-local` field takes times with minute precision. */
const timeLength = 'yyyy-mm-ddThh:mm'.length;

/**
 * @param field - Field.
 * @returns Its name in the form.
 */
export function getFieldName(field: Field): string {
	return `field.${field.path.join('.')}`;
}

/**
 * @param kind - Kind of field.
 * @param value - Value in the draft.
 * @returns Text to show in the field.
 */
export function formatValue(kind: FieldKind, value: Json): string {
	switch (kind.type) {
		case 'time': {
			return typeof value === 'number' ? formatTime(value) : formatJson(value);
		}

		case 'yes-no': {
			return value === true ? 'yes' : (value === false ? 'no' : formatJson(value));
		}

		case 'lines': {
			return isJsonArray(value) ? value.map(each => formatJson(each)).join('\n') : formatJson(value);
		}

		case 'text':
		case 'number':
		case 'choice':
		case 'reference': {
			return formatJson(value);
		}

		default: {
			return assertNever(kind);
		}
	}
}

/**
 * Keeps text that cannot be parsed, so that the check of the draft reports it and nothing typed is lost.
 *
 * @param kind - Kind of field.
 * @param text - Typed text.
 * @returns The value for the draft; undefined if the field is to be left out.
 */
export function parseValue(kind: FieldKind, text: string): Json {
	const typed = text.trim();
	switch (kind.type) {
		case 'text':
		case 'choice':
		case 'reference': {
			return typed === '' ? undefined : typed;
		}

		case 'number': {
			return typed === '' ? undefined : parseNumber(typed);
		}

		case 'time': {
			return typed === '' ? undefined : parseTime(typed);
		}

		case 'yes-no': {
			return typed === 'yes' || typed === 'no' ? typed === 'yes' : typed;
		}

		case 'lines': {
			return typed.split(/\s+/v).filter(each => each !== '');
		}

		default: {
			return assertNever(kind);
		}
	}
}

function parseNumber(text: string): number | string {
	const value = Number(text.replaceAll(/[\s_]/gv, ''));
	return Number.isFinite(value) ? value : text;
}

function parseTime(text: string): number | string {
	const time = Date.parse(`${text}Z`);
	return Number.isNaN(time) ? text : time;
}

function formatTime(time: number): string {
	const date = new Date(time);
	return Number.isNaN(date.getTime()) ? String(time) : date.toISOString().slice(0, timeLength);
}

/** Fields of forms: how a value of the document is shown and read. */
import {assertNever} from '../../core/index.js';
import {
	isList, textOf, type Json, type Path,
} from './json.js';

export type Field = {
	/** Place below the entry. */
	readonly path: Path;
	readonly label: string;
	readonly help?: string;
	readonly kind: FieldKind;
};

export type FieldKind
	= | {readonly type: 'text'}
		| {readonly type: 'number'}
	/** A time of day and date in UTC; milliseconds since 1970 in the document. */
		| {readonly type: 'time'}
		| {readonly type: 'yes-no'}
		| {readonly type: 'choice'; readonly choices: readonly Choice[]}
	/** The names in a list of the document. */
		| {readonly type: 'reference'; readonly list: string; readonly isOptional: boolean}
	/** A list, one name a line. */
		| {readonly type: 'lines'};

export type Choice = {readonly value: string; readonly label: string};

/** Characters of a time that a browser's field takes, down to the minute. */
const timeLength = 'yyyy-mm-ddThh:mm'.length;

/**
 * @param field - Field.
 * @returns Its name in a form.
 */
export function fieldName(field: Field): string {
	return `field.${field.path.join('.')}`;
}

/**
 * @param kind - Kind of field.
 * @param value - Value in the draft.
 * @returns Text to show.
 */
export function showValue(kind: FieldKind, value: Json): string {
	switch (kind.type) {
		case 'time': {
			return typeof value === 'number' ? showTime(value) : textOf(value);
		}

		case 'yes-no': {
			return value === true ? 'yes' : (value === false ? 'no' : textOf(value));
		}

		case 'lines': {
			return isList(value) ? value.map(each => textOf(each)).join('\n') : textOf(value);
		}

		case 'text':
		case 'number':
		case 'choice':
		case 'reference': {
			return textOf(value);
		}

		default: {
			return assertNever(kind);
		}
	}
}

/**
 * What cannot be read stays text, so that checking the draft names the mistake and nothing typed is lost.
 *
 * @param kind - Kind of field.
 * @param text - Text that was typed.
 * @returns The value for the draft; undefined where the field is left out.
 */
export function readValue(kind: FieldKind, text: string): Json {
	const typed = text.trim();
	switch (kind.type) {
		case 'text':
		case 'choice':
		case 'reference': {
			return typed === '' ? undefined : typed;
		}

		case 'number': {
			return typed === '' ? undefined : readNumber(typed);
		}

		case 'time': {
			return typed === '' ? undefined : readTime(typed);
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

function readNumber(text: string): number | string {
	const value = Number(text.replaceAll(/[\s_]/gv, ''));
	return Number.isFinite(value) ? value : text;
}

function readTime(text: string): number | string {
	const time = Date.parse(`${text}Z`);
	return Number.isNaN(time) ? text : time;
}

function showTime(time: number): string {
	const date = new Date(time);
	return Number.isNaN(date.getTime()) ? String(time) : date.toISOString().slice(0, timeLength);
}

/** A draft: the document as JSON, whose mistakes are still being mended. */
import {removeIn, setIn} from 'immutable';

export type Json = string | number | boolean | undefined | readonly Json[] | Entry;

/** One entry of a list of the document, or the document itself. */
export type Entry = {readonly [key: string]: Json};

export type Draft = Entry;

export type Path = ReadonlyArray<string | number>;

/**
 * @param value - Parsed JSON.
 * @returns Whether it is an object.
 */
export function isEntry(value: unknown): value is Entry {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
 * @param value - Any JSON.
 * @returns Whether it is a list.
 */
export function isList(value: Json): value is readonly Json[] {
	return Array.isArray(value);
}

/**
 * @param draft - Draft.
 * @param path - Keys and indices.
 * @returns The value there, if there is one.
 */
export function read(draft: Draft, path: Path): Json {
	let value: Json = draft;
	for (const step of path) {
		value = below(value, step);
	}

	return value;
}

function below(value: Json, step: string | number): Json {
	if (isList(value)) {
		return typeof step === 'number' ? value[step] : undefined;
	}

	return isEntry(value) && Object.hasOwn(value, step) ? value[step] : undefined;
}

/**
 * @param draft - Draft.
 * @param path - Keys and indices.
 * @param value - Undefined removes what is there.
 * @returns The changed draft.
 */
export function write(draft: Draft, path: Path, value: Json): Draft {
	return value === undefined ? removeIn(draft, path) : setIn(draft, path, value);
}

/**
 * @param draft - Draft.
 * @param list - Name of a list of the document.
 * @returns Its entries; none where there is no list.
 */
export function entriesOf(draft: Draft, list: string): readonly Entry[] {
	const value = Object.hasOwn(draft, list) ? draft[list] : undefined;
	return isList(value) ? value.map(each => isEntry(each) ? each : {}) : [];
}

/**
 * @param value - Any JSON.
 * @returns Text for a field or a table; empty where there is nothing.
 */
export function textOf(value: Json): string {
	if (value === undefined || value === null) {
		return '';
	}

	return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

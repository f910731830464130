/** Drafts as JSON values, and access to them by path. */
import {removeIn, setIn} from 'immutable';

export type Json = string | number | boolean | undefined | readonly Json[] | JsonObject;

/** An entry of one of the document's lists, or the document itself. */
export type JsonObject = {readonly [key: string]: Json};

/** Configuration document that may still have mistakes. */
export type Draft = JsonObject;

export type Path = ReadonlyArray<string | number>;

/**
 * @param value - Parsed JSON.
 * @returns Whether it is an object.
 */
export function isJsonObject(value: unknown): value is JsonObject {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
 * @param value - JSON value.
 * @returns Whether it is an array.
 */
export function isJsonArray(value: Json): value is readonly Json[] {
	return Array.isArray(value);
}

/**
 * @param draft - Draft.
 * @param path - Keys and indices.
 * @returns The value at the path; undefined if there is none.
 */
export function getValueAt(draft: Draft, path: Path): Json {
	let value: Json = draft;
	for (const key of path) {
		value = getChild(value, key);
	}

	return value;
}

function getChild(value: Json, key: string | number): Json {
	if (isJsonArray(value)) {
		return typeof key === 'number' ? value[key] : undefined;
	}

	return isJsonObject(value) && Object.hasOwn(value, key) ? value[key] : undefined;
}

/**
 * @param draft - Draft.
 * @param path - Keys and indices.
 * @param value - New value; undefined removes the current one.
 * @returns The changed draft.
 */
export function setValueAt(draft: Draft, path: Path, value: Json): Draft {
	return value === undefined ? removeIn(draft, path) : setIn(draft, path, value);
}

/**
 * @param draft - Draft.
 * @param list - Name of a list of the document.
 * @returns Its entries; none if the list is missing. An entry that is not an object becomes an empty one.
 */
export function getEntries(draft: Draft, list: string): readonly JsonObject[] {
	const value = Object.hasOwn(draft, list) ? draft[list] : undefined;
	return isJsonArray(value) ? value.map(each => isJsonObject(each) ? each : {}) : [];
}

/**
 * @param value - JSON value.
 * @returns Text for a field or a table cell; empty for undefined or null.
 */
export function formatJson(value: Json): string {
	if (value === undefined || value === null) {
		return '';
	}

	return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

/** Fills in a template of a settings file as the users' platform does: `{{a.b}}`, `{{a|json}}`, and sections `{{#a}}` and `{{^a}}`. */

const tag = /\{\{(?<kind>[#\/^]?)(?<name>[^\{\}\|]*)(?<filter>\|json)?\}\}/gv;

type Part = {
	/** Text before the tag. */
	readonly before: string;
	readonly kind: string;
	readonly name: string;
	readonly isJson: boolean;
};

/** The current entry of each section, the innermost first. */
type Scopes = readonly unknown[];

function isTable(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null;
}

function find(name: string, scopes: Scopes): unknown {
	const keys = name === '.' ? [] : name.split('.');
	for (const scope of scopes) {
		let value = scope;
		for (const key of keys) {
			value = isTable(value) ? value[key] : undefined;
		}

		if (value !== undefined) {
			return value;
		}
	}

	return undefined;
}

function format(value: unknown, isJson: boolean): string {
	if (value === undefined) {
		return '';
	}

	return typeof value === 'string' && !isJson ? value : (Array.isArray(value) && !isJson ? value.join(',') : JSON.stringify(value));
}

function split(text: string): {readonly parts: readonly Part[]; readonly rest: string} {
	const parts: Part[] = [];
	let end = 0;
	for (const {0: match, index, groups} of text.matchAll(tag)) {
		parts.push({
			before: text.slice(end, index), kind: groups?.kind ?? '', name: groups?.name ?? '', isJson: groups?.filter !== undefined,
		});
		end = index + match.length;
	}

	return {parts, rest: text.slice(end)};
}

/** Renders the parts up to the end of a section, or all; returns the text and the index of the end. */
function render(parts: readonly Part[], start: number, scopes: Scopes, isLast: boolean): {readonly text: string; readonly end: number} {
	let text = '';
	for (let index = start; index < parts.length; index++) {
		const {before, kind, name, isJson} = parts[index]!;
		text += before;
		if (kind === '/') {
			return {text, end: index};
		}

		if (kind === '') {
			text += name === ',' ? (isLast ? '' : ',') : format(find(name, scopes), isJson);
			continue;
		}

		const value = find(name, scopes);
		const isPresent = value !== undefined && value !== false;
		const entries: readonly unknown[] = Array.isArray(value) ? value : [value];
		const rendered = entries.map((entry, position) => render(parts, index + 1, [entry, ...scopes], position === entries.length - 1));
		text += isPresent === (kind === '#') ? rendered.map(each => each.text).join('') : '';
		index = (rendered[0] ?? render(parts, index + 1, scopes, true)).end;
	}

	return {text, end: parts.length};
}

/**
 * @param template - Text of the template.
 * @param fields - Fields of the platform's settings.
 * @returns The settings file.
 */
export function fillIn(template: string, fields: Readonly<Record<string, unknown>>): string {
	const {parts, rest} = split(template);
	return render(parts, 0, [fields], true).text + rest;
}

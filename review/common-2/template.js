/** Fills in a template of the settings file as the platform does (DEPLOY.md): `{{a.b}}`, `{{a|json}}`, and sections `{{#a}}`, `{{^a}}`. */

const tag = /\{\{(?<kind>[#\/^]?)(?<name>[^\{\}\|]*)(?<filter>\|json)?\}\}/gv;

function find(name, scopes) {
	for (const scope of scopes) {
		let value = scope;
		for (const key of name === '.' ? [] : name.split('.')) {
			value = value?.[key];
		}

		if (value !== undefined) {
			return value;
		}
	}

	return undefined;
}

function format(value, isJson) {
	if (isJson) {
		return JSON.stringify(value);
	}

	return Array.isArray(value) ? value.join(',') : String(value ?? '');
}

/** Returns the tags of a text in turn, with the text before each. */
function split(text) {
	const parts = [];
	let end = 0;
	for (const match of text.matchAll(tag)) {
		parts.push({before: text.slice(end, match.index), ...match.groups});
		end = match.index + match[0].length;
	}

	return {parts, rest: text.slice(end)};
}

/** Renders the parts up to the end of a section, or all; returns the text and the index after it. */
function renderParts(parts, start, scopes, isLast) {
	let text = '';
	for (let index = start; index < parts.length; index++) {
		const {before, kind, name, filter} = parts[index];
		text += before;
		if (kind === '/') {
			return {text, next: index};
		}

		if (kind === '') {
			text += name === ',' ? (isLast ? '' : ',') : format(find(name, scopes), filter !== undefined);
			continue;
		}

		const value = find(name, scopes);
		const isPresent = value !== undefined && value !== false;
		const entries = Array.isArray(value) ? value : [value];
		const rendered = entries.map((entry, position) => renderParts(parts, index + 1, [entry, ...scopes], position === entries.length - 1));
		const {next} = rendered[0] ?? renderParts(parts, index + 1, scopes, true);
		text += isPresent === (kind === '#') ? rendered.map(each => each.text).join('') : '';
		index = next;
	}

	return {text, next: parts.length};
}

/**
 * @param template - Text of the template.
 * @param fields - Fields of the settings.
 * @returns The settings file.
 */
export function fillIn(template, fields) {
	const {parts, rest} = split(template);
	return renderParts(parts, 0, [fields], true).text + rest;
}

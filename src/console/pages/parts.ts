/** Parts that several pages share. */
import {formatAction, type Action} from '../draft/place.js';
import {fieldName, showValue, type Field} from '../draft/fields.js';
import {
	entriesOf,
	read,
	textOf,
	type Draft,
	type Path,
} from '../draft/json.js';
import {mistakesAt} from '../draft/review.js';
import {formatPath, type Mistake} from '../../protocol/configuration/index.js';
import {html, type Html} from '../html.js';

/** Organisations, services and the like beyond this number are typed instead of chosen. */
const longestChoice = 200;

/**
 * @param action - What the button asks for.
 * @param label - Its text.
 * @param kind - How it looks.
 * @returns A button of the page's form.
 */
export function button(action: Action, label: string, kind: 'plain' | 'primary' | 'danger' = 'plain'): Html {
	return html`<button name="action" value="${formatAction(action)}" class="${kind}">${label}</button>`;
}

/**
 * @param mistakes - Mistakes.
 * @param id - Id that fields refer to.
 * @returns A list of them; nothing where there are none.
 */
export function mistakeList(mistakes: readonly Mistake[], id: string): Html | undefined {
	return mistakes.length === 0
		? undefined
		: html`<ul class="mistakes" id="${id}">${mistakes.map(({text, code}) => html`<li>${text} <small>(${code})</small></li>`)}</ul>`;
}

/**
 * @param draft - Draft.
 * @param path - Place of the entry, or none for the document.
 * @param fields - Its fields.
 * @param mistakes - All mistakes of the draft.
 * @returns The fields with their mistakes beside them.
 */
export function fieldList(draft: Draft, path: Path, fields: readonly Field[], mistakes: readonly Mistake[]): Html {
	return html`<div class="fields">${fields.map(field => fieldRow(draft, path, field, mistakes))}</div>`;
}

function fieldRow(draft: Draft, path: Path, field: Field, mistakes: readonly Mistake[]): Html {
	const id = fieldName(field);
	const own = mistakesAt(mistakes, formatPath([...path, ...field.path]));
	const described = [field.help === undefined ? '' : `${id}-help`, own.length === 0 ? '' : `${id}-mistakes`].join(' ').trim();
	return html`
		<div class="field ${own.length === 0 ? '' : 'wrong'}">
		<label for="${id}">${field.label}</label>
		<div>${input(draft, path, field, html`id="${id}" name="${id}" aria-describedby="${described}" ${own.length === 0 ? undefined : html`aria-invalid="true"`}`)}
		${field.help === undefined ? undefined : html`<p class="help" id="${id}-help">${field.help}</p>`}
		${mistakeList(own, `${id}-mistakes`)}</div>
		</div>
	`;
}

function input(draft: Draft, path: Path, field: Field, attributes: Html): Html {
	const value = showValue(field.kind, read(draft, [...path, ...field.path]));
	switch (field.kind.type) {
		case 'text': {
			return html`<input type="text" ${attributes} value="${value}" autocomplete="off" spellcheck="false">`;
		}

		case 'number': {
			return html`<input type="text" inputmode="decimal" class="number" ${attributes} value="${value}" autocomplete="off">`;
		}

		case 'time': {
			return html`<input type="datetime-local" ${attributes} value="${value}">`;
		}

		case 'lines': {
			return html`<textarea ${attributes} rows="${Math.max(3, value.split('\n').length + 1)}" spellcheck="false">${'\n'}${value}</textarea>`;
		}

		case 'yes-no': {
			return select(attributes, value, [{value: 'yes', label: 'yes'}, {value: 'no', label: 'no'}]);
		}

		case 'choice': {
			return select(attributes, value, field.kind.choices);
		}

		case 'reference': {
			const names = entriesOf(draft, field.kind.list).map(entry => textOf(entry.id));
			const all = {value: '', label: field.kind.isOptional ? 'all' : 'choose one'};
			return names.length > longestChoice
				? html`<input type="text" ${attributes} value="${value}" autocomplete="off">`
				: select(attributes, value, [all, ...names.map(name => ({value: name, label: name}))]);
		}
	}
}

/** A value that is none of the choices stays in the list, so that it is not lost unseen. */
function select(attributes: Html, value: string, choices: ReadonlyArray<{readonly value: string; readonly label: string}>): Html {
	const known = choices.some(choice => choice.value === value);
	const shown = known ? choices : [{value, label: `${value} (not in the list)`}, ...choices];
	return html`<select ${attributes}>${shown.map(choice =>
		html`<option value="${choice.value}" ${choice.value === value ? html`selected` : undefined}>${choice.label}</option>`)}</select>`;
}

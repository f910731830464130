/** Renders buttons, form fields and lists of mistakes. */
import {formatAction, type Action} from '../draft/actions.js';
import {getFieldName, formatValue, type Field} from '../draft/fields.js';
import {
	getEntries,
	getValueAt,
	formatJson,
	type Draft,
	type Path,
} from '../draft/json.js';
import {filterMistakes} from '../draft/review.js';
import {formatPath, type Mistake} from '../../protocol/configuration/index.js';
import {html, type Html} from '../html.js';

/** Longer lists of names become a text field instead of a select element. */
const maxChoices = 200;

/**
 * @param action - Action that the button submits.
 * @param label - Text of the button.
 * @param kind - Style of the button.
 * @returns A submit button.
 */
export function renderButton(action: Action, label: string, kind: 'plain' | 'primary' | 'danger' = 'plain'): Html {
	return html`<button name="action" value="${formatAction(action)}" class="${kind}">${label}</button>`;
}

/**
 * @param mistakes - Mistakes to list.
 * @param id - Element id, for `aria-describedby` of the field.
 * @returns The list; undefined if there are no mistakes.
 */
export function renderMistakeList(mistakes: readonly Mistake[], id: string): Html | undefined {
	return mistakes.length === 0
		? undefined
		: html`<ul class="mistakes" id="${id}">${mistakes.map(({text, code}) => html`<li>${text} <small>(${code})</small></li>`)}</ul>`;
}

/**
 * @param draft - Draft.
 * @param path - Path of the entry; empty for fields of the document itself.
 * @param fields - Fields to show.
 * @param mistakes - All mistakes of the draft.
 * @returns The fields, each with its mistakes.
 */
export function renderFieldList(draft: Draft, path: Path, fields: readonly Field[], mistakes: readonly Mistake[]): Html {
	return html`<div class="fields">${fields.map(field => renderField(draft, path, field, mistakes))}</div>`;
}

function renderField(draft: Draft, path: Path, field: Field, mistakes: readonly Mistake[]): Html {
	const id = getFieldName(field);
	const ownMistakes = filterMistakes(mistakes, formatPath([...path, ...field.path]));
	const describedBy = [field.help === undefined ? '' : `${id}-help`, ownMistakes.length === 0 ? '' : `${id}-mistakes`].join(' ').trim();
	return html`
		<div class="field ${ownMistakes.length === 0 ? '' : 'wrong'}">
		<label for="${id}">${field.label}</label>
		<div>${renderInput(draft, path, field, html`id="${id}" name="${id}" aria-describedby="${describedBy}" ${ownMistakes.length === 0 ? undefined : html`aria-invalid="true"`}`)}
		${field.help === undefined ? undefined : html`<p class="help" id="${id}-help">${field.help}</p>`}
		${renderMistakeList(ownMistakes, `${id}-mistakes`)}</div>
		</div>
	`;
}

function renderInput(draft: Draft, path: Path, field: Field, attributes: Html): Html {
	const value = formatValue(field.kind, getValueAt(draft, [...path, ...field.path]));
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
			return renderSelect(attributes, value, [{value: 'yes', label: 'yes'}, {value: 'no', label: 'no'}]);
		}

		case 'choice': {
			return renderSelect(attributes, value, field.kind.choices);
		}

		case 'reference': {
			const names = getEntries(draft, field.kind.list).map(entry => formatJson(entry.id));
			const emptyChoice = {value: '', label: field.kind.isOptional ? 'all' : 'choose one'};
			return names.length > maxChoices
				? html`<input type="text" ${attributes} value="${value}" autocomplete="off">`
				: renderSelect(attributes, value, [emptyChoice, ...names.map(name => ({value: name, label: name}))]);
		}
	}
}

/** Adds a value that is not among the choices, so that submitting the form does not change it unnoticed. */
function renderSelect(attributes: Html, value: string, choices: ReadonlyArray<{readonly value: string; readonly label: string}>): Html {
	const isKnown = choices.some(choice => choice.value === value);
	const options = isKnown ? choices : [{value, label: `${value} (not in the list)`}, ...choices];
	return html`<select ${attributes}>${options.map(choice =>
		html`<option value="${choice.value}" ${choice.value === value ? html`selected` : undefined}>${choice.label}</option>`)}</select>`;
}

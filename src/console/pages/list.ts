/** Pages of the document's lists. */
import {
	entriesOf, read, textOf, type Entry,
} from '../draft/json.js';
import {mistakesAt} from '../draft/review.js';
import {documentGroups, type Section} from '../draft/sections.js';
import {html, type Html} from '../html.js';
import {count, draftPage, type View} from './layout.js';
import {button, fieldList, mistakeList} from './parts.js';

/** Rows of one page; more are found by name. */
const rowsShown = 100;

type Row = {readonly entry: Entry; readonly index: number};

/**
 * @param view - What the page shows.
 * @param section - List.
 * @returns The page.
 */
export function listPage(view: View, section: Section): string {
	const {draft} = view.state;
	const all = entriesOf(draft, section.id).map((entry, index) => ({entry, index}));
	const found = all.filter(({entry}) => nameOf(section, entry).includes(view.filter));
	const group = documentGroups[section.id];
	return draftPage(view, section.title, html`
		<p>${section.intro}</p>
		<p class="bar">${section.kinds.map(kind => button({type: 'add', section, kind: kind.id}, `Add ${article(kind.label)} ${kind.label}`, 'primary'))}</p>
		${all.length > rowsShown || view.filter !== '' ? filterBar(view, found.length, all.length) : undefined}
		${found.length === 0 ? html`<p class="empty">There is none.</p>` : table(view, section, found.slice(0, rowsShown))}
		${group === undefined ? undefined : html`<h2>${group.title}</h2>${fieldList(draft, [], group.fields, view.review.mistakes)}<p>${button({type: 'stay'}, 'Apply', 'primary')}</p>`}
	`);
}

/**
 * @param section - List.
 * @param entry - One of its entries.
 * @returns What the entry is called.
 */
export function nameOf(section: Section, entry: Entry): string {
	return textOf(section.id === 'takeovers' ? entry.service : entry.id);
}

function article(noun: string): string {
	return /^[aeiou]/v.test(noun) ? 'an' : 'a';
}

function filterBar(view: View, found: number, all: number): Html {
	const shown = Math.min(found, rowsShown);
	return html`
		<p class="bar"><label for="filter">Name contains</label>
		<input type="text" id="filter" name="filter" value="${view.filter}" autocomplete="off">
		${button({type: 'stay'}, 'Find')} <span>${shown} of ${count(all, 'entry').replace('entrys', 'entries')} shown</span></p>
	`;
}

function table(view: View, section: Section, rows: readonly Row[]): Html {
	const heads = [section.id === 'takeovers' ? 'Service' : 'Name', ...section.columns.map(({label}) => label)];
	return html`
		<div class="scroll"><table>
		<thead><tr>${heads.map(head => html`<th scope="col">${head}</th>`)}<th scope="col"><span class="hidden">Actions</span></th></tr></thead>
		<tbody>${rows.map(row => tableRow(view, section, row))}</tbody>
		</table></div>
	`;
}

function tableRow(view: View, section: Section, {entry, index}: Row): Html {
	const own = mistakesAt(view.review.mistakes, `$.${section.id}[${index}]`);
	const name = nameOf(section, entry);
	const shown = name === '' ? 'unnamed' : name;
	const sign = section.id === 'tokenKeys' && index > 0 ? button({type: 'sign', index}, `Sign with ${shown}`) : undefined;
	return html`
		<tr class="${own.length === 0 ? '' : 'wrong'}">
		<th scope="row">${button({type: 'go', place: {type: 'entry', section, index}}, shown)}${signs(section, index)}${mistakeList(own, `mistakes-${index}`)}</th>
		${section.columns.map(({path}) => html`<td>${cell(entry, path)}</td>`)}
		<td class="actions">${sign} ${button({type: 'remove', section, index}, `Remove ${shown}`, 'danger')}</td>
		</tr>
	`;
}

function signs(section: Section, index: number): Html | undefined {
	return section.id === 'tokenKeys' && index === 0 ? html` <span class="tag">signs</span>` : undefined;
}

function cell(entry: Entry, path: readonly string[]): string {
	const value = read(entry, path);
	return typeof value === 'boolean' ? (value ? 'yes' : 'no') : textOf(value);
}

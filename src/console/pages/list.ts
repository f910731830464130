/** Renders the pages of the document's lists. */
import {
	getEntries, getValueAt, formatJson, type JsonObject,
} from '../draft/json.js';
import {filterMistakes} from '../draft/review.js';
import {documentGroups, type Section} from '../draft/sections.js';
import {html, type Html} from '../html.js';
import {formatCount, renderDraftPage, type View} from './layout.js';
import {renderButton, renderFieldList, renderMistakeList} from './components.js';

/** Entries beyond this number are found with the name filter. */
const maxListedRows = 100;

type Row = {readonly entry: JsonObject; readonly index: number};

/**
 * @param view - Draft and its review.
 * @param section - List to show.
 * @returns The page.
 */
export function renderListPage(view: View, section: Section): string {
	const {draft} = view.state;
	const all = getEntries(draft, section.id).map((entry, index) => ({entry, index}));
	const found = all.filter(({entry}) => getEntryName(section, entry).includes(view.filter));
	const group = documentGroups[section.id];
	return renderDraftPage(view, section.title, html`
		<p>${section.intro}</p>
		<p class="bar">${section.kinds.map(kind => renderButton({type: 'add', section, kind: kind.id}, `Add ${getArticle(kind.label)} ${kind.label}`, 'primary'))}</p>
		${all.length > maxListedRows || view.filter !== '' ? renderFilterBar(view, found.length, all.length) : undefined}
		${found.length === 0 ? html`<p class="empty">There are no entries.</p>` : renderTable(view, section, found.slice(0, maxListedRows))}
		${group === undefined ? undefined : html`<h2>${group.title}</h2>${renderFieldList(draft, [], group.fields, view.review.mistakes)}<p>${renderButton({type: 'stay'}, 'Apply', 'primary')}</p>`}
	`);
}

/**
 * @param section - List.
 * @param entry - One of its entries.
 * @returns Name of the entry; that of its service for a takeover, which has no name.
 */
export function getEntryName(section: Section, entry: JsonObject): string {
	return formatJson(section.id === 'takeovers' ? entry.service : entry.id);
}

function getArticle(noun: string): string {
	return /^[aeiou]/v.test(noun) ? 'an' : 'a';
}

function renderFilterBar(view: View, found: number, all: number): Html {
	const shown = Math.min(found, maxListedRows);
	return html`
		<p class="bar"><label for="filter">Name contains</label>
		<input type="text" id="filter" name="filter" value="${view.filter}" autocomplete="off">
		${renderButton({type: 'stay'}, 'Find')} <span>${shown} of ${formatCount(all, 'entry').replace('entrys', 'entries')} shown</span></p>
	`;
}

function renderTable(view: View, section: Section, rows: readonly Row[]): Html {
	const headings = [section.id === 'takeovers' ? 'Service' : 'Name', ...section.columns.map(({label}) => label)];
	return html`
		<div class="scroll"><table>
		<thead><tr>${headings.map(heading => html`<th scope="col">${heading}</th>`)}<th scope="col"><span class="hidden">Actions</span></th></tr></thead>
		<tbody>${rows.map(row => renderRow(view, section, row))}</tbody>
		</table></div>
	`;
}

function renderRow(view: View, section: Section, {entry, index}: Row): Html {
	const ownMistakes = filterMistakes(view.review.mistakes, `$.${section.id}[${index}]`);
	const name = getEntryName(section, entry);
	const shown = name === '' ? 'unnamed' : name;
	const signButton = section.id === 'tokenKeys' && index > 0 ? renderButton({type: 'sign', index}, `Sign with ${shown}`) : undefined;
	return html`
		<tr class="${ownMistakes.length === 0 ? '' : 'wrong'}">
		<th scope="row">${renderButton({type: 'go', place: {type: 'entry', section, index}}, shown)}${renderSigningTag(section, index)}${renderMistakeList(ownMistakes, `mistakes-${index}`)}</th>
		${section.columns.map(({path}) => html`<td>${formatCell(entry, path)}</td>`)}
		<td class="actions">${signButton} ${renderButton({type: 'remove', section, index}, `Remove ${shown}`, 'danger')}</td>
		</tr>
	`;
}

function renderSigningTag(section: Section, index: number): Html | undefined {
	return section.id === 'tokenKeys' && index === 0 ? html` <span class="tag">signs</span>` : undefined;
}

function formatCell(entry: JsonObject, path: readonly string[]): string {
	const value = getValueAt(entry, path);
	return typeof value === 'boolean' ? (value ? 'yes' : 'no') : formatJson(value);
}

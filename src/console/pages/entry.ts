/** Renders the page of one entry of a list. */
import {getEntries, type JsonObject} from '../draft/json.js';
import {filterMistakes} from '../draft/review.js';
import {getEntryKind, type EntryKind, type Section} from '../draft/sections.js';
import {formatPath, type Mistake} from '../../protocol/configuration/index.js';
import {html, type Html} from '../html.js';
import {renderDraftPage, type View} from './layout.js';
import {getEntryName} from './list.js';
import {
	renderButton, renderFieldList, renderMistakeList,
} from './components.js';

/**
 * @param view - Draft and its review.
 * @param section - List of the entry.
 * @param index - Index of the entry in the list.
 * @returns The page; undefined if there is no such entry.
 */
export function renderEntryPage(view: View, section: Section, index: number): string | undefined {
	const entry = getEntries(view.state.draft, section.id)[index];
	if (entry === undefined) {
		return undefined;
	}

	const kind = getEntryKind(section, entry);
	const {mistakes} = view.review;
	return renderDraftPage(view, formatTitle(section, kind, entry), html`
		${renderMistakeList(findEntryMistakes(mistakes, section, index, kind), 'entry-mistakes')}
		${view.apiKey === undefined ? undefined : renderNewKey(view.apiKey)}
		${renderFieldList(view.state.draft, [section.id, index], kind.fields, mistakes)}
		<p class="bar">${renderButton({type: 'stay'}, 'Apply', 'primary')}
		${section.id === 'organisations' ? renderButton({type: 'make-key', index}, 'Make a new API key') : undefined}
		${renderButton({type: 'go', place: {type: 'list', section}}, `Back to ${section.title.toLowerCase()}`)}
		${renderButton({type: 'remove', section, index}, `Remove this ${kind.label}`, 'danger')}</p>
	`);
}

function formatTitle(section: Section, kind: EntryKind, entry: JsonObject): string {
	const label = kind.label.charAt(0).toUpperCase() + kind.label.slice(1);
	const name = getEntryName(section, entry);
	return name === '' ? `New ${kind.label}` : `${label} ${name}`;
}

/** Finds mistakes of the entry that belong to none of its fields. */
function findEntryMistakes(mistakes: readonly Mistake[], section: Section, index: number, kind: EntryKind): readonly Mistake[] {
	const path = [section.id, index];
	const fieldMistakes = new Set(kind.fields.flatMap(field => filterMistakes(mistakes, formatPath([...path, ...field.path]))));
	return filterMistakes(mistakes, formatPath(path)).filter(mistake => !fieldMistakes.has(mistake));
}

function renderNewKey(apiKey: string): Html {
	return html`<div class="notice" role="status"><p>New API key. It is shown only once; the document stores only its hash:</p><p><code>${apiKey}</code></p></div>`;
}

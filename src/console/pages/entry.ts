/** The page of one entry. */
import {entriesOf, type Entry} from '../draft/json.js';
import {mistakesAt} from '../draft/review.js';
import {kindOf, type EntryKind, type Section} from '../draft/sections.js';
import {formatPath, type Mistake} from '../../protocol/configuration/index.js';
import {html, type Html} from '../html.js';
import {draftPage, type View} from './layout.js';
import {nameOf} from './list.js';
import {
	button, fieldList, mistakeList,
} from './parts.js';

/**
 * @param view - What the page shows.
 * @param section - List.
 * @param index - Place of the entry in it.
 * @returns The page; undefined where there is no such entry.
 */
export function entryPage(view: View, section: Section, index: number): string | undefined {
	const entry = entriesOf(view.state.draft, section.id)[index];
	if (entry === undefined) {
		return undefined;
	}

	const kind = kindOf(section, entry);
	const {mistakes} = view.review;
	return draftPage(view, titleOf(section, kind, entry), html`
		${mistakeList(unplaced(mistakes, section, index, kind), 'entry-mistakes')}
		${view.apiKey === undefined ? undefined : newKey(view.apiKey)}
		${fieldList(view.state.draft, [section.id, index], kind.fields, mistakes)}
		<p class="bar">${button({type: 'stay'}, 'Apply', 'primary')}
		${section.id === 'organisations' ? button({type: 'make-key', index}, 'Make a new API key') : undefined}
		${button({type: 'go', place: {type: 'list', section}}, `Back to ${section.title.toLowerCase()}`)}
		${button({type: 'remove', section, index}, `Remove this ${kind.label}`, 'danger')}</p>
	`);
}

function titleOf(section: Section, kind: EntryKind, entry: Entry): string {
	const label = kind.label.charAt(0).toUpperCase() + kind.label.slice(1);
	const name = nameOf(section, entry);
	return name === '' ? `New ${kind.label}` : `${label} ${name}`;
}

/** Mistakes of the entry that belong to none of its fields. */
function unplaced(mistakes: readonly Mistake[], section: Section, index: number, kind: EntryKind): readonly Mistake[] {
	const path = [section.id, index];
	const placed = new Set(kind.fields.flatMap(field => mistakesAt(mistakes, formatPath([...path, ...field.path]))));
	return mistakesAt(mistakes, formatPath(path)).filter(mistake => !placed.has(mistake));
}

function newKey(apiKey: string): Html {
	return html`<div class="notice" role="status"><p>New API key, shown only now; the document holds its hash alone:</p><p><code>${apiKey}</code></p></div>`;
}

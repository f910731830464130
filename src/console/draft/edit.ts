/** Edits a draft: applies typed fields, adds, removes and reorders entries. */
import {createHash, randomBytes} from 'node:crypto';
import {raise} from '../../core/index.js';
import {getFieldName, parseValue, type Field} from './fields.js';
import {
	getEntries,
	isJsonArray,
	getValueAt,
	setValueAt,
	type Draft,
	type Path,
} from './json.js';
import {type Action, type Place} from './actions.js';
import {
	documentGroups,
	getEntryKind,
	findSection,
	type Section,
} from './sections.js';

const secretBytes = 32;

/** Optional objects of the document, removed when all of these fields are empty. */
const optionalGroups: ReadonlyArray<{readonly group: string; readonly fields: readonly string[]}> = [
	{group: 'target', fields: ['target.model', 'target.version']},
	{group: 'weightStore', fields: ['weightStore.address.host', 'weightStore.address.port', 'weightStore.loadsPerSecond']},
];

/** The changed draft and the page to show next. */
export type EditResult = {
	readonly draft: Draft;
	readonly place: Place;
	/** Newly created API key, to be shown once. */
	readonly apiKey?: string;
};

/**
 * @param draft - Draft before the post.
 * @param place - Page that the form was on.
 * @param form - Posted form.
 * @returns The draft with the typed values.
 */
export function applyFields(draft: Draft, place: Place, form: URLSearchParams): Draft {
	switch (place.type) {
		case 'review': {
			return draft;
		}

		case 'list': {
			return applyFieldValues(draft, [], documentGroups[place.section.id]?.fields ?? [], form);
		}

		case 'entry': {
			const {section, index} = place;
			const entry = getEntries(draft, section.id)[index];
			return entry === undefined ? draft : applyFieldValues(draft, [section.id, index], getEntryKind(section, entry).fields, form);
		}
	}
}

function applyFieldValues(draft: Draft, path: Path, fields: readonly Field[], form: URLSearchParams): Draft {
	let next = draft;
	for (const field of fields) {
		const text = form.get(getFieldName(field));
		if (text !== null) {
			next = setValueAt(next, [...path, ...field.path], parseValue(field.kind, text));
		}
	}

	for (const group of findEmptyGroups(next, path, fields)) {
		next = setValueAt(next, [...path, group], undefined);
	}

	return next;
}

function findEmptyGroups(draft: Draft, path: Path, fields: readonly Field[]): readonly string[] {
	return optionalGroups
		.filter(({fields: members}) => {
			const present = fields.filter(field => members.includes(field.path.join('.')));
			return present.length > 0 && present.every(field => getValueAt(draft, [...path, ...field.path]) === undefined);
		})
		.map(({group}) => group);
}

/**
 * @param draft - Draft with the typed values.
 * @param place - Page that the button was on.
 * @param action - Action of the button.
 * @returns The changed draft and the page to show.
 * @throws Failure `badForm` for an unknown kind of entry.
 */
export function applyAction(draft: Draft, place: Place, action: Action): EditResult {
	switch (action.type) {
		case 'stay':
		case 'download': {
			return {draft, place};
		}

		case 'go': {
			return {draft, place: action.place};
		}

		case 'add': {
			return addEntry(draft, action.section, action.kind);
		}

		case 'remove': {
			const {section, index} = action;
			const entries = getEntries(draft, section.id).filter((_, each) => each !== index);
			return {draft: setValueAt(draft, [section.id], entries), place: {type: 'list', section}};
		}

		case 'sign': {
			const keys = getEntries(draft, 'tokenKeys');
			const first = keys.filter((_, index) => index === action.index);
			const others = keys.filter((_, index) => index !== action.index);
			return {draft: setValueAt(draft, ['tokenKeys'], [...first, ...others]), place};
		}

		case 'make-key': {
			return addApiKey(draft, action.index);
		}
	}
}

function addEntry(draft: Draft, section: Section, kindId: string): EditResult {
	const kind = section.kinds.find(each => each.id === kindId) ?? raise('badForm', `There is no kind "${kindId}".`);
	const entries = getEntries(draft, section.id);
	const entry = section.id === 'tokenKeys'
		? {...kind.fresh, secret: randomBytes(secretBytes).toString('hex')}
		: kind.fresh;
	return {
		draft: setValueAt(draft, [section.id], [...entries, entry]),
		place: {type: 'entry', section, index: entries.length},
	};
}

function addApiKey(draft: Draft, index: number): EditResult {
	const section = findSection('organisations')!;
	const apiKey = randomBytes(secretBytes).toString('base64url');
	const hash = createHash('sha256').update(apiKey).digest('hex');
	const hashes = getValueAt(draft, [section.id, index, 'keyHashes']);
	return {
		draft: setValueAt(draft, [section.id, index, 'keyHashes'], [...(isJsonArray(hashes) ? hashes : []), hash]),
		place: {type: 'entry', section, index},
		apiKey,
	};
}

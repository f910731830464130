/** Changes a draft: takes over typed fields, adds, removes and reorders entries. */
import {createHash, randomBytes} from 'node:crypto';
import {raise} from '../../core/index.js';
import {fieldName, readValue, type Field} from './fields.js';
import {
	entriesOf,
	isList,
	read,
	write,
	type Draft,
	type Path,
} from './json.js';
import {type Action, type Place} from './place.js';
import {
	documentGroups,
	kindOf,
	sectionOf,
	type Section,
} from './sections.js';

const keyBytes = 32;

/** Objects that are left out as a whole when these fields are empty. */
const optionalGroups: ReadonlyArray<{readonly group: string; readonly fields: readonly string[]}> = [
	{group: 'target', fields: ['target.model', 'target.version']},
	{group: 'weightStore', fields: ['weightStore.address.host', 'weightStore.address.port', 'weightStore.loadsPerSecond']},
];

/** What an action leads to. */
export type Edited = {
	readonly draft: Draft;
	readonly place: Place;
	/** An API key just made, to be shown once. */
	readonly apiKey?: string;
};

/**
 * @param draft - Draft.
 * @param place - Where the form was filled in.
 * @param form - What was typed.
 * @returns The draft with it.
 */
export function takeFields(draft: Draft, place: Place, form: URLSearchParams): Draft {
	switch (place.type) {
		case 'review': {
			return draft;
		}

		case 'list': {
			return takeGroup(draft, [], documentGroups[place.section.id]?.fields ?? [], form);
		}

		case 'entry': {
			const {section, index} = place;
			const entry = entriesOf(draft, section.id)[index];
			return entry === undefined ? draft : takeGroup(draft, [section.id, index], kindOf(section, entry).fields, form);
		}
	}
}

function takeGroup(draft: Draft, path: Path, fields: readonly Field[], form: URLSearchParams): Draft {
	let next = draft;
	for (const field of fields) {
		const text = form.get(fieldName(field));
		if (text !== null) {
			next = write(next, [...path, ...field.path], readValue(field.kind, text));
		}
	}

	for (const group of emptyGroups(next, path, fields)) {
		next = write(next, [...path, group], undefined);
	}

	return next;
}

function emptyGroups(draft: Draft, path: Path, fields: readonly Field[]): readonly string[] {
	return optionalGroups
		.filter(({fields: members}) => {
			const asked = fields.filter(field => members.includes(field.path.join('.')));
			return asked.length > 0 && asked.every(field => read(draft, [...path, ...field.path]) === undefined);
		})
		.map(({group}) => group);
}

/**
 * @param draft - Draft with all that was typed.
 * @param place - Where the button was pressed.
 * @param action - What it asks for.
 * @returns The draft and the place to show.
 */
export function act(draft: Draft, place: Place, action: Action): Edited {
	switch (action.type) {
		case 'stay':
		case 'download': {
			return {draft, place};
		}

		case 'go': {
			return {draft, place: action.place};
		}

		case 'add': {
			return add(draft, action.section, action.kind);
		}

		case 'remove': {
			const {section, index} = action;
			const entries = entriesOf(draft, section.id).filter((_, each) => each !== index);
			return {draft: write(draft, [section.id], entries), place: {type: 'list', section}};
		}

		case 'sign': {
			const keys = entriesOf(draft, 'tokenKeys');
			const first = keys.filter((_, index) => index === action.index);
			const others = keys.filter((_, index) => index !== action.index);
			return {draft: write(draft, ['tokenKeys'], [...first, ...others]), place};
		}

		case 'make-key': {
			return makeApiKey(draft, action.index);
		}
	}
}

function add(draft: Draft, section: Section, kindId: string): Edited {
	const kind = section.kinds.find(each => each.id === kindId) ?? raise('badForm', `There is no kind "${kindId}".`);
	const entries = entriesOf(draft, section.id);
	const fresh = section.id === 'tokenKeys'
		? {...kind.fresh, secret: randomBytes(keyBytes).toString('hex')}
		: kind.fresh;
	return {
		draft: write(draft, [section.id], [...entries, fresh]),
		place: {type: 'entry', section, index: entries.length},
	};
}

function makeApiKey(draft: Draft, index: number): Edited {
	const section = sectionOf('organisations')!;
	const apiKey = randomBytes(keyBytes).toString('base64url');
	const hash = createHash('sha256').update(apiKey).digest('hex');
	const hashes = read(draft, [section.id, index, 'keyHashes']);
	return {
		draft: write(draft, [section.id, index, 'keyHashes'], [...(isList(hashes) ? hashes : []), hash]),
		place: {type: 'entry', section, index},
		apiKey,
	};
}

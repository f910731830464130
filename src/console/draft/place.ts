/** Places in the console and what its buttons ask for, as text in a form. */
import {raise} from '../../core/index.js';
import {sectionOf, type Section} from './sections.js';

export type Place
	= | {readonly type: 'review'}
		| {readonly type: 'list'; readonly section: Section}
		| {readonly type: 'entry'; readonly section: Section; readonly index: number};

export type Action
	/** Keep what was typed and show the same place again. */
	= | {readonly type: 'stay'}
		| {readonly type: 'go'; readonly place: Place}
		| {readonly type: 'add'; readonly section: Section; readonly kind: string}
		| {readonly type: 'remove'; readonly section: Section; readonly index: number}
	/** Make a token key the one that signs. */
		| {readonly type: 'sign'; readonly index: number}
	/** Make an API key for an organisation. */
		| {readonly type: 'make-key'; readonly index: number}
		| {readonly type: 'download'};

/**
 * @param place - Place.
 * @returns Its text in a form.
 */
export function formatPlace(place: Place): string {
	switch (place.type) {
		case 'review': {
			return 'review';
		}

		case 'list': {
			return `list/${place.section.id}`;
		}

		case 'entry': {
			return `entry/${place.section.id}/${place.index}`;
		}
	}
}

/**
 * @param text - Field of a form.
 * @returns The place.
 * @throws Failure `badForm`.
 */
export function parsePlace(text: string): Place {
	const [type, section, index] = text.split('/');
	switch (type) {
		case 'review': {
			return {type};
		}

		case 'list': {
			return {type, section: readSection(section)};
		}

		case 'entry': {
			return {type, section: readSection(section), index: readIndex(index)};
		}

		default: {
			return raise('badForm', `There is no place "${text}".`);
		}
	}
}

/**
 * @param action - What a button asks for.
 * @returns Its text in a form.
 */
export function formatAction(action: Action): string {
	switch (action.type) {
		case 'stay':
		case 'download': {
			return action.type;
		}

		case 'go': {
			return `go/${formatPlace(action.place)}`;
		}

		case 'add': {
			return `add/${action.section.id}/${action.kind}`;
		}

		case 'remove': {
			return `remove/${action.section.id}/${action.index}`;
		}

		case 'sign':
		case 'make-key': {
			return `${action.type}/${action.index}`;
		}
	}
}

/**
 * @param text - Field of a form.
 * @returns What the button asks for.
 * @throws Failure `badForm`.
 */
export function parseAction(text: string): Action {
	const [type, first, second] = text.split('/');
	switch (type) {
		case 'stay':
		case 'download': {
			return {type};
		}

		case 'go': {
			return {type, place: parsePlace(text.slice('go/'.length))};
		}

		case 'add': {
			return {type, section: readSection(first), kind: second ?? ''};
		}

		case 'remove': {
			return {type, section: readSection(first), index: readIndex(second)};
		}

		case 'sign':
		case 'make-key': {
			return {type, index: readIndex(first)};
		}

		default: {
			return raise('badForm', `There is no action "${text}".`);
		}
	}
}

function readSection(text = ''): Section {
	return sectionOf(text) ?? raise('badForm', `There is no list "${text}".`);
}

function readIndex(text = ''): number {
	return /^\d{1,7}$/v.test(text) ? Number(text) : raise('badForm', `"${text}" is no place in a list.`);
}

/** Pages and button actions of the console, and their text in form fields. */
import {raise} from '../../core/index.js';
import {findSection, type Section} from './sections.js';

/** A page of a draft: the review, one of the document's lists or one entry of a list. */
export type Place
	= | {readonly type: 'review'}
		| {readonly type: 'list'; readonly section: Section}
		| {readonly type: 'entry'; readonly section: Section; readonly index: number};

/** Action of a button. */
export type Action
	/** Keep the typed values and show the same page again. */
	= | {readonly type: 'stay'}
		| {readonly type: 'go'; readonly place: Place}
		| {readonly type: 'add'; readonly section: Section; readonly kind: string}
		| {readonly type: 'remove'; readonly section: Section; readonly index: number}
	/** Move a token key to the top, so that it signs. */
		| {readonly type: 'sign'; readonly index: number}
	/** Create an API key for an organisation. */
		| {readonly type: 'make-key'; readonly index: number}
		| {readonly type: 'download'};

/**
 * @param place - Page.
 * @returns Its text in a form field.
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
 * @param text - Text of a form field.
 * @returns The page.
 * @throws Failure `badForm`.
 */
export function parsePlace(text: string): Place {
	const [type, section, index] = text.split('/');
	switch (type) {
		case 'review': {
			return {type};
		}

		case 'list': {
			return {type, section: parseSection(section)};
		}

		case 'entry': {
			return {type, section: parseSection(section), index: parseIndex(index)};
		}

		default: {
			return raise('badForm', `There is no place "${text}".`);
		}
	}
}

/**
 * @param action - Action of a button.
 * @returns Its text in a form field.
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
 * @param text - Text of a form field.
 * @returns The action.
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
			return {type, section: parseSection(first), kind: second ?? ''};
		}

		case 'remove': {
			return {type, section: parseSection(first), index: parseIndex(second)};
		}

		case 'sign':
		case 'make-key': {
			return {type, index: parseIndex(first)};
		}

		default: {
			return raise('badForm', `There is no action "${text}".`);
		}
	}
}

function parseSection(text = ''): Section {
	return findSection(text) ?? raise('badForm', `There is no list "${text}".`);
}

function parseIndex(text = ''): number {
	return /^\d{1,7}$/v.test(text) ? Number(text) : raise('badForm', `"${text}" is not an index of a list.`);
}

/** Answers posts: takes what was typed, does what the button asks for and shows the next page. */
import {
	codes,
	raise,
	texts,
	type CodeName,
} from '../core/index.js';
import {act, takeFields, type Edited} from './draft/edit.js';
import {parseAction, parsePlace, type Place} from './draft/place.js';
import {reviewOf} from './draft/review.js';
import {readState, startDraft, type State} from './draft/state.js';
import {entryPage} from './pages/entry.js';
import {type View} from './pages/layout.js';
import {listPage} from './pages/list.js';
import {reviewPage} from './pages/review.js';
import {readInForce, standingOf, type Source} from './source.js';

/** What is sent back. */
export type Answer
	= | {readonly type: 'page'; readonly text: string}
		| {readonly type: 'style'; readonly text: string}
		| {readonly type: 'document'; readonly text: string; readonly revision: number};

/** What answers depend on beside the post. */
export type Desk = {
	readonly source: Source;
	/** Proves that a post comes from a page of this console. */
	readonly token: string;
};

const review: Place = {type: 'review'};

/**
 * @param desk - Source and token.
 * @param form - The post, with a document to start from unless the one in force is meant.
 * @returns The first page of the draft.
 * @throws Failure of the document's first mistake, or of the source.
 */
export async function answerStart(desk: Desk, form: URLSearchParams): Promise<Answer> {
	const state = startDraft(form.get('document') ?? await readInForce(desk.source));
	return show(await viewOf(desk, state, {draft: state.draft, place: review}));
}

/**
 * @param desk - Source and token.
 * @param form - The post.
 * @returns The next page, or the finished document.
 * @throws Failure `badForm`.
 */
export async function answerDraft(desk: Desk, form: URLSearchParams): Promise<Answer> {
	const state = readState(form.get('base') ?? '', form.get('draft') ?? '');
	const place = parsePlace(form.get('place') ?? '');
	const action = parseAction(form.get('action') ?? '');
	const edited = act(takeFields(state.draft, place, form), place, action);
	const view = await viewOf(desk, state, edited, form.get('filter') ?? '');
	return action.type === 'download' ? download(view, form.get('accepted') === 'yes') : show(view);
}

async function viewOf({source, token}: Desk, state: State, {draft, place, apiKey}: Edited, filter = ''): Promise<View> {
	const next = {...state, draft};
	const standing = await standingOf(source, state.base);
	return {
		state: next,
		place,
		standing,
		review: reviewOf(next, standing),
		token,
		apiKey,
		filter,
	};
}

function download(view: View, isAccepted: boolean): Answer {
	const {revision, text, mistakes, warnings} = view.review;
	if (mistakes.length > 0) {
		return show({...view, place: review, refusal: 'The document cannot be downloaded while it has mistakes.'});
	}

	if (!isAccepted && (warnings.length > 0 || view.standing.type !== 'in-force')) {
		const reason = inWords(view.standing.type === 'superseded' ? 'baseNotInForce' : 'dangerousChange');
		return show({...view, place: review, refusal: `${reason} Tick that you have read the warnings, then download again.`});
	}

	return {type: 'document', text, revision};
}

function inWords(name: CodeName): string {
	return `${codes[name]} ${texts[name]}`;
}

function show(view: View): Answer {
	return {type: 'page', text: pageOf(view)};
}

function pageOf(view: View): string {
	const {place} = view;
	switch (place.type) {
		case 'review': {
			return reviewPage(view);
		}

		case 'list': {
			return listPage(view, place.section);
		}

		case 'entry': {
			return entryPage(view, place.section, place.index) ?? raise('badForm', 'There is no such entry.');
		}
	}
}

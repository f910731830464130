/** Handles posted forms: applies the typed fields and the action of the pressed button, then renders the next page. */
import {
	codes,
	raise,
	texts,
	type CodeName,
} from '../core/index.js';
import {applyAction, applyFields, type EditResult} from './draft/edit.js';
import {parseAction, parsePlace, type Place} from './draft/actions.js';
import {reviewDraft} from './draft/review.js';
import {parseState, startDraft, type DraftState} from './draft/state.js';
import {renderEntryPage} from './pages/entry.js';
import {type View} from './pages/layout.js';
import {renderListPage} from './pages/list.js';
import {renderReviewPage} from './pages/review.js';
import {readInForce, checkBase, type Source} from './source.js';

/** Content of an HTTP response. */
export type ConsoleResponse
	= | {readonly type: 'page'; readonly text: string}
		| {readonly type: 'style'; readonly text: string}
		| {readonly type: 'document'; readonly text: string; readonly revision: number};

/** Values that the handlers need besides the form. */
export type HandlerOptions = {
	readonly source: Source;
	/** Included in every form, to prove that a post comes from a page of this console. */
	readonly token: string;
};

const reviewPlace: Place = {type: 'review'};

/**
 * Starts a draft.
 *
 * @param options - Source and token.
 * @param form - Form whose field `document` has the base; without it the document in force is the base.
 * @returns The first page of the draft.
 * @throws Failure of the document's first mistake, or of reading the source.
 */
export async function handleStart(options: HandlerOptions, form: URLSearchParams): Promise<ConsoleResponse> {
	const state = startDraft(form.get('document') ?? await readInForce(options.source));
	return respondWithPage(await createView(options, state, {draft: state.draft, place: reviewPlace}));
}

/**
 * Applies one form to a draft.
 *
 * @param options - Source and token.
 * @param form - Form of a draft page.
 * @returns The next page, or the finished document.
 * @throws Failure `badForm`.
 */
export async function handleDraft(options: HandlerOptions, form: URLSearchParams): Promise<ConsoleResponse> {
	const state = parseState(form.get('base') ?? '', form.get('draft') ?? '');
	const place = parsePlace(form.get('place') ?? '');
	const action = parseAction(form.get('action') ?? '');
	const edited = applyAction(applyFields(state.draft, place, form), place, action);
	const view = await createView(options, state, edited, form.get('filter') ?? '');
	return action.type === 'download' ? downloadDocument(view, form.get('accepted') === 'yes') : respondWithPage(view);
}

async function createView({source, token}: HandlerOptions, state: DraftState, {draft, place, apiKey}: EditResult, filter = ''): Promise<View> {
	const next = {...state, draft};
	const baseStatus = await checkBase(source, state.base);
	return {
		state: next,
		place,
		baseStatus,
		review: reviewDraft(next, baseStatus),
		token,
		apiKey,
		filter,
	};
}

function downloadDocument(view: View, isAccepted: boolean): ConsoleResponse {
	const {revision, text, mistakes, warnings} = view.review;
	if (mistakes.length > 0) {
		return respondWithPage({...view, place: reviewPlace, refusal: 'The document cannot be downloaded while it has mistakes.'});
	}

	if (!isAccepted && (warnings.length > 0 || view.baseStatus.type !== 'in-force')) {
		const reason = describeCode(view.baseStatus.type === 'superseded' ? 'baseNotInForce' : 'dangerousChange');
		return respondWithPage({...view, place: reviewPlace, refusal: `${reason} Tick that you have read the warnings, then download again.`});
	}

	return {type: 'document', text, revision};
}

function describeCode(name: CodeName): string {
	return `${codes[name]} ${texts[name]}`;
}

function respondWithPage(view: View): ConsoleResponse {
	return {type: 'page', text: renderView(view)};
}

function renderView(view: View): string {
	const {place} = view;
	switch (place.type) {
		case 'review': {
			return renderReviewPage(view);
		}

		case 'list': {
			return renderListPage(view, place.section);
		}

		case 'entry': {
			return renderEntryPage(view, place.section, place.index) ?? raise('badForm', 'There is no such entry.');
		}
	}
}

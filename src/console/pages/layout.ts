/** Renders what all pages share: head, navigation, the hidden fields with the draft and the notice about its base. */
import {describeChange, compareConfigurations} from '../../protocol/configuration/index.js';
import {formatPlace, type Place} from '../draft/actions.js';
import {getEntries} from '../draft/json.js';
import {filterMistakes, type Review} from '../draft/review.js';
import {sections} from '../draft/sections.js';
import {pack, type DraftState} from '../draft/state.js';
import {html, type Html} from '../html.js';
import {type BaseStatus} from '../source.js';
import {renderButton} from './components.js';

/** Content of a draft page. */
export type View = {
	readonly state: DraftState;
	readonly place: Place;
	readonly baseStatus: BaseStatus;
	readonly review: Review;
	/** Included in every form, to prove that a post comes from a page of this console. */
	readonly token: string;
	/** Newly created API key, to be shown once. */
	readonly apiKey?: string;
	/** Text that the names of listed entries contain. */
	readonly filter: string;
	/** Why a download was refused. */
	readonly refusal?: string;
};

/** Changes between the base and the document in force that the notice lists. */
const maxListedChanges = 20;

/**
 * @param title - Title of the page.
 * @param content - Content of the body.
 * @returns The whole page.
 */
export function renderPage(title: string, content: Html): string {
	return html`
		<!doctype html>
		<html lang="en">
		<head>
		<meta charset="utf-8">
		<meta name="viewport" content="width=device-width, initial-scale=1">
		<title>${title} – cranberrytide console</title>
		<link rel="stylesheet" href="/style.css">
		</head>
		<body>
		<a class="skip" href="#main">Skip to content</a>
		${content}
		</body>
		</html>
	`.toString();
}

/**
 * @param view - Draft and its review.
 * @param title - Title and main heading of the page.
 * @param content - Content below the heading.
 * @returns The whole page.
 */
export function renderDraftPage(view: View, title: string, content: Html): string {
	const {state, place, token} = view;
	return renderPage(title, html`
		<form method="post" action="/draft" accept-charset="utf-8">
		<input type="hidden" name="token" value="${token}">
		<input type="hidden" name="base" value="${pack(state.baseText)}">
		<input type="hidden" name="draft" value="${pack(JSON.stringify(state.draft))}">
		<input type="hidden" name="place" value="${formatPlace(place)}">
		<button name="action" value="stay" class="default" tabindex="-1" aria-hidden="true">Apply</button>
		<header>
		<p class="brand">cranberrytide console</p>
		${renderSummary(view)}
		<nav aria-label="Sections"><ul>${[renderReviewTab(view), ...sections.map(section => renderTab(view, section.id, section.title))]}</ul></nav>
		</header>
		<main id="main">
		${renderBaseNotice(view)}
		<h1>${title}</h1>
		${content}
		</main>
		</form>
	`);
}

function renderSummary({state, review}: View): Html {
	const changes = review.changes === undefined ? 'changes not valid yet' : formatCount(review.changes.length, 'change');
	const findings = `${formatCount(countMistakes(review), 'mistake')}, ${formatCount(review.warnings.length, 'warning')}`;
	return html`<p class="summary">Draft of revision ${review.revision} based on ${state.base.configuration.revision}: ${changes}, ${findings}</p>`;
}

function countMistakes({mistakes, further}: Review): number {
	return mistakes.length + further;
}

/**
 * @param number - Count.
 * @param noun - Noun in the singular.
 * @returns The count with the noun, in the plural unless the count is 1.
 */
export function formatCount(number: number, noun: string): string {
	return `${number} ${noun}${number === 1 ? '' : 's'}`;
}

function renderReviewTab({place, review}: View): Html {
	return html`<li class="${place.type === 'review' ? 'current' : ''}">${renderButton({type: 'go', place: {type: 'review'}}, 'Review')}${renderBadge(countMistakes(review))}</li>`;
}

function renderTab({place, review, state}: View, id: string, title: string): Html {
	const section = sections.find(each => each.id === id)!;
	const isCurrent = place.type !== 'review' && place.section.id === id;
	const label = `${title} (${getEntries(state.draft, id).length})`;
	return html`<li class="${isCurrent ? 'current' : ''}">${renderButton({type: 'go', place: {type: 'list', section}}, label)}${renderBadge(filterMistakes(review.mistakes, `$.${id}`).length)}</li>`;
}

function renderBadge(mistakes: number): Html | undefined {
	return mistakes === 0 ? undefined : html`<span class="badge" title="mistakes">${formatCount(mistakes, 'mistake')}</span>`;
}

function renderBaseNotice({state, baseStatus}: View): Html | undefined {
	switch (baseStatus.type) {
		case 'in-force': {
			return undefined;
		}

		case 'unknown': {
			return html`<div class="notice" role="status"><p>Whether revision ${state.base.configuration.revision} is still in force could not be checked. ${baseStatus.reason}</p></div>`;
		}

		case 'superseded': {
			const changes = compareConfigurations(state.base.configuration, baseStatus.inForce.configuration).map(change => describeChange(change));
			const further = changes.length - maxListedChanges;
			return html`
				<div class="notice strong" role="alert">
				<p>The base of this draft is no longer in force. Publishing the draft would undo what revision ${baseStatus.inForce.configuration.revision} has changed:</p>
				<ul>${changes.slice(0, maxListedChanges).map(change => html`<li>${change}</li>`)}${further > 0 ? html`<li>and ${further} more</li>` : undefined}</ul>
				<p><a href="/">Start again from the document in force</a></p>
				</div>
			`;
		}
	}
}

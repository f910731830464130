/** The frame of every page: head, navigation, the draft that travels along, and what is known of its base. */
import {changeInWords, difference} from '../../protocol/configuration/index.js';
import {formatPlace, type Place} from '../draft/place.js';
import {entriesOf} from '../draft/json.js';
import {mistakesAt, type Review} from '../draft/review.js';
import {sections} from '../draft/sections.js';
import {pack, type State} from '../draft/state.js';
import {html, type Html} from '../html.js';
import {type Standing} from '../source.js';
import {button} from './parts.js';

/** All that a page of a draft shows. */
export type View = {
	readonly state: State;
	readonly place: Place;
	readonly standing: Standing;
	readonly review: Review;
	/** Proves that a post comes from a page of this console. */
	readonly token: string;
	/** An API key just made, to be shown once. */
	readonly apiKey?: string;
	/** Part of the names to list. */
	readonly filter: string;
	/** Why a download was not given. */
	readonly refusal?: string;
};

/** Changes of another revision that are listed. */
const changesShown = 20;

/**
 * @param title - Title of the page.
 * @param content - Its content.
 * @returns The whole page.
 */
export function page(title: string, content: Html): string {
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
 * @param view - What the page shows.
 * @param title - Title of the page.
 * @param content - Its content.
 * @returns The whole page.
 */
export function draftPage(view: View, title: string, content: Html): string {
	const {state, place, token} = view;
	return page(title, html`
		<form method="post" action="/draft" accept-charset="utf-8">
		<input type="hidden" name="token" value="${token}">
		<input type="hidden" name="base" value="${pack(state.baseText)}">
		<input type="hidden" name="draft" value="${pack(JSON.stringify(state.draft))}">
		<input type="hidden" name="place" value="${formatPlace(place)}">
		<button name="action" value="stay" class="default" tabindex="-1" aria-hidden="true">Apply</button>
		<header>
		<p class="brand">cranberrytide console</p>
		${summary(view)}
		<nav aria-label="Sections"><ul>${[reviewTab(view), ...sections.map(section => tab(view, section.id, section.title))]}</ul></nav>
		</header>
		<main id="main">
		${standingNotice(view)}
		<h1>${title}</h1>
		${content}
		</main>
		</form>
	`);
}

function summary({state, review}: View): Html {
	const changes = review.changes === undefined ? 'changes not yet valid' : count(review.changes.length, 'change');
	const findings = `${count(mistakeCount(review), 'mistake')}, ${count(review.warnings.length, 'warning')}`;
	return html`<p class="summary">Draft of revision ${review.revision} on ${state.base.configuration.revision}: ${changes}, ${findings}</p>`;
}

function mistakeCount({mistakes, further}: Review): number {
	return mistakes.length + further;
}

/**
 * @param number - How many.
 * @param noun - What, in the singular.
 * @returns Both in words.
 */
export function count(number: number, noun: string): string {
	return `${number} ${noun}${number === 1 ? '' : 's'}`;
}

function reviewTab({place, review}: View): Html {
	return html`<li class="${place.type === 'review' ? 'current' : ''}">${button({type: 'go', place: {type: 'review'}}, 'Review')}${badge(mistakeCount(review))}</li>`;
}

function tab({place, review, state}: View, id: string, title: string): Html {
	const section = sections.find(each => each.id === id)!;
	const isCurrent = place.type !== 'review' && place.section.id === id;
	const label = `${title} (${entriesOf(state.draft, id).length})`;
	return html`<li class="${isCurrent ? 'current' : ''}">${button({type: 'go', place: {type: 'list', section}}, label)}${badge(mistakesAt(review.mistakes, `$.${id}`).length)}</li>`;
}

function badge(mistakes: number): Html | undefined {
	return mistakes === 0 ? undefined : html`<span class="badge" title="mistakes">${count(mistakes, 'mistake')}</span>`;
}

function standingNotice({state, standing}: View): Html | undefined {
	switch (standing.type) {
		case 'in-force': {
			return undefined;
		}

		case 'unknown': {
			return html`<div class="notice" role="status"><p>Whether revision ${state.base.configuration.revision} is still in force could not be checked. ${standing.reason}</p></div>`;
		}

		case 'superseded': {
			const changes = difference(state.base.configuration, standing.inForce.configuration).map(change => changeInWords(change));
			const further = changes.length - changesShown;
			return html`
				<div class="notice strong" role="alert">
				<p>The base of this draft is no longer in force. Publishing the draft would undo what revision ${standing.inForce.configuration.revision} has changed:</p>
				<ul>${changes.slice(0, changesShown).map(change => html`<li>${change}</li>`)}${further > 0 ? html`<li>and ${further} more</li>` : undefined}</ul>
				<p><a href="/">Start again from the document in force</a></p>
				</div>
			`;
		}
	}
}

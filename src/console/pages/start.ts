/** Renders the start page and error pages. */
import {html} from '../html.js';
import {type Source} from '../source.js';
import {renderPage} from './layout.js';

/**
 * @param source - Where the document in force is read from.
 * @param token - Included in the form, to prove that a post comes from a page of this console.
 * @returns The page.
 */
export function renderStartPage(source: Source, token: string): string {
	const from = source.type === 'hosts' ? 'the hosts' : 'the file that the console was started with';
	return renderPage('Start', html`
				<header><p class="brand">cranberrytide console</p></header>
				<main id="main">
				<h1>Change the configuration</h1>
				<p>Start a draft, edit it in forms, review the changes and download one validated document.
		The console stores and publishes nothing. The draft exists only in the open page, so keep the tab open until you have downloaded the document.</p>
				${source.type === 'none'
					? undefined
					: html`
						<form method="post" action="/start" class="box">
						<input type="hidden" name="token" value="${token}">
						<h2>From the document in force</h2>
						<p>The document is read from ${from}.</p>
						<p><button class="primary">Start a draft</button></p>
						</form>
					`}
				<form method="post" action="/start" class="box">
				<input type="hidden" name="token" value="${token}">
				<h2>From another document</h2>
				<p><label for="document">Document</label></p>
				<p><textarea id="document" name="document" rows="10" spellcheck="false" required></textarea></p>
				<p><button>Start a draft from it</button></p>
				</form>
				</main>
	`);
}

/**
 * @param code - Result code.
 * @param message - Error message.
 * @returns The page.
 */
export function renderErrorPage(code: number, message: string): string {
	return renderPage('Error', html`
		<header><p class="brand">cranberrytide console</p></header>
		<main id="main">
		<h1>The request failed</h1>
		<div class="notice strong" role="alert"><p>${message}</p></div>
		<p>Result code ${code}. Go back in your browser to return to the draft, or <a href="/">start again</a>.</p>
		</main>
	`);
}

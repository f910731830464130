/** The first page, and the page of an error. */
import {html} from '../html.js';
import {type Source} from '../source.js';
import {page} from './layout.js';

/**
 * @param source - Where the document in force is read from.
 * @param token - Proves that a post comes from a page of this console.
 * @returns The page.
 */
export function startPage(source: Source, token: string): string {
	const from = source.type === 'hosts' ? 'the hosts' : 'the file that the console was started with';
	return page('Start', html`
				<header><p class="brand">cranberrytide console</p></header>
				<main id="main">
				<h1>Change the configuration</h1>
				<p>Start a draft, change it in forms, see the change in words and download one validated document.
		The console stores and publishes nothing; the draft travels in your pages, so keep the tab open until you have downloaded it.</p>
				${source.type === 'none'
					? undefined
					: html`
						<form method="post" action="/start" class="box">
						<input type="hidden" name="token" value="${token}">
						<h2>From the document in force</h2>
						<p>It is read from ${from}.</p>
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
 * @param message - What was wrong.
 * @returns The page.
 */
export function errorPage(code: number, message: string): string {
	return page('Error', html`
		<header><p class="brand">cranberrytide console</p></header>
		<main id="main">
		<h1>That did not work</h1>
		<div class="notice strong" role="alert"><p>${message}</p></div>
		<p>Result code ${code}. Go back in your browser to return to the draft, or <a href="/">start again</a>.</p>
		</main>
	`);
}

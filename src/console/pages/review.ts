/** The page that says what the draft changes and gives the finished document. */
import {type Mistake} from '../../protocol/configuration/index.js';
import {sectionOf} from '../draft/sections.js';
import {html, type Html} from '../html.js';
import {draftPage, type View} from './layout.js';
import {button} from './parts.js';

/**
 * @param view - What the page shows.
 * @returns The page.
 */
export function reviewPage(view: View): string {
	const {review, refusal} = view;
	return draftPage(view, 'Review and download', html`
		${refusal === undefined ? undefined : html`<div class="notice strong" role="alert"><p>${refusal}</p></div>`}
		${review.mistakes.length === 0 ? undefined : mistakes(view)}
		${review.changes === undefined ? undefined : changes(review.changes)}
		${review.warnings.length === 0 ? undefined : html`<h2>Warnings</h2><ul class="warnings">${review.warnings.map(warning => html`<li>${warning}</li>`)}</ul>`}
		${review.changes === undefined || review.changes.length === 0 ? undefined : download(view)}
	`);
}

function mistakes({review}: View): Html {
	return html`
		<h2>Mistakes</h2>
		<p>They must be mended before the document can be downloaded.</p>
		<ul class="mistakes">${review.mistakes.map(mistake => html`<li>${link(mistake)} ${mistake.text} <small>(${mistake.code})</small></li>`)}
		${review.further > 0 ? html`<li>and ${review.further} more</li>` : undefined}</ul>
	`;
}

/** A button to the place where the mistake can be mended. */
function link({path}: Mistake): Html {
	const [, list = '', index] = /^\$\.(\w+)(?:\[(\d+)\])?/v.exec(path) ?? [];
	const section = sectionOf(list);
	if (section === undefined) {
		return html`<code>${path}</code>`;
	}

	return index === undefined
		? button({type: 'go', place: {type: 'list', section}}, path)
		: button({type: 'go', place: {type: 'entry', section, index: Number(index)}}, path);
}

function changes(list: readonly string[]): Html {
	return html`
		<h2>Changes</h2>
		${list.length === 0 ? html`<p class="empty">The draft changes nothing yet.</p>` : html`<ul class="changes">${list.map(change => html`<li>${change}</li>`)}</ul>`}
	`;
}

function download(view: View): Html {
	const {review, standing} = view;
	const isInForce = standing.type === 'in-force';
	const mustAccept = review.warnings.length > 0 || !isInForce;
	const read = isInForce ? 'warnings' : 'notice about the base and all warnings';
	return html`
		<h2>Document</h2>
		<p>The console publishes nothing. Download the document and give it to the platform's configuration service; hosts adopt it because its revision is higher.</p>
		${mustAccept ? html`<p><label class="check"><input type="checkbox" name="accepted" value="yes"> I have read the ${read} on this page.</label></p>` : undefined}
		<p>${button({type: 'download'}, `Download revision ${review.revision}`, 'primary')}</p>
	`;
}

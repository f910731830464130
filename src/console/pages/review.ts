/** Renders the page that lists the changes of a draft and offers the document for download. */
import {type Mistake} from '../../protocol/configuration/index.js';
import {findSection} from '../draft/sections.js';
import {html, type Html} from '../html.js';
import {renderDraftPage, type View} from './layout.js';
import {renderButton} from './components.js';

/**
 * @param view - Draft and its review.
 * @returns The page.
 */
export function renderReviewPage(view: View): string {
	const {review, refusal} = view;
	return renderDraftPage(view, 'Review and download', html`
		${refusal === undefined ? undefined : html`<div class="notice strong" role="alert"><p>${refusal}</p></div>`}
		${review.mistakes.length === 0 ? undefined : renderMistakes(view)}
		${review.changes === undefined ? undefined : renderChanges(review.changes)}
		${review.warnings.length === 0 ? undefined : html`<h2>Warnings</h2><ul class="warnings">${review.warnings.map(warning => html`<li>${warning}</li>`)}</ul>`}
		${review.changes === undefined || review.changes.length === 0 ? undefined : renderDownload(view)}
	`);
}

function renderMistakes({review}: View): Html {
	return html`
		<h2>Mistakes</h2>
		<p>They must be fixed before the document can be downloaded.</p>
		<ul class="mistakes">${review.mistakes.map(mistake => html`<li>${renderMistakeLink(mistake)} ${mistake.text} <small>(${mistake.code})</small></li>`)}
		${review.further > 0 ? html`<li>and ${review.further} more</li>` : undefined}</ul>
	`;
}

/** A button that opens the page on which the mistake can be fixed. */
function renderMistakeLink({path}: Mistake): Html {
	const [, list = '', index] = /^\$\.(\w+)(?:\[(\d+)\])?/v.exec(path) ?? [];
	const section = findSection(list);
	if (section === undefined) {
		return html`<code>${path}</code>`;
	}

	return index === undefined
		? renderButton({type: 'go', place: {type: 'list', section}}, path)
		: renderButton({type: 'go', place: {type: 'entry', section, index: Number(index)}}, path);
}

function renderChanges(list: readonly string[]): Html {
	return html`
		<h2>Changes</h2>
		${list.length === 0 ? html`<p class="empty">The draft changes nothing yet.</p>` : html`<ul class="changes">${list.map(change => html`<li>${change}</li>`)}</ul>`}
	`;
}

function renderDownload(view: View): Html {
	const {review, baseStatus} = view;
	const isInForce = baseStatus.type === 'in-force';
	const mustAccept = review.warnings.length > 0 || !isInForce;
	const acknowledged = isInForce ? 'warnings' : 'notice about the base and all warnings';
	return html`
		<h2>Document</h2>
		<p>The console publishes nothing. Download the document and give it to the platform's configuration service; hosts adopt it because its revision is higher.</p>
		${mustAccept ? html`<p><label class="check"><input type="checkbox" name="accepted" value="yes"> I have read the ${acknowledged} on this page.</label></p>` : undefined}
		<p>${renderButton({type: 'download'}, `Download revision ${review.revision}`, 'primary')}</p>
	`;
}

/** HTML templates that escape every value unless it is HTML already. */

const entityByCharacter: ReadonlyMap<string, string> = new Map([
	['&', '&amp;'],
	['<', '&lt;'],
	['>', '&gt;'],
	['"', '&quot;'],
	['\'', '&#39;'],
]);

/** Markup that is safe to insert into a page. Created by {@link html} only. */
export class Html {
	readonly #text: string;

	constructor(strings: readonly string[], values: readonly HtmlValue[]) {
		this.#text = strings.map((string, index) => `${string}${render(values[index])}`).join('');
	}

	toString(): string {
		return this.#text;
	}
}

export type HtmlValue = Html | string | number | undefined | readonly Html[];

function render(value: HtmlValue): string {
	if (value === undefined) {
		return '';
	}

	if (value instanceof Html) {
		return value.toString();
	}

	return typeof value === 'object' ? value.map(String).join('') : escapeText(String(value));
}

function escapeText(text: string): string {
	return text.replaceAll(/[&<>"']/gv, character => entityByCharacter.get(character)!);
}

/**
 * Template tag for markup.
 *
 * @param strings - Literal markup.
 * @param values - Values to insert; undefined inserts nothing.
 * @returns The markup, with every value escaped that is not HTML already.
 */
export function html(strings: TemplateStringsArray, ...values: readonly HtmlValue[]): Html {
	return new Html(strings, values);
}

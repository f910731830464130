/** HTML in which every value is escaped unless it is HTML already. */

const replacements: ReadonlyMap<string, string> = new Map([
	['&', '&amp;'],
	['<', '&lt;'],
	['>', '&gt;'],
	['"', '&quot;'],
	['\'', '&#39;'],
]);

/** Text that is safe to place into a page; made by {@link html} only. */
export class Html {
	readonly #text: string;

	constructor(strings: readonly string[], values: readonly Value[]) {
		this.#text = strings.map((string, index) => `${string}${render(values[index])}`).join('');
	}

	toString(): string {
		return this.#text;
	}
}

export type Value = Html | string | number | undefined | readonly Html[];

function render(value: Value): string {
	if (value === undefined) {
		return '';
	}

	if (value instanceof Html) {
		return value.toString();
	}

	return typeof value === 'object' ? value.map(String).join('') : escapeText(String(value));
}

function escapeText(text: string): string {
	return text.replaceAll(/[&<>"']/gv, character => replacements.get(character)!);
}

/**
 * Tags a template.
 *
 * @param strings - Markup.
 * @param values - Values between; undefined leaves nothing.
 * @returns The markup with every value escaped that is not HTML.
 */
export function html(strings: TemplateStringsArray, ...values: readonly Value[]): Html {
	return new Html(strings, values);
}

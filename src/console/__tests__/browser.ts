/** Submits the console's forms as a browser would. */
import {ConsoleServer} from '../server.js';
import {parseSettings} from '../../protocol/settings.js';
import {settingsSchema} from '../settings.js';

const entities: Readonly<Record<string, string>> = {
	amp: '&', lt: '<', gt: '>', quot: '"', '#39': '\'',
};

function unescape(text: string): string {
	return text.replaceAll(/&(amp|lt|gt|quot|#39);/gv, (_, name: string) => entities[name]!);
}

/** Returns the values that a browser would submit with the page's form. */
function readFormFields(page: string): URLSearchParams {
	const form = new URLSearchParams();
	for (const [, attributes] of page.matchAll(/<input ([^>]*)>/gv)) {
		const name = /(?:^| )name="([^"]*)"/v.exec(attributes!)?.[1];
		const value = /(?:^| )value="([^"]*)"/v.exec(attributes!)?.[1] ?? '';
		if (name !== undefined && !attributes!.includes('type="checkbox"')) {
			form.set(name, unescape(value));
		}
	}

	for (const [, name, options] of page.matchAll(/<select [^>]*name="([^"]*)"[^>]*>(.*?)<\/select>/gsv)) {
		form.set(name!, unescape(/value="([^"]*)" selected/v.exec(options!)?.[1] ?? ''));
	}

	for (const [, name, value] of page.matchAll(/<textarea [^>]*name="([^"]*)"[^>]*>\n?(.*?)<\/textarea>/gsv)) {
		form.set(name!, unescape(value!));
	}

	return form;
}

export async function openConsole(settings: Readonly<Record<string, unknown>> = {}) {
	const server = new ConsoleServer(parseSettings(settingsSchema, {listen: {port: 0}, ...settings}));
	const port = await server.listen();
	const url = `http://127.0.0.1:${port}`;
	const post = async (path: string, body: URLSearchParams | string, headers: Readonly<Record<string, string>> = {}) =>
		fetch(url + path, {
			method: 'POST', body: String(body), headers: {
				'content-type': 'application/x-www-form-urlencoded', 'sec-fetch-site': 'same-origin', origin: url, ...headers,
			},
		});
	return {
		url,
		post,
		async start(document?: string) {
			const page = await fetch(url);
			const form = readFormFields(await page.text());
			form.delete('document');
			if (document !== undefined) {
				form.set('document', document);
			}

			const response = await post('/start', form);
			return response.text();
		},
		/** Types into fields of a page and presses a button. */
		async press(page: string, action: string, typed: Readonly<Record<string, string>> = {}) {
			const form = readFormFields(page);
			form.set('action', action);
			for (const [name, value] of Object.entries(typed)) {
				form.set(name, value);
			}

			return post('/draft', form);
		},
		/** Like `press`, but returns the text of the next page. */
		async next(page: string, action: string, typed: Readonly<Record<string, string>> = {}) {
			const response = await this.press(page, action, typed);
			return response.text();
		},
		async [Symbol.asyncDispose]() {
			await server[Symbol.asyncDispose]();
		},
	};
}

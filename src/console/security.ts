/** Keeps other sites from using the console through an operator's browser. */
import {Buffer} from 'node:buffer';
import {randomBytes, timingSafeEqual} from 'node:crypto';
import {type IncomingHttpHeaders} from 'node:http';
import {raise} from '../core/index.js';

/** Sent with every answer. */
export const securityHeaders = {
	'content-security-policy': 'default-src \'none\'; style-src \'self\'; form-action \'self\'; frame-ancestors \'none\'; base-uri \'none\'',
	'x-content-type-options': 'nosniff',
	// With `no-referrer` browsers would send no origin either.
	'referrer-policy': 'same-origin',
	'cross-origin-opener-policy': 'same-origin',
	'cross-origin-resource-policy': 'same-origin',
	'cache-control': 'no-store',
} as const;

const tokenBytes = 32;

export class Guard {
	/** Known only to pages that this process has given out. */
	readonly #token = randomBytes(tokenBytes).toString('base64url');
	readonly #names: ReadonlySet<string>;

	/**
	 * @param names - Values of the Host header by which the console is reached, in lower case.
	 */
	constructor(names: readonly string[]) {
		this.#names = new Set(names);
	}

	get token(): string {
		return this.#token;
	}

	/**
	 * Refuses requests under another name, as after DNS rebinding.
	 *
	 * @param headers - Headers of a request.
	 * @throws Failure `crossSite`.
	 */
	checkHost(headers: IncomingHttpHeaders): void {
		if (!this.#names.has(headers.host?.toLowerCase() ?? '')) {
			raise('crossSite', `The console is not reached as "${headers.host ?? ''}".`);
		}
	}

	/**
	 * @param headers - Headers of a post.
	 * @throws Failure `crossSite`.
	 */
	checkOrigin(headers: IncomingHttpHeaders): void {
		const site = headers['sec-fetch-site'];
		if (site !== undefined && site !== 'same-origin') {
			raise('crossSite', `It came from a ${String(site)} page.`);
		}

		const {origin} = headers;
		if (origin !== undefined && !this.#isOwn(origin)) {
			raise('crossSite', `It came from ${origin}.`);
		}
	}

	/**
	 * @param token - Token of a form.
	 * @throws Failure `crossSite`.
	 */
	checkToken(token: string): void {
		const given = Buffer.from(token);
		const expected = Buffer.from(this.#token);
		if (given.length !== expected.length || !timingSafeEqual(given, expected)) {
			raise('crossSite', 'The page was given out before the console was started.');
		}
	}

	#isOwn(origin: string): boolean {
		try {
			return this.#names.has(new URL(origin).host);
		} catch {
			return false;
		}
	}
}

/** Protects the console from requests that other sites send through an operator's browser. */
import {Buffer} from 'node:buffer';
import {randomBytes, timingSafeEqual} from 'node:crypto';
import {type IncomingHttpHeaders} from 'node:http';
import {raise} from '../core/index.js';

/** Sent with every response. */
export const securityHeaders = {
	'content-security-policy': 'default-src \'none\'; style-src \'self\'; form-action \'self\'; frame-ancestors \'none\'; base-uri \'none\'',
	'x-content-type-options': 'nosniff',
	// With `no-referrer`, browsers would withhold the origin as well.
	'referrer-policy': 'same-origin',
	'cross-origin-opener-policy': 'same-origin',
	'cross-origin-resource-policy': 'same-origin',
	'cache-control': 'no-store',
} as const;

const tokenBytes = 32;

export class CrossSiteGuard {
	/** Random for each process and found only in pages that it rendered. */
	readonly #token = randomBytes(tokenBytes).toString('base64url');
	readonly #allowedHosts: ReadonlySet<string>;

	/**
	 * @param allowedHosts - Accepted values of the Host header, in lower case.
	 */
	constructor(allowedHosts: readonly string[]) {
		this.#allowedHosts = new Set(allowedHosts);
	}

	get token(): string {
		return this.#token;
	}

	/**
	 * Refuses requests with an unknown Host header, which prevents DNS rebinding.
	 *
	 * @param headers - Headers of a request.
	 * @throws Failure `crossSite`.
	 */
	checkHost(headers: IncomingHttpHeaders): void {
		if (!this.#allowedHosts.has(headers.host?.toLowerCase() ?? '')) {
			raise('crossSite', `The Host header "${headers.host ?? ''}" is not accepted.`);
		}
	}

	/**
	 * Refuses posts that a browser sends for another site.
	 *
	 * @param headers - Headers of a post.
	 * @throws Failure `crossSite`.
	 */
	checkOrigin(headers: IncomingHttpHeaders): void {
		const site = headers['sec-fetch-site'];
		if (site !== undefined && site !== 'same-origin') {
			raise('crossSite', `The request came from a ${String(site)} page.`);
		}

		const {origin} = headers;
		if (origin !== undefined && !this.#isOwnOrigin(origin)) {
			raise('crossSite', `The request came from ${origin}.`);
		}
	}

	/**
	 * @param token - Token in a form.
	 * @throws Failure `crossSite`.
	 */
	checkToken(token: string): void {
		const given = Buffer.from(token);
		const expected = Buffer.from(this.#token);
		if (given.length !== expected.length || !timingSafeEqual(given, expected)) {
			raise('crossSite', 'The page was loaded before the console was last started.');
		}
	}

	#isOwnOrigin(origin: string): boolean {
		try {
			return this.#allowedHosts.has(new URL(origin).host);
		} catch {
			return false;
		}
	}
}

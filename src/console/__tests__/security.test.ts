import {request} from 'node:http';
import {deflateRawSync} from 'node:zlib';
import {describe, expect, it} from 'vitest';
import {formatDocument} from '../../protocol/configuration/__tests__/documents.js';
import {openConsole} from './browser.js';

async function fetchStatusAs(url: string, host: string): Promise<number> {
	return new Promise((resolve, reject) => {
		request(url, {headers: {host}}, response => {
			response.resume();
			resolve(response.statusCode!);
		}).on('error', reject).end();
	});
}

describe('console security', () => {
	it('sends headers that keep other sites from framing, scripting or reading it', async () => {
		await using console = await openConsole();
		const {headers} = await fetch(console.url);
		expect(headers.get('content-security-policy')).toMatch(/default-src 'none'.*frame-ancestors 'none'/v);
		expect(headers.get('cache-control')).toBe('no-store');
		expect(headers.get('access-control-allow-origin')).toBeNull();
	});

	it.each([
		[{'sec-fetch-site': 'cross-site'}],
		[{'sec-fetch-site': 'same-site'}],
		[{origin: 'http://evil.example'}],
		[{origin: 'null'}],
	])('refuses posts from other sites: %j', async headers => {
		await using console = await openConsole();
		const response = await console.post('/start', new URLSearchParams({document: formatDocument()}), headers);
		expect(response.status).toBe(403);
		expect(await response.text()).toContain('Result code 7007');
	});

	it('refuses posts without a valid token', async () => {
		await using console = await openConsole();
		for (const token of ['', 'x'.repeat(43)]) {
			const response = await console.post('/start', new URLSearchParams({document: formatDocument(), token}));
			expect(response.status).toBe(403);
		}
	});

	it('refuses requests with another Host header', async () => {
		await using console = await openConsole();
		const {host} = new URL(console.url);
		expect(await fetchStatusAs(console.url, host)).toBe(200);
		expect(await fetchStatusAs(console.url, 'evil.example')).toBe(403);
	});

	it('limits the size of request bodies', async () => {
		await using console = await openConsole({bodyLimit: 10_000});
		const large = await console.post('/start', 'x'.repeat(10_001));
		expect(large.status).toBe(413);
	});

	it.each([
		[{base: 'x'}],
		[{draft: 'AAAA'}],
		[{draft: deflateRawSync(' '.repeat(3_000_000)).toString('base64url')}],
		[{place: 'nowhere'}],
		[{place: 'list/nothing'}],
		[{place: 'entry/services/x'}],
		[{action: 'entry/__proto__/0'}],
		[{action: 'add/services/none'}],
		[{action: 'go/entry/services/99'}],
	])('rejects a tampered form with a result code: %j', async tampered => {
		await using console = await openConsole();
		const start = await console.start(formatDocument());
		const response = await console.press(start, 'stay', tampered);
		expect(response.status).toBe(400);
		expect(await response.text()).toContain('Result code 7008');
	});

	it('reports an invalid document, a missing document and an unknown path', async () => {
		await using console = await openConsole();
		expect(await console.start('{')).toContain('Result code 5001');
		expect(await console.start()).toContain('Result code 7001');
		const nowhere = await fetch(`${console.url}/nothing`);
		expect(await nowhere.text()).toContain('Result code 1012');
	});
});

import {request} from 'node:http';
import {deflateRawSync} from 'node:zlib';
import {describe, expect, it} from 'vitest';
import {text} from '../../protocol/configuration/__tests__/documents.js';
import {openConsole} from './browser.js';

async function statusUnderName(url: string, host: string): Promise<number> {
	return new Promise((resolve, reject) => {
		request(url, {headers: {host}}, response => {
			response.resume();
			resolve(response.statusCode!);
		}).on('error', reject).end();
	});
}

describe('console security', () => {
	it('lets no other site frame it, script it or read it', async () => {
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
	])('refuses posts from elsewhere: %j', async headers => {
		await using console = await openConsole();
		const response = await console.post('/start', new URLSearchParams({document: text()}), headers);
		expect(response.status).toBe(403);
		expect(await response.text()).toContain('Result code 7007');
	});

	it('refuses posts without its token', async () => {
		await using console = await openConsole();
		for (const token of ['', 'x'.repeat(43)]) {
			const response = await console.post('/start', new URLSearchParams({document: text(), token}));
			expect(response.status).toBe(403);
		}
	});

	it('refuses requests under another name', async () => {
		await using console = await openConsole();
		const {host} = new URL(console.url);
		expect(await statusUnderName(console.url, host)).toBe(200);
		expect(await statusUnderName(console.url, 'evil.example')).toBe(403);
	});

	it('bounds bodies', async () => {
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
	])('answers a form that was tampered with by a code: %j', async tampered => {
		await using console = await openConsole();
		const start = await console.start(text());
		const response = await console.press(start, 'stay', tampered);
		expect(response.status).toBe(400);
		expect(await response.text()).toContain('Result code 7008');
	});

	it('starts from no invalid document', async () => {
		await using console = await openConsole();
		expect(await console.start('{')).toContain('Result code 5001');
		expect(await console.start()).toContain('Result code 7001');
		const nowhere = await fetch(`${console.url}/nothing`);
		expect(await nowhere.text()).toContain('Result code 1012');
	});
});

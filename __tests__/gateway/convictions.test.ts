/** Convictions as operators see and change them, on a fleet of real hosts. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {runCommand} from '../../src/cli/__tests__/fakes.js';
import {createPromptHeaders, sendRequest} from '../../bench/gateway/caller-requests.js';
import {Site} from '../../bench/gateway/site.js';

let site: Site;
let directory: string;

beforeAll(async () => {
	site = await Site.start({hosts: 2, engines: 8});
	directory = mkdtempSync(path.join(tmpdir(), 'convictions-'));
	for (const engine of site.engines) {
		site.crashUnder(engine, new Set(['bad']), 2000);
	}
});

afterAll(async () => {
	await site[Symbol.asyncDispose]();
	rmSync(directory, {recursive: true});
});

function listHosts(): string {
	return site.hosts.map(({admin}) => `${admin.host}:${admin.port}`).join(',');
}

async function run(...words: readonly string[]): Promise<string> {
	const {code, out, complaints} = await runCommand(['convictions', ...words, '--hosts', listHosts()]);
	expect([code, complaints]).toEqual([0, '']);
	return out;
}

async function ask(id: string, part: string, host: number): Promise<{readonly status: number; readonly body: string; readonly retryAfter: unknown}> {
	const {status, body, headers} = await site.ask({
		path: '/ask/x', id, body: id, headers: {...createPromptHeaders(1000, 3), 'X-Prefix-Hash': `a:100,${part}:100,own-${id}:800`},
	}, site.hosts[host]);
	return {status, body, retryAfter: headers['retry-after']};
}

describe('operators', () => {
	it('see what is refused, at how many hosts, and why a request was', async () => {
		expect(await run('list')).toBe('No convictions.\n');
		expect(await ask('sound', 'good', 0)).toMatchObject({status: 200});
		expect(await ask('first', 'bad', 0)).toMatchObject({status: 502});
		expect(await ask('second', 'bad', 1)).toMatchObject({status: 502, body: JSON.stringify({code: 4004, message: 'The upstream crashed while it ran the request, which is not run again as it, or a part of its prompt, has crashed others.'})});
		await expect.poll(async () => run('list'), {timeout: 3000}).toMatch(/^model +v1 +part:bad +3 .+ 2\/2$/mv);
		const refused = await ask('third', 'bad', 0);
		expect([refused.status, refused.body]).toEqual([503, JSON.stringify({code: 2007, message: 'The request, or a part of its prompt, has crashed upstreams, and it is not run.'})]);
		expect(Number(refused.retryAfter)).toBeGreaterThan(5);
		expect(Number(refused.retryAfter)).toBeLessThan(12);
		const file = path.join(directory, 'host.log');
		await expect.poll(() => site.hosts[0]!.findLogLines('ended', 'third').length, {timeout: 3000}).toBe(1);
		writeFileSync(file, site.hosts[0]!.lines.map(line => JSON.stringify(line)).join('\n'));
		const {out} = await runCommand(['explain', 'third', '--logs', file]);
		expect(out).toMatch(/Refused because of part:bad: 3 engines of version v1 crashed under requests with it/v);
		const metrics = await sendRequest(site.hosts[1]!.metrics, {path: '/metrics', id: '', method: 'GET'});
		expect(metrics.body).toMatch(/^cranberrytide_convictions 1$/mv);
	});

	it('lift a conviction at all hosts, and one more crash convicts again', async () => {
		expect(await run('lift', 'model', 'part:bad', '--reason', 'mended')).toMatch(/^host-0 runs requests of model with part:bad from now on/v);
		await expect.poll(async () => run('list'), {timeout: 3000}).toBe('No convictions.\n');
		expect(await ask('fourth', 'bad', 1)).toMatchObject({status: 502});
		await expect.poll(async () => run('list'), {timeout: 3000}).toMatch(/^model +v1 +part:bad +1 .+ 2\/2$/mv);
	});

	it('add a conviction, which all hosts keep and tell one that starts', async () => {
		await run('add', 'model', 'part:unwanted', '--reason', 'by hand');
		await expect.poll(async () => run('list'), {timeout: 3000}).toMatch(/^model +all +part:unwanted +0 .+ 2\/2 +by hand$/mv);
		await site.hosts[1]!.kill();
		site.hosts[1]!.start();
		await site.waitUntilReady(site.hosts[1]!);
		await expect.poll(async () => run('list'), {timeout: 5000}).toMatch(/^model +all +part:unwanted +0 .+ 2\/2 +by hand$/mv);
		expect(await ask('fifth', 'unwanted', 1)).toMatchObject({status: 503});
		await run('lift', 'model', 'part:unwanted');
		expect(await ask('sixth', 'unwanted', 0)).toMatchObject({status: 200});
	});

	it.each([
		['add', 'model', 'bad'],
		['add', 'model', 'part:with space'],
		['lift', 'model', `part:${'x'.repeat(300)}`],
	])('get an error for what names no cause: %s %s %s', async (...words) => {
		const {code, complaints} = await runCommand(['convictions', ...words, '--hosts', listHosts()]);
		expect([code, complaints]).toEqual([70, expect.stringMatching(/^error 7005: .*127\.0\.0\.1:\d+: 1001 .*neither part:ID nor request:FINGERPRINT$/mv)]);
	});

	it('are the only ones that may order: pages of other sites, other paths and broken bodies change nothing', async () => {
		const {admin} = site.hosts[0]!;
		const order = JSON.stringify({service: 'model', cause: 'part:x', action: 'add'});
		const answers = [
			await sendRequest(admin, {
				path: '/admin/convictions', id: '', body: order, headers: {'Content-Type': 'text/plain'},
			}),
			await sendRequest(admin, {
				path: '/admin/convictions', id: '', body: '{', headers: {'Content-Type': 'application/json'},
			}),
			await sendRequest(admin, {
				path: '/admin/convictions', id: '', body: ' '.repeat(20_000), headers: {'Content-Type': 'application/json'},
			}),
			await sendRequest(admin, {path: '/admin/other', id: '', method: 'GET'}),
		];
		expect(answers.map(({status}) => status)).toEqual([400, 400, 400, 404]);
		expect(await run('list')).not.toMatch(/part:x/v);
	});
});

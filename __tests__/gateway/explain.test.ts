/** The procedures in docs/OPERATIONS.md that lead from the id of a failed request to its cause, on logs of real processes. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import parse from 'parse-prometheus-text-format';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {runCommand} from '../../src/cli/__tests__/fakes.js';
import {sendRequest, createPromptHeaders} from '../../bench/gateway/caller-requests.js';
import {Site} from '../../bench/gateway/site.js';

let site: Site;
let directory: string;

beforeAll(async () => {
	site = await Site.start({engines: 2});
	directory = mkdtempSync(path.join(tmpdir(), 'logs-'));
});

afterAll(async () => {
	await site[Symbol.asyncDispose]();
	rmSync(directory, {recursive: true});
});

/** Writes the host's log to a file, each line with a prefix as log collectors add it. */
function writeLogs(): string {
	const file = path.join(directory, 'host.log');
	writeFileSync(file, site.hosts[0]!.lines.map(line => `12.3 host-0 ${JSON.stringify(line)}`).join('\n'));
	return file;
}

async function runExplain(id: string): Promise<string> {
	await expect.poll(() => site.hosts[0]!.findLogLines('ended', id).length, {timeout: 3000}).toBe(1);
	const {code, out} = await runCommand(['explain', id, '--logs', writeLogs()]);
	expect(code).toBe(0);
	return out;
}

describe('explaining a request by its id', () => {
	it('refused: every engine rejected it as overloaded', async () => {
		for (const engine of site.engines) {
			engine.fault = 'shed';
		}

		const answer = await site.ask({path: '/ask/x', id: 'complaint-1', headers: createPromptHeaders(1000, 3)});
		expect(answer.status).toBe(503);
		const out = await runExplain('complaint-1');
		expect(out).toMatch(/Sent to engine-\d as attempt .+ of 1000 tokens/v);
		expect(out.match(/was provably not run at engine-\d: refused with 503/gv)?.length).toBe(2);
		expect(out).toMatch(/Ended as "refusedByUpstream" after \d+ ms on route ask: 2 attempts, no byte of an answer/v);
	});

	it('cut: both engines broke off the stream', async () => {
		for (const engine of site.engines) {
			engine.fault = 'cut';
		}

		const answer = await site.ask({path: '/ask/x', id: 'complaint-2', headers: createPromptHeaders(1000, 30)});
		expect(answer.isWhole).toBe(false);
		const out = await runExplain('complaint-2');
		expect(out.match(/may have run at engine-\d, no whole answer came/gv)?.length).toBe(2);
		expect(out).toMatch(/suspected/v);
		expect(out).toMatch(/Ended as "broken off" after \d+ ms on route ask: 2 attempts, first byte after \d+ ms, longest pause \d+ ms/v);
	});

	it('outcome unknown: the answer to a non-idempotent request was lost', async () => {
		for (const plain of site.plains) {
			plain.fault = 'lost';
		}

		const answer = await site.ask({path: '/once/x', id: 'complaint-3', body: 'b'});
		expect(answer.status).toBe(502);
		const out = await runExplain('complaint-3');
		expect(out).toMatch(/Attempt .+ may have run at plain-\d, no whole answer came/v);
		expect(out).toMatch(/Ended as "outcomeUnknown" after \d+ ms on route once: 1 attempts, no byte/v);
	});

	it('reports that the log does not contain the request', async () => {
		const {code, complaints} = await runCommand(['explain', 'complaint-0', '--logs', writeLogs()]);
		expect(code).toBe(70);
		expect(complaints).toContain('7006');
	});
});

describe('incidents', () => {
	it('summarizes failed upstreams and the outcomes of requests', async () => {
		await site.plains[0]!.crash();
		site.store.remove('servers/plain-0');
		await expect.poll(() => site.hosts[0]!.findLogLines('upstream-gone').length, {timeout: 4000}).toBe(1);
		const {code, out} = await runCommand(['incidents', '--logs', writeLogs()]);
		expect(code).toBe(0);
		expect(out).toMatch(/Requests: .*refusedByUpstream 1/v);
		expect(out).toMatch(/upstream-gone plain-0 \(host-0\)/v);
		expect(out).toMatch(/Attempts without an answer at engine-\d: /v);
		const json = await runCommand(['incidents', '--logs', writeLogs(), '--json']);
		expect(JSON.parse(json.out)).toMatchObject({outcomes: {outcomeUnknown: 1}});
	});

	it('rejects a window without log lines and an invalid time', async () => {
		const empty = await runCommand(['incidents', '--logs', writeLogs(), '--to', '2001-01-01T00:00:00Z']);
		expect(empty.code).toBe(70);
		const bad = await runCommand(['incidents', '--logs', writeLogs(), '--to', 'soon']);
		expect(bad).toMatchObject({code: 70});
		expect(bad.complaints).toContain('7003');
	});
});

it('metrics are in the Prometheus text format and count requests by outcome', async () => {
	const answer = await sendRequest(site.hosts[0]!.metrics, {path: '/metrics', id: '', method: 'GET'});
	expect(answer.status).toBe(200);
	expect(answer.body).toMatch(/^cranberrytide_requests_total\{service="plain",kind="non-idempotent",length="none",outcome="outcomeUnknown"\} 1$/mv);
	expect(answer.body).toMatch(/^cranberrytide_first_byte_milliseconds_bucket\{le="300",service="model",length="short"\} \d+$/mv);
	expect(answer.body).toMatch(/^cranberrytide_configuration_version 1$/mv);
	const names = new Set([...answer.body.matchAll(/^(cranberrytide_\w+)/gmv)].map(match => match[1]));
	expect(names.size).toBeGreaterThan(12);
	const families = new Map(parse(answer.body).map(family => [family.name, family]));
	expect(families.get('cranberrytide_requests_total')).toMatchObject({type: 'COUNTER'});
	expect(families.get('cranberrytide_requests_total')?.metrics.some(({labels}) => labels?.outcome === 'outcomeUnknown')).toBe(true);
	expect(families.get('cranberrytide_first_byte_milliseconds')).toMatchObject({type: 'HISTOGRAM'});
	expect(Object.keys(families.get('cranberrytide_first_byte_milliseconds')?.metrics[0]?.buckets ?? {})).toContain('300');
});

it('explains that a request was not retried because the retry budget was used up', async () => {
	await using limited = await Site.start({engines: 2, settings: {retries: {ratio: 0, window: 1000, allowance: 0}}});
	for (const engine of limited.engines) {
		engine.fault = 'shed';
	}

	const answer = await limited.ask({path: '/ask/x', id: 'denied-1', headers: createPromptHeaders(1000, 3)});
	expect(answer.status).toBe(503);
	await expect.poll(() => limited.hosts[0]!.findLogLines('ended', 'denied-1').length, {timeout: 3000}).toBe(1);
	const file = path.join(directory, 'denied.log');
	writeFileSync(file, limited.hosts[0]!.lines.map(line => JSON.stringify(line)).join('\n'));
	const {code, out} = await runCommand(['explain', 'denied-1', '--logs', file]);
	expect(code).toBe(0);
	expect(out).toMatch(/Not sent once more: this host's part of the retries for model is used up \(hosts that share them: 1\)/v);
});

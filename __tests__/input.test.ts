/** Bad input of every kind: a code of its own, and nothing lost. */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import got, {type Response} from 'got';
import {
	afterAll,
	beforeAll,
	describe,
	expect,
	it,
} from 'vitest';
import {Child} from '../bench/fleet/child.js';
import {Fleet} from '../bench/fleet/fleet.js';
import {apiKey} from '../bench/fleet/shape.js';
import {codes} from '../src/core/index.js';
import {buildChatBody, getExpectedAnswer, streamChat} from './support/caller.js';

const bodyLimit = 20_000;
const tokens = 5;
let fleet: Fleet;

beforeAll(async () => {
	fleet = await Fleet.start({
		timeScale: 20,
		domains: ['a'],
		hosts: [1],
		entry: {bodyLimit},
		keepsLogs: true,
		engines: [{service: 'check', perDomain: 1, settings: {answer: {least: tokens, most: tokens}}}],
		services: [{
			kind: 'model',
			id: 'check',
			model: 'check',
			idempotent: true,
			deadline: {default: 10_000, most: 20_000},
		}],
		organisations: [{id: 'one'}],
	});
});

afterAll(async () => {
	await fleet[Symbol.asyncDispose]();
});

type BadRequest = {
	readonly path?: string;
	readonly body?: string;
	readonly headers?: Readonly<Record<string, string>>;
};

async function post({path: target = '/v1/chat/completions', body = JSON.stringify(buildChatBody('hello', tokens)), headers}: BadRequest): Promise<Response<string>> {
	const {caller} = fleet.hosts.get('a-host-1');
	return got.post(`http://${caller.host}:${caller.port}${target}`, {
		body,
		headers: {authorization: `Bearer ${apiKey('one')}`, ...headers},
		throwHttpErrors: false,
		retry: {limit: 0},
	});
}

const cases: ReadonlyArray<readonly [name: string, bad: BadRequest, status: number, code: number]> = [
	['a body that is not JSON', {body: '{"model":'}, 400, codes.badBody],
	['a body without messages', {body: '{"model":"check"}'}, 400, codes.badBody],
	['an unknown API key', {headers: {authorization: 'Bearer nobody'}}, 401, codes.unknownKey],
	['no API key', {headers: {authorization: ''}}, 401, codes.unknownKey],
	['a body over the limit', {body: JSON.stringify(buildChatBody('x'.repeat(bodyLimit), tokens))}, 413, codes.bodyTooLarge],
	['an unknown model', {body: JSON.stringify({...buildChatBody('hello', tokens), model: 'none'})}, 404, codes.unknownService],
	['an unknown service', {path: '/v1/services/none/x'}, 404, codes.unknownService],
	['an unknown path', {path: '/v2/other'}, 404, codes.unknownPath],
	['a timeout that is not a number', {headers: {'x-timeout-ms': 'soon'}}, 400, codes.badHeader],
	['a priority out of range', {headers: {'x-priority': '10'}}, 400, codes.badHeader],
	['neither true nor false', {headers: {'x-idempotent': 'maybe'}}, 400, codes.badHeader],
	['a ticket of nobody', {headers: {'x-ticket': 'abc.def'}}, 403, codes.badTicket],
	['a position of nobody', {headers: {'last-event-id': 'abc.def:1'}}, 400, codes.badPosition],
];

describe('bad requests', () => {
	for (const [name, bad, status, code] of cases) {
		it(`${name}: ${code}`, async () => {
			const {statusCode, headers, body} = await post(bad);
			expect({statusCode, code: headers['x-result-code'], outcome: headers['x-outcome']})
				.toEqual({statusCode: status, code: String(code), outcome: 'not run'});
			expect(JSON.parse(body)).toMatchObject({error: {code}});
		});
	}

	it('leave the host serving', async () => {
		const seen = await streamChat(fleet, {host: 'a-host-1', prompt: 'hello', tokens});
		expect(seen).toMatchObject({isWhole: true, text: getExpectedAnswer('hello', tokens)});
	});
});

async function startDaemon(settings: unknown): Promise<string> {
	const directory = await mkdtemp(path.join(tmpdir(), 'settings-'));
	const file = path.join(directory, 'host.json');
	await writeFile(file, JSON.stringify(settings));
	try {
		await using child = await Child.start({
			name: 'bad',
			program: 'src/entry/main.js',
			settings: file,
			readyEvent: 'listening',
			keepsLog: true,
		});
		return `started: ${JSON.stringify(child.ready)}`;
	} catch (error) {
		return String(error);
	} finally {
		await rm(directory, {recursive: true});
	}
}

describe('bad settings', () => {
	it('stop the daemon with a code that names each path', async () => {
		const said = await startDaemon({
			host: 'a b', failureDomain: 'a', caller: {port: 99_999}, unknown: 1,
		});
		expect(said).toContain(`"code":${codes.badSettings}`);
		for (const place of ['host:', 'caller.port:', 'peer:', 'platform:', 'unknown']) {
			expect(said).toContain(place);
		}
	});
});

describe('a port in use', () => {
	it('stops the daemon with a code', async () => {
		const {caller} = fleet.hosts.get('a-host-1');
		const said = await startDaemon({
			host: 'second',
			failureDomain: 'a',
			caller,
			peer: {port: 0},
			platform: fleet.platformAddress,
		});
		expect(said).toContain(`"code":${codes.portInUse}`);
	});
});

describe('a bad document', () => {
	it('is refused with a code in the log, and the one in force stays', async () => {
		const {child, admin} = fleet.hosts.get('a-host-1');
		await fleet.platform({type: 'publish', text: '{"schema":1}', revision: 99});
		await expect.poll(() => child.lines.some(line =>
			line.event === 'configuration' && line.accepted === false && line.code === codes.badDocument), {timeout: 10_000}).toBe(true);
		const status = await got(`http://${admin!.host}:${admin!.port}/admin/status`).json();
		expect(status).toMatchObject({revision: 1, phase: 'serving'});
	});
});

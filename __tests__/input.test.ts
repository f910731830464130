/** Invalid requests, settings and documents: each is rejected with its own result code, and the host keeps serving. */
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
import {getApiKey} from '../bench/fleet/shape.js';
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
		headers: {authorization: `Bearer ${getApiKey('one')}`, ...headers},
		throwHttpErrors: false,
		retry: {limit: 0},
	});
}

const cases: ReadonlyArray<readonly [name: string, request: BadRequest, status: number, code: number]> = [
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
	['an idempotence header that is neither true nor false', {headers: {'x-idempotent': 'maybe'}}, 400, codes.badHeader],
	['an invalid ticket', {headers: {'x-ticket': 'abc.def'}}, 403, codes.badTicket],
	['an invalid resume position', {headers: {'last-event-id': 'abc.def:1'}}, 400, codes.badPosition],
];

describe('invalid requests', () => {
	for (const [name, request, status, code] of cases) {
		it(`${name}: ${code}`, async () => {
			const {statusCode, headers, body} = await post(request);
			expect({statusCode, code: headers['x-result-code'], outcome: headers['x-outcome']})
				.toEqual({statusCode: status, code: String(code), outcome: 'not run'});
			expect(JSON.parse(body)).toMatchObject({error: {code}});
		});
	}

	it('do not stop the host from serving', async () => {
		const result = await streamChat(fleet, {host: 'a-host-1', prompt: 'hello', tokens});
		expect(result).toMatchObject({isWhole: true, text: getExpectedAnswer('hello', tokens)});
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
		return `started: ${JSON.stringify(child.readyLine)}`;
	} catch (error) {
		return String(error);
	} finally {
		await rm(directory, {recursive: true});
	}
}

describe('invalid settings', () => {
	it('stop the daemon with a result code and the path of each invalid setting', async () => {
		const output = await startDaemon({
			host: 'a b', failureDomain: 'a', caller: {port: 99_999}, unknown: 1,
		});
		expect(output).toContain(`"code":${codes.badSettings}`);
		for (const setting of ['host:', 'caller.port:', 'peer:', 'platform:', 'unknown']) {
			expect(output).toContain(setting);
		}
	});
});

describe('a port in use', () => {
	it('stops the daemon with a result code', async () => {
		const {caller} = fleet.hosts.get('a-host-1');
		const output = await startDaemon({
			host: 'second',
			failureDomain: 'a',
			caller,
			peer: {port: 0},
			platform: fleet.platformAddress,
		});
		expect(output).toContain(`"code":${codes.portInUse}`);
	});
});

describe('an invalid document', () => {
	it('is rejected with a result code in the log, and the current one stays in force', async () => {
		const {child, admin} = fleet.hosts.get('a-host-1');
		await fleet.controlPlatform({type: 'publish', text: '{"schema":1}', revision: 99});
		await expect.poll(() => child.lines.some(line =>
			line.event === 'configuration' && line.accepted === false && line.code === codes.badDocument), {timeout: 10_000}).toBe(true);
		const status = await got(`http://${admin!.host}:${admin!.port}/admin/status`).json();
		expect(status).toMatchObject({revision: 1, phase: 'serving'});
	});
});

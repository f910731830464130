/** Hosts and upstreams that stop or fail, and outages of the store. */
import {once} from 'node:events';
import {readFileSync, writeFileSync} from 'node:fs';
import {Agent} from 'node:http';
import {createConnection, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {z} from 'zod';
import {messageOf, type Address} from '../../src/core/index.js';
import {parseEventIds, createPromptHeaders} from '../../bench/gateway/caller-requests.js';
import {createConfiguration} from '../../bench/gateway/configuration.js';
import {Site, type SiteOptions} from '../../bench/gateway/site.js';

let site: Site;

/** Time within which hosts must connect to each other; generous, since the machine may be busy. */
const linkTimeoutMs = 30_000;

/** Opens a connection first and sends its request later. */
class LateCaller {
	static async connect({host, port}: Address): Promise<LateCaller> {
		const socket = createConnection({host, port});
		await once(socket, 'connect');
		return new LateCaller(socket);
	}

	readonly #socket: Socket;
	readonly #closed: Promise<void>;
	#answer = '';

	private constructor(socket: Socket) {
		this.#socket = socket;
		socket.on('data', chunk => {
			this.#answer += String(chunk);
		});
		socket.on('error', error => {
			this.#answer += messageOf(error);
		});
		this.#closed = new Promise(resolve => {
			socket.once('close', () => {
				resolve();
			});
		});
	}

	/** Returns everything received until the connection closes. */
	async sendRequest(): Promise<string> {
		this.#socket.write('GET /open/x HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: late\r\nX-Deadline-Ms: 1000\r\nConnection: close\r\n\r\n');
		await this.#closed;
		return this.#answer;
	}
}

async function startSite(options: SiteOptions): Promise<void> {
	site = await Site.start(options);
}

afterEach(async () => {
	await site[Symbol.asyncDispose]();
});

describe('a planned stop of a host', () => {
	it('cuts no request, fails the load balancer\'s readiness check and still serves new requests', async () => {
		await startSite({settings: {grace: 6000}});
		const [host] = site.hosts;
		const agent = new Agent({keepAlive: true});
		const running = site.ask({path: '/ask/x', id: 'long-1', headers: createPromptHeaders(2000, 120)});
		await sleep(150);
		host!.process.kill('SIGTERM');
		await sleep(300);
		expect(await site.isReady(host!)).toBe(false);
		const late = await site.ask({
			path: '/once/x', id: 'late-1', body: 'b', agent,
		});
		expect(late).toMatchObject({status: 200, isWhole: true});
		expect(late.headers.connection).toBe('close');
		const answer = await running;
		expect(answer.isWhole).toBe(true);
		expect(parseEventIds(answer).length).toBe(120);
		await expect.poll(() => host!.process.exitCode, {timeout: 6000}).toBe(0);
		agent.destroy();
	});
});

describe('a host that is about to stop', () => {
	it('accepts no request that it would have to cut: late ones are refused as not run', async () => {
		await startSite({settings: {grace: 6000}});
		const [host] = site.hosts;
		const running = site.ask({path: '/ask/x', id: 'long-2', headers: createPromptHeaders(2000, 380)});
		await sleep(100);
		host!.process.kill('SIGTERM');
		await sleep(3000);
		const late = await site.ask({path: '/ask/x', id: 'late-2', headers: createPromptHeaders(2000, 380)});
		expect(late.status).toBe(503);
		expect(site.ledger.findRuns('late-2')).toEqual([]);
		const answer = await running;
		expect(answer.isWhole).toBe(true);
	});
});

describe('the end of a planned stop', () => {
	it('cuts no request on a connection that was just opened', async () => {
		await startSite({settings: {grace: 8000}});
		const [host] = site.hosts;
		const running = site.ask({path: '/ask/x', id: 'long-3', headers: createPromptHeaders(2000, 380)});
		await sleep(100);
		host!.process.kill('SIGTERM');
		await sleep(3000);
		const callers = await Promise.all(Array.from({length: 10}, async () => LateCaller.connect(host!.caller)));
		await running;
		// Nothing runs on the host by now, so it would otherwise exit immediately.
		await sleep(100);
		const answers = await Promise.all(callers.map(async caller => caller.sendRequest()));
		expect(answers.map(answer => answer.slice(0, 12))).toEqual(answers.map(() => 'HTTP/1.1 503'));
	});
});

describe('an upstream that leaves', () => {
	it.each(['draining', 'unregistered'] as const)('receives no request two seconds after it is %s', async state => {
		await startSite({plains: 2});
		const [leaving] = site.plains;
		leaving!.drain();
		if (state === 'draining') {
			site.register(leaving!);
		} else {
			site.store.remove(`servers/${leaving!.id}`);
		}

		await sleep(2000);
		const before = site.ledger.runs.filter(run => run.upstream === leaving!.id).length;
		for (let index = 0; index < 20; index++) {
			await site.ask({path: '/read/x', id: `left-${index}`});
		}

		expect(site.ledger.runs.filter(run => run.upstream === leaving!.id).length).toBe(before);
	});
});

describe('the store', () => {
	it.each(['busy', 'silent', 'reset'] as const)('may be %s: public routes are still served, keys only until the revocation bound', async mode => {
		await startSite({settings: {revocation: 2500}});
		site.store.mode = mode;
		await sleep(1000);
		const soon = await site.ask({path: '/read/x', id: 'away-1'});
		expect(soon.status).toBe(200);
		await sleep(1800);
		const late = await site.ask({path: '/read/x', id: 'away-2'});
		expect(late.status).toBe(503);
		const open = await site.ask({path: '/open/x', id: 'away-3'});
		expect(open.status).toBe(200);
		site.store.mode = 'serving';
		await expect.poll(async () => {
			const answer = await site.ask({path: '/read/x', id: 'back-1'});
			return answer.status;
		}, {timeout: 6000}).toBe(200);
	});

	it('may forget its history: changes during an outage are still read', async () => {
		await startSite({});
		site.store.mode = 'busy';
		await sleep(1300);
		site.store.put('op/config', createConfiguration(5, {Tenants: [{Name: 'acme', ApiKeys: ['fresh']}]}));
		site.store.remove('servers/plain-0');
		site.store.compact();
		site.store.mode = 'serving';
		await expect.poll(async () => {
			const answer = await site.ask({path: '/read/x', id: 'fresh-1', headers: {authorization: 'Bearer fresh'}});
			return answer.status;
		}, {timeout: 4000}).toBe(200);
		await expect.poll(() => site.hosts[0]!.findLogLines('upstream-gone').map(line => line.upstream), {timeout: 4000}).toEqual(['plain-0']);
	});

	it('is read at most twice a second by each host, no matter how often upstreams write', async () => {
		await startSite({});
		const before = site.store.calls;
		const timer = setInterval(() => {
			site.register(site.plains[0]!);
		}, 20);
		await sleep(3000);
		clearInterval(timer);
		expect(site.store.calls - before).toBeLessThanOrEqual(6);
	});
});

describe('the only host that cannot reach the store', () => {
	it('receives changes from its peers, including revoked keys', async () => {
		await startSite({hosts: 3, secondaryStoreHost: 1, settings: {revocation: 2500}});
		const [first, second] = site.hosts;
		await expect.poll(() => second!.findLogLines('peer-linked').length, {timeout: linkTimeoutMs}).toBeGreaterThanOrEqual(2);
		await expect.poll(() => first!.findLogLines('peer-linked').length, {timeout: linkTimeoutMs}).toBeGreaterThanOrEqual(2);
		site.store.secondaryMode = 'reset';
		await sleep(3500);
		const served = await site.ask({path: '/read/x', id: 'lost-1'}, second);
		expect(served.status).toBe(200);
		site.store.put('op/config', createConfiguration(9, {Tenants: [{Name: 'acme', ApiKeys: ['other']}]}));
		site.store.remove('servers/plain-0');
		await sleep(2500);
		const revoked = await site.ask({path: '/read/x', id: 'lost-2'}, second);
		expect(revoked.status).toBe(401);
		expect(second!.findLogLines('upstream-gone').map(line => line.upstream)).toEqual(['plain-0']);
	});
});

describe('a failure domain of many hosts', () => {
	it('has two hosts read the store, and all of them receive changes in time', async () => {
		await startSite({hosts: 6});
		await expect.poll(() => Math.min(...site.hosts.map(host => host.findLogLines('peer-linked').length)), {timeout: linkTimeoutMs}).toBeGreaterThanOrEqual(5);
		await sleep(1500);
		const before = site.store.calls;
		await sleep(3000);
		expect(site.store.calls - before).toBeLessThanOrEqual(10);
		site.store.put('op/config', createConfiguration(4, {Tenants: [{Name: 'acme', ApiKeys: ['other']}]}));
		await sleep(1900);
		for (const host of site.hosts) {
			const answer = await site.ask({path: '/read/x', id: `all-${host.name}`}, host);
			expect(answer.status).toBe(401);
		}
	});

	it('keeps reading the store after the reading hosts fail', async () => {
		await startSite({hosts: 6});
		await expect.poll(() => Math.min(...site.hosts.map(host => host.findLogLines('peer-linked').length)), {timeout: linkTimeoutMs}).toBeGreaterThanOrEqual(5);
		const [kept, ...others] = site.hosts;
		await Promise.all(others.map(async host => host.kill()));
		await sleep(500);
		site.store.put('op/config', createConfiguration(4, {Tenants: [{Name: 'acme', ApiKeys: ['other']}]}));
		await sleep(1900);
		const answer = await site.ask({path: '/read/x', id: 'alone-1'}, kept);
		expect(answer.status).toBe(401);
	});
});

describe('hosts together', () => {
	it('know what each other sent, and discard the jobs of a killed host', async () => {
		await startSite({hosts: 3});
		const [first, second] = site.hosts;
		await expect.poll(() => second!.findLogLines('peer-linked').length, {timeout: linkTimeoutMs}).toBeGreaterThanOrEqual(2);
		const pendingAnswer = site.ask({path: '/ask/x', id: 'seen-1', headers: createPromptHeaders(2000, 200)}, first).catch(() => undefined);
		await sleep(300);
		await site.ask({path: '/read/x', id: 'seen-2'}, second);
		expect(second!.findLogLines('placed', 'seen-2')[0]).toMatchObject({jobs: 2});
		await first!.kill();
		await sleep(200);
		await site.ask({path: '/read/x', id: 'seen-3'}, second);
		expect(second!.findLogLines('placed', 'seen-3')[0]).toMatchObject({jobs: 1});
		await pendingAnswer;
	});
});

it('drops an unresponsive peer even though it is still sent messages', async () => {
	await startSite({hosts: 2});
	const [first, second] = site.hosts;
	await expect.poll(() => first!.findLogLines('peer-linked').length, {timeout: linkTimeoutMs}).toBeGreaterThanOrEqual(1);
	second!.process.kill('SIGSTOP');
	await expect.poll(() => first!.findLogLines('peer-lost').map(line => line.reason), {timeout: linkTimeoutMs}).toEqual(['silent']);
	second!.process.kill('SIGCONT');
	await expect.poll(() => first!.findLogLines('peer-linked').length, {timeout: linkTimeoutMs}).toBeGreaterThanOrEqual(2);
});

it('exits with a result code when its settings are invalid', async () => {
	await startSite({});
	const [host] = site.hosts;
	await host!.kill();
	writeFileSync(host!.settingsFile, '{"host": 5}');
	host!.start();
	await expect.poll(() => host!.process.exitCode, {timeout: 5000}).toBe(2);
	expect(host!.findLogLines('failed')[0]).toMatchObject({code: 6001});
});

it('exits with a result code when its port is in use', async () => {
	await startSite({hosts: 2});
	const [first, second] = site.hosts;
	await second!.kill();
	const settings = z.record(z.string(), z.unknown()).parse(JSON.parse(readFileSync(second!.settingsFile, 'utf8')));
	writeFileSync(second!.settingsFile, JSON.stringify({...settings, ready: `${first!.ready.host}:${first!.ready.port}`}));
	second!.start();
	await expect.poll(() => second!.process.exitCode, {timeout: linkTimeoutMs}).toBe(1);
	expect(second!.findLogLines('failed')[0]).toMatchObject({code: 6003});
});

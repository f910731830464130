/** Entries of other writers in the store, and configurations with odd values: no process may end because of what it reads there. */
import {Buffer} from 'node:buffer';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {z} from 'zod';
import {createPromptHeaders} from '../../bench/gateway/caller-requests.js';
import {createConfiguration, createServices, routes} from '../../bench/gateway/configuration.js';
import {Site} from '../../bench/gateway/site.js';

let site: Site;

beforeAll(async () => {
	site = await Site.start({hosts: 2, engines: 2, plains: 2});
});

afterAll(async () => {
	await site[Symbol.asyncDispose]();
});

const entry = {
	Service: 'plain', Address: '127.0.0.1:9', Zone: 'a', Slots: 9, State: 'ready', born: 1,
};

/** An array in an array, and so on. */
const nested = JSON.parse(`${'['.repeat(2000)}${']'.repeat(2000)}`) as unknown;

const entries: ReadonlyArray<readonly [string, string, unknown]> = [
	['a port out of range', 'odd-1', {...entry, Address: '127.0.0.1:86099'}],
	['port 0', 'odd-2', {...entry, Address: '127.0.0.1:0'}],
	['a port of many digits', 'odd-3', {...entry, Address: `127.0.0.1:${'9'.repeat(400)}`}],
	['an address that is none', 'odd-4', {...entry, Address: '999.1.1.1:80'}],
	['an address of five numbers', 'odd-5', {...entry, Address: '127.0.0.1.1:80'}],
	['a line end in its id', 'odd\r\nX-Tenant: x', entry],
	['an id that no header can carry', 'odd-\u65E5\u672C', entry],
	['an empty id', '', entry],
	['a long id', 'x'.repeat(20_000), entry],
	['a long name of a failure domain', 'odd-6', {...entry, Zone: 'x'.repeat(100_000)}],
	['a start that is too late', 'odd-7', {...entry, born: Number.MAX_SAFE_INTEGER}],
	['a start before all others', 'odd-8', {...entry, born: -1}],
	['very many slots', 'odd-9', {...entry, Slots: Number.MAX_VALUE}],
	['very few slots', 'odd-10', {...entry, Slots: Number.MIN_VALUE}],
	['values in each other', 'odd-11', {
		...entry, ColdRemainingMs: nested, Version: nested, Sequence: nested,
	}],
	['nothing', 'odd-12', null],
];

/** Sends requests of each kind; returns those that weren't answered. */
async function findUnserved(name: string): Promise<readonly string[]> {
	const answers = await Promise.all(Array.from({length: 24}, async (_, index) => {
		const path = ['/read/x', '/once/x', '/ask/x'][index % 3]!;
		const id = `${name}-${index}`;
		const host = site.hosts[index % site.hosts.length];
		try {
			const {status} = await site.ask({path, id, headers: path === '/ask/x' ? createPromptHeaders(1000, 3) : {}}, host);
			return status === 200 ? [] : [`${id}: ${status}`];
		} catch (error) {
			return [`${id}: ${String(error)}`];
		}
	}));
	return answers.flat();
}

function expectAllRunning(): void {
	expect(site.hosts.map(({process}) => [process.exitCode, process.signalCode])).toEqual(site.hosts.map(() => [null, null]));
}

function countLines(...events: readonly string[]): number {
	return Math.min(...site.hosts.map(host => events.reduce((sum, event) => sum + host.findLogLines(event).length, 0)));
}

/** Writes to the store, and waits until each host has logged one of the events more often. */
async function putUntilLogged(key: string, value: unknown, ...events: readonly string[]): Promise<void> {
	const before = countLines(...events);
	site.store.put(key, value);
	await expect.poll(() => countLines(...events), {timeout: 5000}).toBeGreaterThan(before);
}

describe('an entry of another writer', () => {
	it.each(entries)('with %s ends no host, and takes no requests from the others', async (_, id, value) => {
		for (const service of ['plain', 'model']) {
			const key = `servers/${id}${id === '' ? '' : service}`;
			await putUntilLogged(key, value === null ? value : {...z.looseObject({}).parse(value), Service: service}, 'registration-refused', 'upstream');
		}

		expect(await findUnserved('first')).toEqual([]);
		expect(await findUnserved('second')).toEqual([]);
		expectAllRunning();
		for (const service of ['plain', 'model']) {
			site.store.remove(`servers/${id}${id === '' ? '' : service}`);
		}
	});
});

it('an entry that is longer than the store\'s values may be is not parsed, and the list is followed on', async () => {
	const depth = 3_000_000;
	await putUntilLogged('servers/long', Buffer.from(`{"Service":"plain","Version":${'['.repeat(depth)}${']'.repeat(depth)}}`), 'registration-refused');
	for (const host of site.hosts) {
		const line = host.findLogLines('registration-refused').at(-1);
		expect(line?.key).toBe('servers/long');
		expect(line?.detail).toContain('is longer than 1048576');
	}

	expect(await findUnserved('long')).toEqual([]);
	await putUntilLogged('servers/next', {...entry, Service: 'unused'}, 'upstream');
	expectAllRunning();
});

const engine = (fields: Readonly<Record<string, unknown>>) => ({Services: createServices(fields)});
const route = (fields: Readonly<Record<string, unknown>>) => ({Routes: routes.map(each => ({...each, ...fields}))});

/** Version of the last configuration. */
let version = 1;

describe('a configuration', () => {
	it.each<readonly [string, Readonly<Record<string, unknown>>]>([
		['an engine that reads next to nothing at once', engine({chunk: 1e-300})],
		['an engine without a stride', engine({Stride: 0})],
		['an engine whose stride is negative', engine({Stride: -1})],
		['an engine with a part of a slot', engine({Slots: 0.001})],
		['an engine without memory', engine({KvCapacityTokens: 0})],
		['an engine that is slower than any time', engine({step_ms: Number.MAX_VALUE, per_seq_ms: Number.MAX_VALUE})],
		['an engine whose steps take less than no time', engine({step_ms: -5})],
		['an organisation whose name no header can carry', {Tenants: [{Name: '\u0001\r\n', ApiKeys: ['key-of-acme']}]}],
		['an organisation with a name in other letters', {Tenants: [{Name: '\u65E5\u672C', ApiKeys: ['key-of-acme']}]}],
		['timeouts beyond any timer', route({TimeoutMs: Number.MAX_VALUE, TargetLatencyMs: Number.MAX_VALUE, GapTargetMs: Number.MAX_VALUE})],
		['very many attempts and a very low priority', route({MaxAttempts: Number.MAX_SAFE_INTEGER, Priority: Number.MAX_VALUE})],
		['shares of a route that are negative', route({TrafficSplit: [{Service: 'plain', Weight: -1}, {Service: 'model', Weight: -2}]})],
		['a path of health checks that is none', {Services: createServices().map(service => ({...z.looseObject({}).parse(service), HealthPath: 'no path\r\n'}))}],
		['limits beyond any number of bytes', {
			Limits: {
				MaxHeaderBytes: Number.MAX_VALUE, MaxBodyBytes: Number.MAX_VALUE, HeaderTimeoutMs: Number.MAX_VALUE, IdleTimeoutMs: Number.MAX_VALUE,
			},
		}],
	])('with %s ends no host, and the next one is in force', async (_, change) => {
		version += 2;
		await putUntilLogged('op/config', createConfiguration(version - 1, change), 'configuration', 'configuration-refused');
		await findUnserved('odd');
		expectAllRunning();
		await putUntilLogged('op/config', createConfiguration(version), 'configuration');
		await expect.poll(async () => findUnserved(`after-${performance.now()}`), {timeout: 10_000}).toEqual([]);
		expectAllRunning();
	});
});

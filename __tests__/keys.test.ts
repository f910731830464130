/** Requests that carry an idempotency key and no ticket, with real processes. */
import {setTimeout as sleep} from 'node:timers/promises';
import {v7 as createKey} from 'uuid';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {Fleet} from '../bench/fleet/fleet.js';
import {sendOnce, type CallResult} from './support/caller.js';
import {Ledger} from './support/ledger.js';

const hosts = ['a-host-1', 'a-host-2', 'b-host-1', 'b-host-2'];
const maxWarmUps = 60;
let fleet: Fleet;
let ledger: Ledger;

async function pay(host: string, body: string, key: string): Promise<CallResult> {
	return ledger.record(body, await sendOnce(fleet, {
		host, path: '/v1/services/book/pay', body, key,
	}));
}

/** Hosts run a key only after they know each other, and only a key that was created after that. */
async function waitUntilKeysServed(host: string): Promise<void> {
	for (let attempt = 0; attempt < maxWarmUps; attempt++) {
		const key = createKey();
		const result = await pay(host, `warm-up ${key}`, key);
		if (result.outcome === 'done') {
			return;
		}

		await sleep(500);
	}

	expect.unreachable(`${host} does not run idempotency keys`);
}

beforeEach(async () => {
	ledger = new Ledger();
	fleet = await Fleet.start({
		isProxied: true,
		timeScale: 5,
		domains: ['a', 'b'],
		hosts: [2],
		engines: [],
		plains: [{service: 'book', perDomain: 1}],
		services: [{
			kind: 'plain', id: 'book', idempotent: false, ticketRule: 'key', deadline: {default: 5000, most: 20_000},
		}],
		organisations: [{id: 'one'}],
	});
	for (const host of hosts) {
		await waitUntilKeysServed(host);
	}
});

afterEach(async () => {
	await fleet[Symbol.asyncDispose]();
});

describe('an idempotency key without a ticket', () => {
	it('runs once, no matter how often and to which hosts it is sent', async () => {
		const [sequentialKey, concurrentKey] = [createKey(), createKey()];
		const first = await pay('a-host-1', 'one by one', sequentialKey);
		expect(first).toMatchObject({status: 200, outcome: 'done'});
		for (const host of hosts) {
			expect(await pay(host, 'one by one', sequentialKey)).toMatchObject({status: 200, body: first.body});
		}

		const concurrent = await Promise.all(hosts.map(async host => pay(host, 'all at once', concurrentKey)));
		expect(concurrent.map(({status}) => status)).toEqual([200, 200, 200, 200]);
		expect(await ledger.check(fleet)).toEqual([]);
	});

	it('is proven not to have run while a host is out of reach, and its outcome is unknown once its keeper died', async () => {
		const keptKey = createKey();
		await pay('a-host-1', 'kept', keptKey);
		await fleet.killHost('a-host-1');
		expect(await pay('b-host-1', 'kept', keptKey)).toMatchObject({outcome: 'outcome unknown'});
		expect(await pay('a-host-2', 'unclaimed', createKey())).toMatchObject({outcome: 'not run', code: 2008});
		await fleet.replaceHost('a-host-1');
		await fleet.hosts.waitUntilReady(['a-host-1']);
		expect(await pay('a-host-1', 'kept', keptKey)).toMatchObject({outcome: 'outcome unknown'});
		await waitUntilKeysServed('a-host-1');
		await waitUntilKeysServed('b-host-2');
		expect(await ledger.check(fleet)).toEqual([]);
	});
});

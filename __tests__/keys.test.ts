/** Callers that only resend an idempotency key, with real processes. */
import {setTimeout as sleep} from 'node:timers/promises';
import {v7 as freshKey} from 'uuid';
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

/** Hosts serve keys once they have met each other and the key is younger than that. */
async function waitUntilKeysServed(host: string): Promise<void> {
	for (let turn = 0; turn < maxWarmUps; turn++) {
		const key = freshKey();
		const result = await pay(host, `warm-up ${key}`, key);
		if (result.outcome === 'done') {
			return;
		}

		await sleep(500);
	}

	expect.unreachable(`${host} serves no key`);
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

describe('a bare idempotency key', () => {
	it('runs once, wherever and however often it is sent', async () => {
		const [one, many] = [freshKey(), freshKey()];
		const first = await pay('a-host-1', 'one by one', one);
		expect(first).toMatchObject({status: 200, outcome: 'done'});
		for (const host of hosts) {
			expect(await pay(host, 'one by one', one)).toMatchObject({status: 200, body: first.body});
		}

		const together = await Promise.all(hosts.map(async host => pay(host, 'all at once', many)));
		expect(together.map(({status}) => status)).toEqual([200, 200, 200, 200]);
		expect(await ledger.check(fleet)).toEqual([]);
	});

	it('is proven not to have run while a host is out of reach, and its outcome is unknown once its keeper died', async () => {
		const kept = freshKey();
		await pay('a-host-1', 'kept', kept);
		await fleet.killHost('a-host-1');
		expect(await pay('b-host-1', 'kept', kept)).toMatchObject({outcome: 'outcome unknown'});
		expect(await pay('a-host-2', 'unclaimed', freshKey())).toMatchObject({outcome: 'not run', code: 2008});
		await fleet.replaceHost('a-host-1');
		await fleet.hosts.ready(['a-host-1']);
		expect(await pay('a-host-1', 'kept', kept)).toMatchObject({outcome: 'outcome unknown'});
		await waitUntilKeysServed('a-host-1');
		await waitUntilKeysServed('b-host-2');
		expect(await ledger.check(fleet)).toEqual([]);
	});
});

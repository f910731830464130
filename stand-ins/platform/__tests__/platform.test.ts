import got from 'got';
import {describe, expect, it} from 'vitest';
import {hostsSchema} from '../../../src/configuration-service/protocol.js';
import {CallBudget} from '../budget.js';
import {PlatformService, settingsSchema} from '../service.js';

function client(platform: PlatformService) {
	const {host, port} = platform.addresses.address;
	return got.extend({
		prefixUrl: `http://${host}:${port}`, retry: {limit: 0}, throwHttpErrors: false, headers: {'x-reader': 'r'},
	});
}

async function read(platform: PlatformService, query = '') {
	const {statusCode, headers, body} = await client(platform).get(`v1/configuration${query}`);
	return statusCode === 200 ? `${String(headers['x-revision'])}:${body}` : statusCode;
}

describe('platform', () => {
	it('wakes a watch when a document is published, and counts it as one call', async () => {
		await using platform = await PlatformService.start(settingsSchema.parse({}));
		await platform.apply({type: 'publish', text: 'one', revision: 1});
		expect(await read(platform)).toBe('1:one');
		expect(await read(platform, '?above=1&wait=1')).toBe(204);
		const watch = read(platform, '?above=1&wait=60000');
		while (platform.counts.waiting === 0) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		await platform.apply({type: 'publish', text: 'two', revision: 2});
		expect(await watch).toBe('2:two');
		expect(platform.counts).toMatchObject({calls: 3, refused: 0, byReader: {r: 3}});
	});

	it('serves stale and alternating documents, goes down and comes back on its port', async () => {
		await using platform = await PlatformService.start(settingsSchema.parse({}));
		await platform.apply({type: 'publish', text: 'one', revision: 1});
		await platform.apply({type: 'publish', text: 'two', revision: 2});
		await platform.apply({type: 'stale', publications: 1});
		expect(await read(platform)).toBe('1:one');
		await platform.apply({type: 'alternate', publications: 1});
		expect(new Set([await read(platform), await read(platform)])).toEqual(new Set(['1:one', '2:two']));
		await platform.apply({type: 'fresh'});
		await platform.apply({type: 'down'});
		await expect(read(platform)).rejects.toThrow();
		await platform.apply({type: 'up'});
		expect(await read(platform)).toBe('2:two');
	});

	it('refuses calls above the budget', () => {
		const budget = new CallBudget(2);
		expect([0, 1, 2].map(now => budget.countCall('r', now))).toEqual([true, true, false]);
		expect(budget.countCall('r', 1000)).toBe(true);
		expect(budget.counts).toMatchObject({calls: 4, refused: 1, busiestSecond: 3});
	});

	it('shows the host list only after its lag', async () => {
		await using platform = await PlatformService.start(settingsSchema.parse({hostLag: 60_000}));
		const address = {host: '127.0.0.1', port: 1};
		const hosts = [{
			id: 'a1', failureDomain: 'a', started: 1, peerAddress: address, callerAddress: address, leaving: false,
		}];
		await platform.apply({type: 'hosts', hosts});
		expect(hostsSchema.parse(await client(platform).get('v1/hosts').json()).hosts).toEqual([]);
		await platform.apply({type: 'host-lag', lag: 0});
		expect(hostsSchema.parse(await client(platform).get('v1/hosts').json()).hosts).toEqual(hosts);
	});
});

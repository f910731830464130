import got from 'got';
import {describe, expect, it} from 'vitest';
import {type Fault} from '../faults.js';
import {PlainService, settingsSchema} from '../service.js';

async function applyFault(service: PlainService, fault: Fault) {
	const {host, port} = service.addresses.control;
	await got.post(`http://${host}:${port}/control`, {json: fault});
}

async function call(service: PlainService, key: string): Promise<number | 'broken'> {
	const {host, port} = service.addresses.address;
	try {
		const {statusCode} = await got.post(`http://${host}:${port}/pay/one`, {
			json: {amount: 1}, headers: {'idempotency-key': key}, retry: {limit: 0}, throwHttpErrors: false,
		});
		return statusCode;
	} catch {
		return 'broken';
	}
}

describe('plain service', () => {
	it('counts only calls that were executed', async () => {
		await using service = await PlainService.start(settingsSchema.parse({id: 'p'}));
		expect(await call(service, 'plain')).toBe(200);
		await applyFault(service, {type: 'refuse', status: 503, count: 1});
		expect(await call(service, 'refused')).toBe(503);
		await applyFault(service, {type: 'drop-before', count: 1});
		expect(await call(service, 'dropped')).toBe('broken');
		await applyFault(service, {type: 'fail-after', status: 500, count: 1});
		expect(await call(service, 'failed')).toBe(500);
		await applyFault(service, {type: 'drop-after', count: 1});
		expect(await call(service, 'lost')).toBe('broken');
		expect(service.counts.byKey).toEqual({plain: 1, failed: 1, lost: 1});
		expect(Object.values(service.counts.byBody)).toEqual([3]);
	});

	it('crashes on a poisoned body and keeps its counts after the restart', async () => {
		await using service = await PlainService.start(settingsSchema.parse({id: 'p'}));
		await applyFault(service, {type: 'poison', marker: 'amount', returnAfter: 60_000});
		expect(await call(service, 'k')).toBe('broken');
		expect(await call(service, 'k')).toBe('broken');
		await applyFault(service, {type: 'heal'});
		await applyFault(service, {type: 'restart'});
		expect(await call(service, 'k')).toBe(200);
		expect(service.counts.byKey).toEqual({k: 2});
	});
});

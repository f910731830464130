/** Propagation of configuration documents between the platform and hosts, with real processes. */
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {Fleet} from '../bench/fleet/fleet.js';
import {type FleetShapeInput} from '../bench/fleet/shape.js';
import {countReversions} from '../bench/membership/reversions.js';
import {waitForRevision, waitForLinks, fetchHostState} from '../bench/membership/status.js';

function buildShape(isProxied: boolean): FleetShapeInput {
	return {
		isProxied,
		timeScale: 20,
		domains: ['a', 'b', 'c'],
		hosts: [2],
		services: [],
		organisations: [{id: 'one'}],
		hostLag: 100,
		entry: {hostsInterval: 300},
	};
}

const hosts = ['a-host-1', 'a-host-2', 'b-host-1', 'b-host-2', 'c-host-1', 'c-host-2'];

describe('configuration adoption', () => {
	it('applies a revision on every host when one host reads the platform and one domain connects the other two', async () => {
		await using fleet = await Fleet.start(buildShape(true));
		await waitForLinks(fleet, hosts, 3);
		for (const host of hosts.slice(1)) {
			fleet.applyFault({type: 'refuse', where: {link: `${host}-platform`}});
		}

		fleet.applyFault({type: 'refuse', where: {from: 'a', to: 'c'}});
		fleet.applyFault({type: 'refuse', where: {from: 'c', to: 'a'}});
		for (let change = 0; change < 3; change++) {
			const revision = await fleet.publish(before => before);
			await waitForRevision(fleet, hosts, revision);
		}

		expect(await fetchHostState(fleet, 'c-host-2')).toMatchObject({revision: 4});
	});

	it('rejects a stale document, an invalid one and a different one of the same revision, and keeps serving', async () => {
		await using fleet = await Fleet.start({...buildShape(false), hosts: [1]});
		const first = fleet.configuration;
		await waitForRevision(fleet, ['a-host-1'], await fleet.publish(before => before));
		await fleet.controlPlatform({type: 'publish', text: '{"revision": 9}', revision: 9});
		await fleet.controlPlatform({type: 'publish', text: JSON.stringify(first), revision: 10});
		await fleet.controlPlatform({type: 'publish', text: JSON.stringify({...first, revision: 2, tokenKeys: [{id: 'other', secret: 'a'.repeat(64)}]}), revision: 11});
		await sleep(1500);
		expect(await fetchHostState(fleet, 'a-host-1')).toMatchObject({phase: 'serving', revision: 2});
	});

	it('never reverts to an older revision while the platform alternates fresh and stale documents and hosts restart', {timeout: 120_000}, async () => {
		await using fleet = await Fleet.start({...buildShape(false), domains: ['a', 'b']});
		const result = await countReversions(fleet, 60, 20);
		expect(result).toMatchObject({changes: 60, restarts: 3, reversions: 0});
		expect(result.readings).toBeGreaterThan(0);
	});

	it('gives a host that starts during a platform outage the document of its peers', async () => {
		await using fleet = await Fleet.start({...buildShape(true), domains: ['a']});
		const revision = await fleet.publish(before => before);
		await waitForRevision(fleet, ['a-host-1', 'a-host-2'], revision);
		await waitForLinks(fleet, ['a-host-1', 'a-host-2'], 1);
		await fleet.controlPlatform({type: 'down'});
		await fleet.replaceHost('a-host-1');
		await fleet.hosts.waitUntilReady(['a-host-1']);
		expect(await fetchHostState(fleet, 'a-host-1')).toMatchObject({phase: 'serving', revision});
	});
});

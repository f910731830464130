/** Planned stops, rolling replacement of hosts and takeover of engine orders, with real processes. */
import {setTimeout as sleep} from 'node:timers/promises';
import got from 'got';
import {describe, expect, it} from 'vitest';
import {z} from 'zod';
import {Fleet} from '../bench/fleet/fleet.js';
import {type FleetShapeInput} from '../bench/fleet/shape.js';
import {rollHosts} from '../bench/membership/roll.js';
import {waitForRevision, waitForLinks, fetchHostState} from '../bench/membership/status.js';
import {orderStateSchema} from '../src/upstream/protocol.js';

function buildShape(fencing: boolean): FleetShapeInput {
	return {
		timeScale: 20,
		domains: ['a'],
		hosts: [3],
		engines: [{service: 'check', perDomain: 1, settings: {fencing}}],
		services: [{
			kind: 'model', id: 'check', model: 'm', idempotent: true, deadline: {default: 10_000, most: 20_000}, readyEngines: 0,
		}],
		organisations: [{id: 'one'}],
		keepsLogs: true,
		hostLag: 100,
		entry: {hostsInterval: 300},
	};
}

async function waitUntil(condition: () => Promise<boolean> | boolean): Promise<void> {
	while (!await condition()) {
		await sleep(20);
	}
}

async function fetchVersion(fleet: Fleet): Promise<string | undefined> {
	const [engine] = fleet.configuration.upstreams;
	const orders = orderStateSchema.parse(await got(`http://${engine!.address.host}:${engine!.address.port}/v1/orders`).json());
	return (orders.loading ?? orders.current)?.version;
}

async function publishVersion(fleet: Fleet, version: string): Promise<number> {
	return fleet.publish(before => ({
		...before,
		upstreams: before.upstreams.map(upstream => upstream.kind === 'engine' ? {...upstream, target: {...upstream.target!, version}} : upstream),
	}));
}

const loadOrderSchema = z.object({
	event: z.literal('ordered'),
	order: z.object({type: z.literal('load'), target: z.object({version: z.string()})}),
});

/** Returns the hosts that ordered a version. Others may have sealed the engine before the hosts knew each other. */
function findControllers(fleet: Fleet, version: string): readonly string[] {
	const isLoad = (line: unknown) => loadOrderSchema.safeParse(line).data?.order.target.version === version;
	return fleet.hosts.all.filter(({child}) => child.lines.some(line => isLoad(line))).map(host => host.id);
}

describe('hosts that are replaced', () => {
	it('cut no stream and accept no request 3 s after they announced leaving', {timeout: 180_000}, async () => {
		await using fleet = await Fleet.start({...buildShape(true), engines: [{service: 'check', perDomain: 2}], keepsLogs: false});
		const result = await rollHosts(fleet, 4, 6);
		expect(result).toMatchObject({replacements: 4, cut: 0, late: 0});
		expect(result.streams).toBeGreaterThan(0);
	});
});

describe('planned stops of hosts', () => {
	it('run one at a time: the second begins after the first host is back', {timeout: 120_000}, async () => {
		await using fleet = await Fleet.start({...buildShape(true), engines: []});
		const hosts = fleet.hosts.all.map(host => host.id);
		await waitForLinks(fleet, hosts, 2);
		const notBefore = Date.now();
		await fleet.publish(before => ({
			...before,
			plannedStops: ['a-host-2', 'a-host-1'].map((id, index) => ({
				id: `stop-${index}`, target: {kind: 'host', id}, notBefore, grace: 5000,
			} as const)),
		}));
		await waitUntil(() => !fleet.hosts.get('a-host-2').child.isAlive);
		expect(fleet.hosts.get('a-host-1').child.isAlive).toBe(true);
		expect(await fetchHostState(fleet, 'a-host-1')).toMatchObject({phase: 'serving'});
		await fleet.replaceHost('a-host-2');
		await waitUntil(() => !fleet.hosts.get('a-host-1').child.isAlive);
		expect(await fetchHostState(fleet, 'a-host-2')).toMatchObject({phase: 'serving'});
		expect(await fetchHostState(fleet, 'a-host-3')).toMatchObject({phase: 'serving'});
	});
});

describe('a controller that is paused and resumes after a takeover', () => {
	it.each([true, false])('does not override the order of the host that took over (order numbers checked: %s)', {timeout: 120_000}, async fencing => {
		await using fleet = await Fleet.start(buildShape(fencing));
		// A host that knows no peers considers itself the controller of every engine, so two hosts could order version 2.
		await waitForLinks(fleet, fleet.hosts.all.map(host => host.id), 2);
		await publishVersion(fleet, '2');
		await waitUntil(async () => await fetchVersion(fleet) === '2');
		// The log line of the order may arrive after the engine's answer.
		await waitUntil(() => findControllers(fleet, '2').length > 0);
		const [paused, ...rest] = findControllers(fleet, '2');
		expect(rest).toEqual([]);
		fleet.hosts.get(paused!).child.pause();
		const others = fleet.hosts.all.map(host => host.id).filter(id => id !== paused);
		await waitForRevision(fleet, others, await publishVersion(fleet, '3'));
		await waitUntil(async () => await fetchVersion(fleet) === '3');
		fleet.hosts.get(paused!).child.resume();
		await waitForRevision(fleet, [paused!], fleet.configuration.revision);
		for (let check = 0; check < 40; check++) {
			expect(await fetchVersion(fleet)).toBe('3');
			await sleep(100);
		}

		expect(findControllers(fleet, '2')).toEqual([paused]);
		expect(await fetchHostState(fleet, paused!)).toMatchObject({phase: 'serving'});
	});
});

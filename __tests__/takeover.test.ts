/** Switching a service from legacy to new upstreams, with real processes. */
import got from 'got';
import {describe, expect, it} from 'vitest';
import {z} from 'zod';
import {Fleet} from '../bench/fleet/fleet.js';
import {getApiKey, type FleetShapeInput} from '../bench/fleet/shape.js';
import {waitForRevision, waitForLinks, fetchHostState} from '../bench/membership/status.js';
import {type Configuration} from '../src/core/index.js';

const shape: FleetShapeInput = {
	isProxied: true,
	timeScale: 20,
	domains: ['a', 'b'],
	hosts: [2, 1],
	plains: [{service: 'book', perDomain: 2}],
	services: [{
		kind: 'plain', id: 'book', idempotent: false, ticketRule: 'ticket', deadline: {default: 4000, most: 10_000},
	}],
	organisations: [{id: 'one'}],
	hostLag: 100,
	entry: {hostsInterval: 300},
};

const hosts = ['a-host-1', 'a-host-2', 'b-host-1'];
const bookingCount = 12;
const ticketSchema = z.object({ticket: z.string()});

/** Turns the second upstream of each domain into a legacy upstream and lets the legacy upstreams serve the service. */
function useLegacyUpstreams(before: Configuration): Configuration {
	return {
		...before,
		upstreams: before.upstreams.map(upstream => upstream.kind === 'plain' && upstream.id.endsWith('-2') ? {...upstream, kind: 'legacy'} : upstream),
		takeovers: [{service: 'book', servedBy: 'legacy'}],
	};
}

async function requestTicket(fleet: Fleet, host: string): Promise<string> {
	const {caller} = fleet.hosts.get(host);
	const answer = await got.post(`http://${caller.host}:${caller.port}/v1/tickets`, {
		headers: {authorization: `Bearer ${getApiKey('one')}`}, retry: {limit: 0},
	}).json();
	return ticketSchema.parse(answer).ticket;
}

async function sendBooking(fleet: Fleet, host: string, ticket: string, body: string): Promise<number> {
	const {caller} = fleet.hosts.get(host);
	const {statusCode} = await got.post(`http://${caller.host}:${caller.port}/v1/services/book/seats`, {
		headers: {authorization: `Bearer ${getApiKey('one')}`, 'x-ticket': ticket}, body, retry: {limit: 0}, throwHttpErrors: false,
	});
	return statusCode;
}

/** Returns the number of executions by upstream. */
function countExecutions(fleet: Fleet): Readonly<Record<string, number>> {
	return Object.fromEntries(fleet.upstreams.plainServiceCounts.map(each => [each.service, each.executed]));
}

describe('switching to the new upstreams while one failure domain stays at the old revision', () => {
	it('runs each booking once, on either the legacy or the new upstreams', async () => {
		await using fleet = await Fleet.start(shape);
		await waitForLinks(fleet, hosts, 2);
		await waitForRevision(fleet, hosts, await fleet.publish(before => useLegacyUpstreams(before)));
		expect(await sendBooking(fleet, 'a-host-1', await requestTicket(fleet, 'a-host-2'), 'first')).toBe(200);
		expect(countExecutions(fleet)).toMatchObject({'a-book-1': 0, 'a-book-2': 1});
		// Hosts in b still reach the caller listeners in a, but neither its peer listeners nor the platform.
		fleet.applyFault({type: 'refuse', where: {link: 'b-host-1-platform'}});
		for (const host of hosts) {
			fleet.applyFault({type: 'refuse', where: {link: `${host}-peer`}});
		}

		const revision = await fleet.publish(before => ({...before, takeovers: []}));
		await waitForRevision(fleet, ['a-host-1', 'a-host-2'], revision);
		expect(await fetchHostState(fleet, 'b-host-1')).toMatchObject({revision: revision - 1});
		const statuses = new Set<number>();
		for (let booking = 0; booking < bookingCount; booking++) {
			const ticket = await requestTicket(fleet, hosts[booking % hosts.length]!);
			const received = await Promise.all(hosts.map(async host => sendBooking(fleet, host, ticket, `booking ${booking}`)));
			for (const status of received) {
				statuses.add(status);
			}
		}

		expect(statuses).toEqual(new Set([200]));
		const counts = fleet.upstreams.plainServiceCounts;
		expect(counts.reduce((sum, each) => sum + each.executed, 0)).toBe(bookingCount + 1);
		for (const {byBody} of counts) {
			expect(new Set(Object.values(byBody))).toEqual(new Set(Object.keys(byBody).length === 0 ? [] : [1]));
		}

		// All four bookings kept by b ran on legacy upstreams, and none of the eight kept by a did.
		expect(countExecutions(fleet)).toMatchObject({'a-book-2': 1, 'b-book-1': 0, 'b-book-2': 4});
		fleet.heal();
		await waitForRevision(fleet, hosts, revision);
	});
});

/** The command line tool and the web console against real hosts. */
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {Fleet} from '../bench/fleet/fleet.js';
import {getApiKey} from '../bench/fleet/shape.js';
import {runCommand} from '../src/cli/__tests__/fakes.js';
import {openConsole} from '../src/console/__tests__/browser.js';
import {formatAddress} from '../src/protocol/address.js';
import {decisionsSchema} from '../src/protocol/admin.js';

const hostNames = ['a-host-1', 'a-host-2'];
const environment = {CRANBERRYTIDE_KEY: getApiKey('one')};
let fleet: Fleet;

function formatAddresses(listener: 'admin' | 'caller'): string {
	return hostNames.map(name => formatAddress(fleet.hosts.get(name)[listener]!)).join(',');
}

beforeAll(async () => {
	fleet = await Fleet.start({
		timeScale: 20,
		domains: ['a'],
		hosts: [2],
		engines: [{service: 'check', perDomain: 1}],
		plains: [{service: 'book', perDomain: 1}],
		services: [
			{
				kind: 'model', id: 'check', model: 'm', idempotent: true, deadline: {default: 10_000, most: 20_000},
			},
			{
				kind: 'plain', id: 'book', idempotent: false, ticketRule: 'ticket', deadline: {default: 10_000, most: 20_000},
			},
		],
		organisations: [{id: 'one'}],
	});
});

afterAll(async () => {
	await fleet[Symbol.asyncDispose]();
});

describe('operator tools', () => {
	it('shows the current configuration and the state of the fleet', async () => {
		const shown = await runCommand(['show', '--hosts', formatAddresses('admin')]);
		expect(shown).toMatchObject({code: 0, complaints: ''});
		expect(shown.out.trim().split('\n')).toHaveLength(3);
		const document = await runCommand(['show', '--document', '--hosts', formatAddresses('admin')]);
		const checked = await runCommand(['check', '-'], document.out);
		expect(checked.code).toBe(0);
		const status = await runCommand(['status', '--hosts', formatAddresses('admin')]);
		expect(status.code).toBe(0);
		expect(status.out).toMatch(/^a-host-2 +a +serving/mv);
		expect(status.out).toMatch(/^a-check-1 +engine +check/mv);
	});

	it('sends a prompt and explains its outcome', async () => {
		const answer = await runCommand(['send', '--service', 'check', '--max-tokens', '20', '--hosts', formatAddresses('caller')], 'one line', environment);
		expect(answer).toMatchObject({code: 0, complaints: ''});
		expect(answer.out.length).toBeGreaterThan(1);
		const {host, request} = await findConcludedRequest();
		const explained = await runCommand(['explain', request, '--hosts', formatAddresses('admin')]);
		expect(explained.code).toBe(0);
		expect(explained.out).toContain(`${host}  Sent to a-check-1 as attempt ${request}`);
		expect(explained.out).toContain('Answered in full');
	});

	it('runs a non-idempotent call with the ticket from the refusal', async () => {
		const commandLine = ['send', '--service', 'book', '--path', '/bookings', '--once', '--hosts', formatAddresses('caller')];
		expect(await runCommand(commandLine, '{"seat":1}', environment)).toMatchObject({code: 0, complaints: ''});
		const unknown = await runCommand(['send', '--service', 'none', '--hosts', formatAddresses('caller')], 'x', environment);
		expect(unknown.code).toBe(10);
		expect(unknown.complaints).toContain('error 1004');
	});

	it('prepares the next configuration from the current one', async () => {
		await using console = await openConsole({admin: formatAddresses('admin').split(',')});
		const start = await console.start();
		expect(start).not.toContain('class="notice');
		const page = await console.next(start, 'go/entry/organisations/0');
		const review = await console.next(page, 'go/review', {'field.weight': '3'});
		expect(review).toContain('Organisation &quot;one&quot;: weight changes from 1 to 3');
	});

	it('drains a host', async () => {
		const drained = await runCommand(['drain', 'a-host-2', '--wait', '--hosts', formatAddresses('admin')]);
		expect(drained.code).toBe(0);
		expect(drained.out).toContain('a-host-2 is leaving');
		expect(await runCommand(['status', '--hosts', formatAddresses('admin')])).toMatchObject({code: 70});
	});
});

/** Finds a finished request in the recent decisions of the hosts. */
async function findConcludedRequest(): Promise<{readonly host: string; readonly request: string}> {
	for (const name of hostNames) {
		const response = await fetch(`http://${formatAddress(fleet.hosts.get(name).admin!)}/admin/decisions`);
		const {decisions} = decisionsSchema.parse(await response.json());
		const concluded = decisions.find(({decision}) => decision.type === 'concluded');
		if (concluded !== undefined) {
			return {host: name, request: String(concluded.decision.request)};
		}
	}

	throw new Error('no host reports a finished request');
}

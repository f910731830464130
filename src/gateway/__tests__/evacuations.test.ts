/** Orders to evacuate a failure domain outlast what may be lost: the store's last writes, the store, and messages of peers. */
import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {createUpstream} from '../../core/gateway/__tests__/fixtures.js';
import {maxEvacuatedDomains} from '../../core/gateway/registry/evacuations.js';
import {ignore} from '../../entry/ignore.js';
import {type Log} from '../../entry/logs.js';
import {stateSchema} from '../peers/state.js';
import {Registrations} from '../upstreams/registrations.js';
import {Upstreams} from '../upstreams/upstreams.js';

beforeEach(() => {
	vi.useFakeTimers({now: 0});
});

afterEach(() => {
	vi.useRealTimers();
});

const engines = [createUpstream('a', {failureDomain: 'a'}), createUpstream('b', {failureDomain: 'b'})];
const before = {era: 1, revision: 500};
const restored = {era: 2, revision: 460};
const retentionMs = 2000;

function setUp() {
	const log = {write: vi.fn<Log['write']>()};
	const upstreams = new Upstreams(log, {restarted: ignore, removed: ignore});
	const registrations = new Registrations({upstreams, log, now: () => performance.now()});
	return {registrations, findLines: (event: string) => log.write.mock.calls.map(([line]) => line).filter(line => line.event === event)};
}

it('logs each order and its end once, with its origin', () => {
	const {registrations, findLines} = setUp();
	registrations.replaceAll(engines, before, ['b', 'nowhere']);
	registrations.replaceAll(engines, {era: 1, revision: 501}, ['b', 'nowhere']);
	registrations.applyChanges([{
		type: 'evacuation-ended', domain: 'b', era: 1, revision: 502,
	}], {era: 1, revision: 502});
	expect(findLines('domain-evacuated')).toEqual([
		{
			event: 'domain-evacuated', domain: 'b', upstreams: 1, source: 'store', ...before,
		},
		{
			event: 'domain-evacuated', domain: 'nowhere', upstreams: 0, source: 'store', ...before, detail: 'no upstream is registered in this failure domain',
		},
	]);
	expect(findLines('domain-evacuation-ended')).toEqual([{
		event: 'domain-evacuation-ended', domain: 'b', source: 'store', era: 1, revision: 502,
	}]);
});

it('gives a host that starts while the store is away the orders that its peer knows, in a message of the present schema', () => {
	const [peer, started] = [setUp(), setUp()];
	peer.registrations.replaceAll(engines, before, ['b']);
	const {upstreams, evacuated, changed, era, revision} = peer.registrations.createUpdate({era: 0, revision: 0});
	const message = stateSchema.parse({
		type: 'state', ask: 1, age: 0, version: 1, upstreams, evacuated, changed, era, revision,
	});
	started.registrations.applyUpdate('peer', {...message, era: 1});
	expect(started.registrations.evacuatedDomains).toEqual(['b']);
	expect(started.findLines('domain-evacuated')).toMatchObject([{domain: 'b', source: 'peer'}]);
});

it('keeps an order that a backup lacks for the time in which the operator writes it again', () => {
	const {registrations, findLines} = setUp();
	registrations.replaceAll(engines, before, ['a', 'b']);
	registrations.replaceAll(engines, restored, []);
	vi.advanceTimersByTime(retentionMs - 100);
	registrations.applyChanges([{
		type: 'evacuated', domain: 'a', era: 2, revision: 461,
	}], {era: 2, revision: 461});
	expect([registrations.isEvacuated('a'), registrations.isEvacuated('b')]).toEqual([true, true]);
	vi.advanceTimersByTime(200);
	expect([registrations.isEvacuated('a'), registrations.isEvacuated('b')]).toEqual([true, false]);
	expect(findLines('domain-evacuated')).toHaveLength(2);
	expect(findLines('domain-evacuation-ended')).toMatchObject([{domain: 'b', era: 2}]);
});

it('drops an order that a backup lacks at once if the host learns of the backup late', () => {
	const {registrations} = setUp();
	registrations.replaceAll(engines, before, ['b']);
	registrations.applyUpdate('peer', {
		...restored, eraAge: retentionMs + 1000, changed: 460, upstreams: engines, evacuated: [],
	});
	expect(registrations.evacuatedDomains).toEqual([]);
});

it('keeps an order that a backup brings back until it is removed', () => {
	const {registrations} = setUp();
	registrations.replaceAll(engines, before, []);
	registrations.replaceAll(engines, restored, ['b']);
	vi.advanceTimersByTime(retentionMs * 10);
	expect(registrations.evacuatedDomains).toEqual(['b']);
	registrations.applyChanges([{
		type: 'evacuation-ended', domain: 'b', era: 2, revision: 470,
	}], {era: 2, revision: 470});
	expect(registrations.evacuatedDomains).toEqual([]);
});

it('applies the last of several changes of one order', () => {
	const {registrations, findLines} = setUp();
	registrations.replaceAll(engines, before, []);
	registrations.applyChanges([
		{
			type: 'evacuated', domain: 'a', era: 1, revision: 501,
		},
		{
			type: 'evacuation-ended', domain: 'a', era: 1, revision: 502,
		},
		{
			type: 'written', upstream: createUpstream('a', {failureDomain: 'c'}), era: 1, revision: 503,
		},
	], {era: 1, revision: 503});
	expect([registrations.evacuatedDomains, findLines('domain-evacuated')]).toEqual([[], []]);
});

it('logs orders beyond the largest number of domains, and keeps the others', () => {
	const {registrations, findLines} = setUp();
	registrations.replaceAll(engines, before, Array.from({length: maxEvacuatedDomains + 2}, (_, index) => `d${index}`));
	expect(registrations.evacuatedDomains).toHaveLength(maxEvacuatedDomains);
	expect(findLines('evacuation-refused')).toMatchObject([{domain: `d${maxEvacuatedDomains}`, count: 2}]);
});

/** The usable upstreams are kept in sync with the platform's registry. */
import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {ignore} from '../../entry/ignore.js';
import {Registrations} from '../registrations.js';
import {Upstreams} from '../upstreams.js';

beforeEach(() => {
	vi.useFakeTimers({now: 0});
});

afterEach(() => {
	vi.useRealTimers();
});

function setUp() {
	const log = {write: ignore};
	const upstreams = new Upstreams(log, {restarted: ignore, removed: ignore});
	const registrations = new Registrations({upstreams, log, now: () => performance.now()});
	return {registrations, known: () => upstreams.all.map(upstream => upstream.id)};
}

function upstream(id: string): GatewayUpstream {
	return {
		id, service: 'model', address: {host: '127.0.0.1', port: 1}, failureDomain: 'a', slots: 1, isDraining: false,
	};
}

const removed = {type: 'removed', id: 'e1', revision: 6} as const;

it('a host that was cut off from the store does not send peers an upstream that has been removed', () => {
	const reader = setUp();
	const asker = setUp();
	reader.registrations.replaceAll([upstream('e1'), upstream('e2')], 5);
	asker.registrations.replaceAll([upstream('e2')], 6);
	reader.registrations.recordStoreLost();
	reader.registrations.applyChanges([removed], 7);
	reader.registrations.recordStoreRegained();
	asker.registrations.applyUpdate('reader', reader.registrations.createUpdate(0));
	expect(reader.known()).toEqual(['e1', 'e2']);
	expect(asker.known()).toEqual(['e2']);
});

it('an upstream that a peer no longer knows is removed at once if the store was never lost', () => {
	const {registrations, known} = setUp();
	registrations.replaceAll([upstream('e1'), upstream('e2')], 5);
	registrations.applyUpdate('peer', {upstreams: [upstream('e2')], revision: 6, changed: 6});
	expect(known()).toEqual(['e2']);
});

it('an upstream whose registration expired during an outage of the store is used for two seconds after the store returns', () => {
	const {registrations, known} = setUp();
	registrations.replaceAll([upstream('e1')], 5);
	registrations.recordStoreLost();
	registrations.applyChanges([removed], 6);
	registrations.recordStoreRegained();
	vi.advanceTimersByTime(1900);
	expect(known()).toEqual(['e1']);
	vi.advanceTimersByTime(200);
	expect(known()).toEqual([]);
});

it('an upstream that registers again during the grace period stays', () => {
	const {registrations, known} = setUp();
	registrations.replaceAll([upstream('e1')], 5);
	registrations.recordStoreLost();
	registrations.applyChanges([removed], 6);
	registrations.applyUpdate('peer', {upstreams: [upstream('e1')], revision: 7, changed: 7});
	vi.advanceTimersByTime(5000);
	expect(known()).toEqual(['e1']);
});

it('an update without changes advances the revision', () => {
	const {registrations, known} = setUp();
	registrations.replaceAll([upstream('e1')], 5);
	registrations.applyUpdate('peer', {revision: 9, changed: 4});
	expect([registrations.revision, known()]).toEqual([9, ['e1']]);
});

it('a host that alone has lost the store removes at once what a peer reports removed', () => {
	const {registrations, known} = setUp();
	registrations.replaceAll([upstream('e1'), upstream('e2')], 5);
	registrations.recordStoreLost();
	registrations.applyUpdate('peer', {upstreams: [upstream('e2')], revision: 6, changed: 6});
	expect(known()).toEqual(['e2']);
});

it('an upstream whose registration expired during an outage stays while a peer keeps it too', () => {
	const {registrations, known} = setUp();
	registrations.replaceAll([upstream('e1'), upstream('e2')], 5);
	registrations.recordStoreLost();
	registrations.applyUpdate('peer', {
		upstreams: [upstream('e2')], revision: 6, changed: 6, kept: ['e1'],
	});
	expect(known()).toEqual(['e1', 'e2']);
	registrations.applyUpdate('peer', {revision: 7, changed: 6});
	expect(known()).toEqual(['e2']);
});

it('an update older than a removal does not end the grace period', () => {
	const {registrations, known} = setUp();
	registrations.replaceAll([upstream('e1')], 5);
	registrations.recordStoreLost();
	registrations.applyChanges([removed], 6);
	registrations.applyUpdate('peer', {revision: 5, changed: 5});
	expect(known()).toEqual(['e1']);
});

it('updates name the upstreams that the host keeps itself', () => {
	const {registrations} = setUp();
	registrations.replaceAll([upstream('e1')], 5);
	registrations.recordStoreLost();
	registrations.applyChanges([removed], 6);
	expect(registrations.createUpdate(0)).toEqual({
		upstreams: [], revision: 6, changed: 6, kept: ['e1'],
	});
	expect(registrations.createUpdate(6)).toEqual({revision: 6, changed: 6, kept: ['e1']});
});

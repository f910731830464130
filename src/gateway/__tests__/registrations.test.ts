/** The usable upstreams are kept in sync with the platform's registry. */
import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {at, createUpstream as upstream} from '../../core/gateway/__tests__/fixtures.js';
import {ignore} from '../../entry/ignore.js';
import {Registrations} from '../upstreams/registrations.js';
import {Upstreams} from '../upstreams/upstreams.js';

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

const removed = {type: 'removed', id: 'e1', ...at(6)} as const;

it('a host that was cut off from the store does not send peers an upstream that has been removed', () => {
	const reader = setUp();
	const asker = setUp();
	reader.registrations.replaceAll([upstream('e1'), upstream('e2')], at(5));
	asker.registrations.replaceAll([upstream('e2')], at(6));
	reader.registrations.recordStoreLost();
	reader.registrations.applyChanges([removed], at(7));
	reader.registrations.recordStoreRegained();
	asker.registrations.applyUpdate('reader', reader.registrations.createUpdate(at(0)));
	expect(reader.known()).toEqual(['e1', 'e2']);
	expect(asker.known()).toEqual(['e2']);
});

it('an upstream that a peer no longer knows is removed at once if the store was never lost', () => {
	const {registrations, known} = setUp();
	registrations.replaceAll([upstream('e1'), upstream('e2')], at(5));
	registrations.applyUpdate('peer', {upstreams: [upstream('e2')], ...at(6), changed: 6});
	expect(known()).toEqual(['e2']);
});

it('an upstream whose registration expired during an outage of the store is used for two seconds after the store returns', () => {
	const {registrations, known} = setUp();
	registrations.replaceAll([upstream('e1')], at(5));
	registrations.recordStoreLost();
	registrations.applyChanges([removed], at(6));
	registrations.recordStoreRegained();
	vi.advanceTimersByTime(1900);
	expect(known()).toEqual(['e1']);
	vi.advanceTimersByTime(200);
	expect(known()).toEqual([]);
});

it('an upstream that registers again during the grace period stays', () => {
	const {registrations, known} = setUp();
	registrations.replaceAll([upstream('e1')], at(5));
	registrations.recordStoreLost();
	registrations.applyChanges([removed], at(6));
	registrations.applyUpdate('peer', {upstreams: [upstream('e1')], ...at(7), changed: 7});
	vi.advanceTimersByTime(5000);
	expect(known()).toEqual(['e1']);
});

it('an update without changes advances the revision', () => {
	const {registrations, known} = setUp();
	registrations.replaceAll([upstream('e1')], at(5));
	registrations.applyUpdate('peer', {...at(9), changed: 4});
	expect([registrations.position, known()]).toEqual([at(9), ['e1']]);
});

it('a host that alone has lost the store removes at once what a peer reports removed', () => {
	const {registrations, known} = setUp();
	registrations.replaceAll([upstream('e1'), upstream('e2')], at(5));
	registrations.recordStoreLost();
	registrations.applyUpdate('peer', {upstreams: [upstream('e2')], ...at(6), changed: 6});
	expect(known()).toEqual(['e2']);
});

it('an upstream whose registration expired during an outage stays while a peer keeps it too', () => {
	const {registrations, known} = setUp();
	registrations.replaceAll([upstream('e1'), upstream('e2')], at(5));
	registrations.recordStoreLost();
	registrations.applyUpdate('peer', {
		upstreams: [upstream('e2')], ...at(6), changed: 6, kept: ['e1'],
	});
	expect(known()).toEqual(['e1', 'e2']);
	registrations.applyUpdate('peer', {...at(7), changed: 6});
	expect(known()).toEqual(['e2']);
});

it('an update older than a removal does not end the grace period', () => {
	const {registrations, known} = setUp();
	registrations.replaceAll([upstream('e1')], at(5));
	registrations.recordStoreLost();
	registrations.applyChanges([removed], at(6));
	registrations.applyUpdate('peer', {...at(5), changed: 5});
	expect(known()).toEqual(['e1']);
});

it('updates name the upstreams that the host keeps itself', () => {
	const {registrations} = setUp();
	registrations.replaceAll([upstream('e1')], at(5));
	registrations.recordStoreLost();
	registrations.applyChanges([removed], at(6));
	expect(registrations.createUpdate(at(0))).toEqual({
		upstreams: [], evacuated: [], ...at(6), changed: 6, kept: ['e1'],
	});
	expect(registrations.createUpdate(at(6))).toEqual({...at(6), changed: 6, kept: ['e1']});
});

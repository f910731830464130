/** When the store returns from a backup, nothing that a host knows goes back, and what is written again is used. */
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {createUpstream} from '../../core/gateway/__tests__/fixtures.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {ignore} from '../../entry/ignore.js';
import {type Log} from '../../entry/logs.js';
import {stateSchema, stateRequestSchema} from '../peers/state.js';
import {Registrations} from '../upstreams/registrations.js';
import {Upstreams} from '../upstreams/upstreams.js';

beforeEach(() => {
	vi.useFakeTimers({now: 0});
});

afterEach(() => {
	vi.useRealTimers();
});

function setUp() {
	const log = {write: vi.fn<Log['write']>()};
	const upstreams = new Upstreams(log, {restarted: ignore, removed: ignore});
	const registrations = new Registrations({upstreams, log, now: () => performance.now()});
	return {
		log,
		registrations,
		ready: () => upstreams.all.filter(upstream => !upstream.isDraining).map(upstream => upstream.id).toSorted(),
		known: () => upstreams.all.map(upstream => upstream.id).toSorted(),
	};
}

function upstream(id: string, change: Partial<GatewayUpstream> = {}): GatewayUpstream {
	return createUpstream(id, {sequence: 1, ...change});
}

const before = {era: 1, revision: 500};
const restored = {era: 2, revision: 460};
const graceMs = 2100;
const withholdingMs = 8100;

describe('a host that asks a relay', () => {
	it('gets what the relay listed after the return, though its revision is lower', () => {
		const relay = setUp();
		const asker = setUp();
		for (const {registrations} of [relay, asker]) {
			registrations.replaceAll([upstream('a'), upstream('b')], before);
		}

		relay.registrations.replaceAll([upstream('a', {isDraining: true, sequence: 2})], restored);
		const update = relay.registrations.createUpdate(asker.registrations.position);
		expect(asker.registrations.applyUpdate('relay', update)).toBe(true);
		expect(asker.ready()).toEqual(['b']);
		vi.advanceTimersByTime(graceMs);
		expect([asker.known(), asker.registrations.position]).toEqual([['a'], restored]);
	});

	it('confirms nothing by an answer of the earlier era', () => {
		const {registrations, known} = setUp();
		registrations.replaceAll([upstream('a')], before);
		registrations.recordEra(2, 'peer');
		expect(registrations.applyUpdate('late', {
			...before, revision: 510, changed: 505, upstreams: [],
		})).toBe(false);
		expect(registrations.applyUpdate('late', {...before, changed: 500})).toBe(false);
		expect([known(), registrations.position]).toEqual([['a'], before]);
	});

	it('follows a peer that does not know of eras until the store returns from a backup, and serves on after that', () => {
		const {registrations, known} = setUp();
		registrations.replaceAll([upstream('a')], before);
		expect(registrations.applyUpdate('old', {era: registrations.assumedEra, revision: 520, changed: 500})).toBe(true);
		registrations.recordEra(2, 'peer');
		expect(registrations.applyUpdate('old', {
			era: registrations.assumedEra, revision: 900, changed: 900, upstreams: [],
		})).toBe(false);
		expect(known()).toEqual(['a']);
	});

	it('follows a peer that lists nothing new in the same era', () => {
		const {registrations} = setUp();
		registrations.replaceAll([upstream('a')], before);
		expect(registrations.applyUpdate('relay', {era: 1, revision: 520, changed: 500})).toBe(true);
		expect(registrations.position).toEqual({era: 1, revision: 520});
	});
});

describe('an upstream that drains', () => {
	it('keeps draining while the backup has its earlier registration', () => {
		const {registrations, ready} = setUp();
		registrations.replaceAll([upstream('a', {isDraining: true, sequence: 5})], before);
		registrations.replaceAll([upstream('a', {sequence: 4})], restored);
		expect(ready()).toEqual([]);
		registrations.applyUpdate('relay', {
			era: 2, revision: 465, changed: 465, upstreams: [upstream('a', {sequence: 4})],
		});
		expect(ready()).toEqual([]);
	});

	it.each([['no number', undefined], ['the same number', 5]])('keeps draining if the registration in the backup has %s', (_, sequence) => {
		const {registrations, ready} = setUp();
		registrations.replaceAll([upstream('a', {isDraining: true, sequence: 5})], before);
		registrations.replaceAll([upstream('a', {sequence})], restored);
		expect(ready()).toEqual([]);
	});

	it('is used again once it has restarted or registered as ready', () => {
		const {registrations, ready} = setUp();
		registrations.replaceAll(['a', 'b', 'c'].map(id => upstream(id, {isDraining: true, sequence: 5})), before);
		registrations.replaceAll([upstream('a', {started: 2}), upstream('b', {sequence: 6}), upstream('c', {sequence: 4})], restored);
		expect(ready()).toEqual(['a', 'b']);
		registrations.applyChanges([{
			type: 'written', upstream: upstream('c', {sequence: 6}), era: 2, revision: 461,
		}], {era: 2, revision: 461});
		expect(ready()).toEqual(['a', 'b', 'c']);
	});
});

describe('an upstream that was removed', () => {
	function setUpRemoved() {
		const host = setUp();
		host.registrations.replaceAll([upstream('a'), upstream('b')], before);
		host.registrations.applyChanges([{
			type: 'removed', id: 'b', era: 1, revision: 501,
		}], {era: 1, revision: 501});
		return host;
	}

	it('is not used because a backup has it, until it registers', () => {
		const {registrations, known} = setUpRemoved();
		registrations.replaceAll([upstream('a'), upstream('b', {sequence: 9})], restored);
		expect(known()).toEqual(['a']);
		registrations.applyChanges([{
			type: 'written', upstream: upstream('b'), era: 2, revision: 461,
		}], {era: 2, revision: 461});
		expect(known()).toEqual(['a', 'b']);
	});

	it('is not used on the word of a peer that has not seen its removal, until that peer sees it register', () => {
		const {registrations, known} = setUpRemoved();
		registrations.applyUpdate('peer', {...restored, changed: 460, upstreams: [upstream('a'), upstream('b')]});
		expect(known()).toEqual(['a']);
		registrations.applyUpdate('peer', {
			era: 2, revision: 470, changed: 470, upstreams: [upstream('a'), upstream('b', {era: 2})],
		});
		expect(known()).toEqual(['a', 'b']);
	});

	it('is dropped by hosts that have not seen its removal, also when another peer still lists it', () => {
		const {registrations: relay} = setUpRemoved();
		relay.replaceAll([upstream('a'), upstream('b')], restored);
		const {registrations, known} = setUp();
		registrations.replaceAll([upstream('a'), upstream('b')], before);
		registrations.applyUpdate('relay', relay.createUpdate(before));
		vi.advanceTimersByTime(graceMs);
		registrations.applyUpdate('peer', {
			era: 2, revision: 470, changed: 470, upstreams: [upstream('a'), upstream('b')],
		});
		expect(known()).toEqual(['a']);
	});

	it('is used if its registration is still there when one that is not renewed would have expired', () => {
		const {registrations, known} = setUpRemoved();
		registrations.replaceAll([upstream('a'), upstream('b')], restored);
		registrations.applyChanges([], {era: 2, revision: 470});
		vi.advanceTimersByTime(withholdingMs);
		expect(known()).toEqual(['a']);
		registrations.applyChanges([], {era: 2, revision: 480});
		expect(known()).toEqual(['a', 'b']);
	});
});

describe('an upstream that registered after the backup', () => {
	it('stays for two seconds, whatever peers list, and is gone after that', () => {
		const {registrations, known} = setUp();
		registrations.replaceAll([upstream('a'), upstream('new')], before);
		registrations.replaceAll([upstream('a')], restored);
		registrations.applyUpdate('peer', {
			...restored, revision: 461, changed: 461, upstreams: [upstream('a')],
		});
		vi.advanceTimersByTime(graceMs - 200);
		expect(known()).toEqual(['a', 'new']);
		vi.advanceTimersByTime(200);
		expect(known()).toEqual(['a']);
	});

	it('stays if it registers again', () => {
		const {registrations, known} = setUp();
		registrations.replaceAll([upstream('a'), upstream('new')], before);
		registrations.replaceAll([upstream('a')], restored);
		registrations.applyChanges([{
			type: 'written', upstream: upstream('new', {sequence: 2}), era: 2, revision: 462,
		}], {era: 2, revision: 462});
		vi.advanceTimersByTime(graceMs);
		expect(known()).toEqual(['a', 'new']);
	});

	it('stays as long as the peer that told of the return counts', () => {
		const {registrations, known} = setUp();
		registrations.replaceAll([upstream('a'), upstream('new')], before);
		registrations.recordEra(2, 'peer', 1500);
		registrations.replaceAll([upstream('a')], restored);
		vi.advanceTimersByTime(graceMs - 1500);
		expect(known()).toEqual(['a']);
	});
});

it('changes of another era than the last listing are not applied', () => {
	const {registrations, known} = setUp();
	registrations.replaceAll([upstream('a')], before);
	registrations.applyChanges([{
		type: 'written', upstream: upstream('b'), era: 2, revision: 600,
	}], {era: 2, revision: 600});
	expect([known(), registrations.position]).toEqual([['a'], before]);
});

it('a second return from a backup makes the first one\'s listing outdated', () => {
	const {registrations, ready} = setUp();
	registrations.replaceAll([upstream('a', {isDraining: true, sequence: 5})], before);
	registrations.replaceAll([upstream('a', {sequence: 4})], restored);
	registrations.replaceAll([upstream('a', {sequence: 3})], {era: 3, revision: 440});
	registrations.replaceAll([upstream('a', {sequence: 9})], restored);
	expect([ready(), registrations.position]).toEqual([[], {era: 3, revision: 440}]);
});

it('the return of the store is logged with both eras and its source', () => {
	const {registrations, log} = setUp();
	registrations.replaceAll([upstream('a')], before);
	registrations.recordEra(2, 'host-7');
	registrations.recordEra(2, 'host-8');
	expect(log.write.mock.calls.filter(([line]) => line.event === 'store-restored')).toEqual([[{
		event: 'store-restored', era: 2, before: 1, revision: 500, source: 'host-7',
	}, 'warn']]);
});

it('messages of hosts that do not know of eras are read', () => {
	expect(stateRequestSchema.parse({
		type: 'state-wanted', ask: 1, version: 1, revision: 5,
	}).era).toBe(undefined);
	expect(stateSchema.parse({
		type: 'state', ask: 1, age: 3, version: 1, revision: 5, changed: 4,
	}).era).toBe(undefined);
});

import {
	describe, expect, it,
} from 'vitest';
import {CarriedEnds} from '../health/carried-ends.js';
import {
	findRegisteredState, isProperEnd, isUpstreamsEnd, judgeTestimony, type ResponseTimes, type StatedEnd, type WitnessState,
} from '../health/connection-ends.js';
import {type GatewayUpstream} from '../types.js';

const ends: readonly StatedEnd[] = ['proper', 'broken', 'doubtful', 'open', 'unknown', 'unstated', 'none'];

/** A response that lasted for a second. */
const long: ResponseTimes = {
	headAt: 1000, openAt: 1200, endAt: 2000, hasStalled: false,
};

/** A response that was over as its head was read. */
const short: ResponseTimes = {
	headAt: 1000, openAt: 900, endAt: 1001, hasStalled: false,
};

const upstream: GatewayUpstream = {
	id: 'e', service: 's', address: {host: 'h', port: 1}, failureDomain: 'a', slots: 1, isDraining: false, started: 5,
};

describe('the end of a carried connection', () => {
	it('is proper only if its host says so, or if the same process of an earlier release runs', () => {
		expect(ends.filter(end => isProperEnd(end))).toEqual(['proper', 'unstated']);
	});

	it('is the work of the upstream only if its host says so', () => {
		expect(ends.filter(end => isUpstreamsEnd(end))).toEqual(['proper', 'broken']);
	});

	it('stays as it was first recorded, and may be asked for only a short time after the last one', () => {
		const carried = new CarriedEnds();
		const group = {id: 'e', service: 's', failureDomain: 'a'};
		carried.record('h t1', {upstream: group, isProper: false, at: 100});
		carried.record('h t1', {upstream: group, isProper: true, at: 101});
		expect(carried.get('h t1')?.isProper).toBe(false);
		expect(carried.get('h t2')).toBeUndefined();
		expect([carried.hasRecent(399), carried.hasRecent(400)]).toEqual([true, false]);
	});
});

describe('a witness of a response', () => {
	it.each<[WitnessState, number, ResponseTimes, string]>([
		['running', 1200, long, 'running'],
		['running', 1201, long, 'unconfirmed'],
		['silent', 1200, long, 'running'],
		['silent', 1201, long, 'unknown'],
		['unknown', 1200, long, 'unknown'],
		['ended', 1200, long, 'ended'],
		['running', 1026, short, 'running'],
		['running', 1027, short, 'unconfirmed'],
		['running', 1002, {...short, hasStalled: true}, 'unconfirmed'],
		['running', 1002, {...short, headAt: 700}, 'unconfirmed'],
		['silent', 1002, short, 'unknown'],
	])('%s, established at %i, shows for %j that its process is %s', (state, establishedAt, times, expected) => {
		expect(judgeTestimony({state, establishedAt}, times)).toBe(expected);
	});
});

describe('the registration of an upstream that runs', () => {
	it.each([
		[undefined, 1000, 'ended'],
		[{...upstream, started: 6}, 0, 'ended'],
		[upstream, 249, undefined],
		[upstream, 250, 'running'],
	] as const)('%j, confirmed %i ms after the response', (registered, since, expected) => {
		expect(findRegisteredState(upstream, registered, since)).toBe(expected);
	});

	it('does not tell processes apart that state no start', () => {
		const unstated = {...upstream, started: undefined};
		expect(findRegisteredState(unstated, unstated, 1000)).toBe('unknown');
	});
});

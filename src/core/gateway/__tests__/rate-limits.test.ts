import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createRandom} from '../../../../bench/model/workload.js';
import {RateLimits, type RateLimitReport} from '../limits/rate-limits.js';
import {type RateShare} from '../limits/rate-schedule.js';

const alone: RateShare = {visible: 1, spread: 0};

function report(rate: number | undefined, sent: number, received = sent): RateLimitReport {
	return {
		upstream: 'e1', rate, sent, received,
	};
}

/** Sends whenever the limit allows it, checking every millisecond, and returns the times. */
function sendEagerly(limits: RateLimits, from: number, to: number, share = alone): readonly number[] {
	const sent: number[] = [];
	for (let now = from; now < to; now++) {
		if (limits.computeWait('e1', now) === 0) {
			limits.countRequest('e1', now, share);
			sent.push(now);
		}
	}

	return sent;
}

describe('requests to a limited upstream', () => {
	it.each([[0.25, 10], [1, 40], [2.5, 100], [30, 1200]])('are sent at its rate: %d per second, %d in 40 s', (rate, count) => {
		const limits = new RateLimits(() => 0);
		limits.record(report(rate, 0), 0);
		const sent = sendEagerly(limits, 0, 40_000);
		expect(Math.abs(sent.length - count)).toBeLessThanOrEqual(Math.max(1, rate));
	});

	it('never exceed the rate by more than what a second allows, in any four seconds', () => {
		fc.assert(fc.property(fc.double({min: 0.1, max: 50, noNaN: true}), fc.array(fc.integer({min: 0, max: 400}), {maxLength: 200}), (rate, gaps) => {
			const limits = new RateLimits(() => 0);
			limits.record(report(rate, 0), 0);
			const sent: number[] = [];
			let now = 0;
			for (const gap of gaps) {
				now += gap;
				if (limits.computeWait('e1', now) === 0) {
					limits.countRequest('e1', now, alone);
					sent.push(now);
				}
			}

			return sent.every(first => sent.filter(at => at >= first && at < first + 4000).length <= (4 * rate) + Math.max(rate, 1) + 1);
		}));
	});

	it('wait until the limit has made up for what other hosts sent at the same time', () => {
		const limits = new RateLimits(() => 0);
		limits.record(report(1, 0), 0);
		for (const at of [10, 11, 12]) {
			limits.countRequest('e1', at, alone);
		}

		expect([limits.computeWait('e1', 20), limits.computeWait('e1', 3010)]).toEqual([2990, 0]);
	});

	it('use only a part of the limit while a part of the fleet is out of sight', () => {
		const limits = new RateLimits(() => 0);
		limits.record(report(2, 0), 0);
		expect(sendEagerly(limits, 0, 40_000, {visible: 0.25, spread: 0}).length).toBeLessThanOrEqual(23);
	});

	it('leave the next one to other hosts for a while in a large fleet', () => {
		const limits = new RateLimits(() => 0.5);
		limits.record(report(1, 0), 0);
		limits.countRequest('e1', 0, {visible: 1, spread: 400});
		expect(limits.computeWait('e1', 0)).toBe(1200);
	});

	it('are sent now and then even if it accepts none, so that the end of the limit is noticed', () => {
		const limits = new RateLimits(() => 0);
		limits.record(report(0, 0), 0);
		expect(sendEagerly(limits, 0, 40_000).length).toBe(4);
	});
});

describe('reports', () => {
	it('lift a limit only if their request was sent after the limit was reported', () => {
		const limits = new RateLimits(() => 0);
		limits.record(report(1, 100, 200), 200);
		expect(limits.record(report(undefined, 150, 300), 300)).toBe('outdated');
		expect(limits.record(report(undefined, 350, 410), 410)).toBe('changed');
		expect([limits.get('e1')?.rate, limits.computeWait('e1', 410)]).toEqual([undefined, 0]);
	});

	it('don\'t restore a limit that was lifted by a later response', () => {
		const limits = new RateLimits(() => 0);
		limits.record(report(1, 100, 200), 200);
		limits.record(report(undefined, 350, 410), 410);
		expect([limits.record(report(1, 100, 220), 500), limits.get('e1')?.rate]).toEqual(['outdated', undefined]);
		expect([limits.record(report(1, 300, 380), 500), limits.get('e1')?.rate]).toEqual(['changed', 1]);
	});

	it('of several hosts end with the same limit in any order', () => {
		const reports = [report(1, 0, 50), report(undefined, 300, 350), report(3, 600, 650), report(2, 640, 700)];
		fc.assert(fc.property(fc.shuffledSubarray(reports, {minLength: 4}), order => {
			const limits = new RateLimits(() => 0);
			limits.record(report(4, -200, -100), -100);
			for (const each of order) {
				limits.record(each, 1000);
			}

			return limits.get('e1')?.rate === 2;
		}));
	});

	it('of no limit are not kept for upstreams that never had one', () => {
		const limits = new RateLimits(() => 0);
		expect([limits.record(report(undefined, 0), 0), limits.reports]).toEqual(['same', []]);
	});
});

/** Hosts that learn of each other's requests with a delay; each request arrives at a random host and is sent if the limit allows it. */
function playFleet({hosts, requestsPerSecond, rate, spread, domains}: {readonly hosts: number; readonly requestsPerSecond: number; readonly rate: number; readonly spread: number; readonly domains: number}): readonly number[] {
	const messageDelayMs = 25;
	const random = createRandom(7);
	const all = Array.from({length: hosts}, () => new RateLimits(() => random.integer(0, 999) / 1000));
	const share = {visible: 1 / domains, spread};
	const messages: Array<{readonly at: number; readonly from: number}> = [];
	const sent: number[] = [];
	for (const limits of all) {
		limits.record(report(rate, 0), 0);
	}

	for (let now = 0; now < 30_000; now++) {
		while (messages[0] !== undefined && messages[0].at + messageDelayMs <= now) {
			const {at, from} = messages.shift()!;
			for (const [index, limits] of all.entries()) {
				if (index !== from && index % domains === from % domains) {
					limits.countRequest('e1', at, share);
				}
			}
		}

		if (random.integer(1, 1000) <= requestsPerSecond) {
			const from = random.integer(0, hosts - 1);
			if (all[from]!.computeWait('e1', now) === 0) {
				all[from]!.countRequest('e1', now, share);
				messages.push({at: now, from});
				sent.push(now);
			}
		}
	}

	return sent;
}

describe('a fleet', () => {
	it.each([
		{
			hosts: 6, requestsPerSecond: 40, rate: 1, spread: 0, domains: 1,
		},
		{
			hosts: 300, requestsPerSecond: 400, rate: 1, spread: 500, domains: 1,
		},
		{
			hosts: 300, requestsPerSecond: 400, rate: 8, spread: 500, domains: 1,
		},
		{
			hosts: 300, requestsPerSecond: 400, rate: 2, spread: 500, domains: 3,
		},
	])('of $hosts hosts in $domains parts sends at most one and a half times $rate a second and five requests in any four seconds', options => {
		const sent = playFleet(options);
		const most = Math.max(...sent.map(first => sent.filter(at => at >= first && at < first + 4000).length));
		expect(most).toBeLessThanOrEqual((6 * options.rate) + 5);
		expect(sent.length).toBeGreaterThan(30 * options.rate * 0.6);
	});
});

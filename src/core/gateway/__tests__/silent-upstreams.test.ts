/** What silence of upstreams leads to, and how it ends. */
import {describe, expect, it} from 'vitest';
import {Health} from '../health/health.js';
import {SilentUpstreams} from '../health/silent-upstreams.js';

const never = () => false;
const always = () => true;

/** Returns the times of the checks that are sent between two times, looking every 50 ms. */
function listChecks(silent: SilentUpstreams, from: number, to: number, isAwaited: (upstream: string) => boolean = never): readonly number[] {
	const times: number[] = [];
	for (let now = from; now <= to; now += 50) {
		for (const upstream of silent.listDue(now, isAwaited)) {
			silent.noteCheck(upstream, now);
			times.push(now);
		}
	}

	return times;
}

describe('silence that this host has met', () => {
	it('backs the upstream off, longer each time', () => {
		const silent = new SilentUpstreams();
		silent.meet('u', 1000);
		expect([silent.isBackedOff('u', 1200), silent.isBackedOff('u', 1300)]).toEqual([true, false]);
		silent.meet('u', 1300);
		expect([silent.isBackedOff('u', 1750), silent.isBackedOff('u', 1850)]).toEqual([true, false]);
		for (let now = 2000; now < 2100; now += 10) {
			silent.meet('u', now);
		}

		expect([silent.isBackedOff('u', 4000), silent.isBackedOff('u', 4100)]).toEqual([true, false]);
	});

	it('is forgotten at the first sign of life, and nothing else is', () => {
		const health = new Health();
		health.record('u', 'faulty', 1000);
		const before = health.failureProbability('u', 1000);
		health.silent.meet('u', 1000);
		expect(health.failureProbability('u', 1000)).toBeGreaterThan(before + 0.1);
		expect(health.isBackedOff('u', 1001)).toBe(true);
		expect(health.silent.recordLife('u', 1001)).toBe('met');
		expect(health.silent.recordLife('u', 1002)).toBeUndefined();
		expect([health.isBackedOff('u', 1001), health.failureProbability('u', 1000)]).toEqual([false, before]);
	});

	it('is not forgotten on a peer\'s word, which only hastens the next check', () => {
		const silent = new SilentUpstreams();
		silent.recordReport('u', 900);
		silent.meet('u', 1000);
		expect(silent.listDue(1100, never)).toEqual([]);
		expect(silent.recordReturn('u', 1100)).toBe(false);
		expect([silent.isBackedOff('u', 1101), silent.listDue(1100, never)]).toEqual([true, ['u']]);
		expect(silent.computeWeight('u', 1100)).toBeGreaterThan(0.9);
	});

	it('costs four checks a second at most, however often a peer claims its end', () => {
		const silent = new SilentUpstreams();
		silent.meet('u', 1000);
		let count = 0;
		for (let now = 1000; now < 2000; now += 10) {
			silent.recordReturn('u', now);
			for (const upstream of silent.listDue(now, never)) {
				silent.noteCheck(upstream, now);
				count++;
			}
		}

		expect(count).toBeLessThanOrEqual(4);
	});
});

describe('checks of silent upstreams', () => {
	it('are sent by the host that has met the silence first, four and then two a second, and end', () => {
		const silent = new SilentUpstreams();
		expect(silent.listDue(1000, never)).toEqual([]);
		silent.meet('u', 1000);
		const times = listChecks(silent, 1000, 60_000);
		expect(times.slice(0, 3)).toEqual([1250, 1500, 1750]);
		expect(times.filter(at => at >= 10_000 && at < 11_000)).toHaveLength(2);
		expect(times.at(-1)).toBeLessThan(31_000);
	});

	it('are rare at hosts that a peer has told before, and after a sign of life there are none', () => {
		const silent = new SilentUpstreams();
		silent.recordReport('u', 900);
		silent.meet('u', 1000);
		expect(listChecks(silent, 1000, 4000)).toEqual([2500, 4000]);
		silent.recordLife('u', 4100);
		expect(listChecks(silent, 4100, 9000)).toEqual([]);
	});

	it('are not sent by hosts that have not met the silence', () => {
		const silent = new SilentUpstreams();
		silent.recordReport('u', 900);
		expect(listChecks(silent, 900, 9000)).toEqual([]);
	});

	it('are sent once a second while a request waits for the upstream, whose answer would tell', () => {
		const silent = new SilentUpstreams();
		silent.meet('u', 1000);
		expect(listChecks(silent, 1000, 4000, always)).toEqual([2000, 3000, 4000]);
	});

	it('without an answer keep the upstream avoided, and are reported once a second', () => {
		const silent = new SilentUpstreams();
		silent.meet('u', 1000);
		const reported = listChecks(silent, 1000, 6000).filter(at => silent.recordUnanswered('u', at));
		expect(reported).toEqual([2000, 3000, 4000, 5000, 6000]);
		expect(silent.computeWeight('u', 6000)).toBeGreaterThan(3);
	});

	it('are at eight upstreams at most', () => {
		const silent = new SilentUpstreams();
		for (let index = 0; index < 300; index++) {
			silent.meet(`u${index}`, 1000);
		}

		expect(silent.listDue(2000, never)).toHaveLength(8);
	});
});

describe('reports of silence', () => {
	it('of several peers count once, and not as crashes', () => {
		const health = new Health();
		const reports = [1000, 1010, 1020, 1200].map(now => health.silent.recordReport('u', now));
		expect(reports).toEqual([true, false, false, false]);
		expect(health.silent.computeWeight('u', 1000)).toBe(1);
		expect([health.isBackedOff('u', 1200), health.failureProbability('u', 1200) < 0.21]).toEqual([false, true]);
	});

	it('of silence that goes on add up, to four failed attempts at most', () => {
		const silent = new SilentUpstreams();
		for (let now = 1000; now < 30_000; now += 100) {
			silent.recordReport('u', now);
		}

		expect(silent.computeWeight('u', 30_000)).toBeGreaterThan(3);
		expect(silent.computeWeight('u', 30_000)).toBeLessThanOrEqual(4);
	});

	it('end with the return that a peer reports, and with a sign of life', () => {
		const silent = new SilentUpstreams();
		silent.recordReport('u', 1000);
		expect([silent.recordReturn('u', 1500), silent.computeWeight('u', 1500)]).toEqual([true, 0]);
		silent.recordReport('v', 1000);
		expect([silent.recordLife('v', 1500), silent.computeWeight('v', 1500)]).toEqual(['reported', 0]);
	});

	it('that arrive just after the return concern the same silence', () => {
		const silent = new SilentUpstreams();
		silent.recordReport('u', 1000);
		silent.recordReturn('u', 1500);
		expect([silent.recordReport('u', 1600), silent.computeWeight('u', 1600)]).toEqual([false, 0]);
	});

	it('fade if nobody reports the return', () => {
		const silent = new SilentUpstreams();
		silent.recordReport('u', 1000);
		expect(silent.computeWeight('u', 3500)).toBeCloseTo(0.5);
	});
});

describe('an upstream that falls silent again and again', () => {
	it('is trusted less at each return, and as before after ten seconds without silence', () => {
		const silent = new SilentUpstreams();
		const weights = [1000, 4000, 7000].map(now => {
			silent.meet('u', now);
			silent.recordLife('u', now + 1000);
			return silent.computeWeight('u', now + 1000);
		});
		expect(weights).toEqual([0, 1, 2]);
		silent.meet('u', 19_000);
		silent.recordLife('u', 20_000);
		expect(silent.computeWeight('u', 20_000)).toBe(0);
	});

	it('is not trusted as before by the claims of a peer: each costs this host one silence more', () => {
		const silent = new SilentUpstreams();
		const weights = [0, 1, 2, 3, 4, 5].map(index => {
			const now = 1000 + (index * 2000);
			silent.recordReport('u', now);
			silent.recordReturn('u', now + 100);
			return silent.computeWeight('u', now + 100);
		});
		expect(weights).toEqual([0, 1, 2, 3, 4, 4]);
	});
});

it('returns of upstreams that were not silent change nothing', () => {
	const silent = new SilentUpstreams();
	expect([silent.recordReturn('u', 1000), silent.recordLife('u', 1000)]).toEqual([false, undefined]);
	silent.meet('u', 1100);
	silent.recordLife('u', 1200);
	expect(silent.computeWeight('u', 1200)).toBe(0);
});

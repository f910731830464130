import {describe, expect, it} from 'vitest';
import {createRandom} from '../../../../bench/model/workload.js';
import {computeRelayWait} from '../limits/relay-silence.js';
import {ColdStarts, warmUpMs, type ColdShare} from '../limits/cold-starts.js';

const bound = {overage: 1.5, allowance: 5};
const domains = 3;
const messageDelayMs = 60;
const noticeDelayMs = 1000;
const endMs = 12_000;

type Situation = {
	/** What a host is cut off from, from `cutAt` on: nothing, other domains, everything, or for the first host everything. */
	readonly cut: 'all hosts' | 'domains' | 'none' | 'one host';
	readonly cutAt: number;
	/** Hosts that start at `joinAt`, or are suspended for three seconds before it, as a share of the fleet. */
	readonly joining: 'none' | 'started' | 'resumed';
	readonly joinAt: number;
};

type Load = {
	readonly hosts: number;
	readonly rate: number;
	/** Requests per second of all callers. */
	readonly demand: number;
	readonly seed: number;
};

const whole: Situation = {
	cut: 'none', cutAt: 0, joining: 'none', joinAt: 0,
};

const suspensionMs = 3000;
const settlingMs = 2000;

/** Hosts whose callers ask for a cold upstream at random times; each request arrives at a random host and is sent if it may be. */
function playFleet({hosts, rate, demand, seed}: Load, situation: Situation): readonly number[] {
	const {cut, cutAt, joining, joinAt} = situation;
	const random = createRandom(seed);
	const all = Array.from({length: hosts}, () => new ColdStarts(bound, () => random.integer(0, 9999) / 10_000));
	for (const each of all) {
		each.record('e1', 1_000_000, 0);
	}

	const isCutOff = (a: number, b: number, now: number) => now >= cutAt && (cut === 'all hosts' || (cut === 'domains' ? a % domains !== b % domains : cut === 'one host' && (a === 0 || b === 0)));
	const isJoining = (host: number) => joining !== 'none' && host % 4 === 1;
	const isAway = (host: number, now: number) => isJoining(host) && now < joinAt && (joining === 'started' || now >= joinAt - suspensionMs);
	const shareOf = (host: number, now: number): ColdShare => {
		const isNoticed = cut !== 'none' && now >= cutAt + noticeDelayMs;
		const others = cut === 'domains' ? 1 / domains : (cut === 'all hosts' || host === 0 ? 1 : hosts - 1) / hosts;
		// The first host of each domain is its relay, and has none itself.
		const hasSilentRelay = cut === 'all hosts' && now >= cutAt && !isNoticed && host >= domains;
		const settling = isJoining(host) && now >= joinAt ? Math.max(joinAt + settlingMs - now, 0) : computeRelayWait(hasSilentRelay ? now - cutAt : undefined);
		return {
			visible: isNoticed ? others : 1, spread: 200, domains, settling,
		};
	};

	const messages: Array<{readonly at: number; readonly from: number}> = [];
	const sent: number[] = [];
	const deliver = (to: number, from: number, at: number, now: number) => {
		if (to !== from && !isAway(to, now) && !isCutOff(from, to, at)) {
			all[to]!.count({upstream: 'e1', at, isOfDomain: from % domains === to % domains}, rate, shareOf(to, now));
		}
	};

	for (let now = 0; now < endMs; now++) {
		while (messages[0] !== undefined && messages[0].at + messageDelayMs <= now) {
			const {at, from} = messages.shift()!;
			for (let to = 0; to < hosts; to++) {
				deliver(to, from, at, now);
			}
		}

		// The host that is cut off has as many callers as its domain.
		const arrivals = [random.integer(0, hosts - 1), ...(cut === 'one host' ? [0] : [])];
		for (const host of arrivals) {
			if (random.integer(1, 1000) <= demand && !isAway(host, now) && all[host]!.computeWait('e1', rate, now, shareOf(host, now)) === 0) {
				all[host]!.count({upstream: 'e1', at: now, isOfDomain: true}, rate, shareOf(host, now));
				messages.push({at: now, from: host});
				sent.push(now);
			}
		}
	}

	return sent;
}

function countMost(sent: readonly number[]): number {
	return Math.max(0, ...sent.map(first => sent.filter(at => at >= first && at < first + 1000).length));
}

const sizes = [71, 340];
const rates = [4, 14];

/** Multiples of the rate that callers ask for. */
const loads = [5, 10].flatMap(factor => [1, 2, 3, 4, 5].map(seed => ({factor, seed})));

describe.each(sizes)('a fleet of %d hosts', hosts => {
	it.each(rates)('whole, uses most of the rate of %d a second and never exceeds the bound', rate => {
		for (const {factor, seed} of loads) {
			const sent = playFleet({
				hosts, rate, demand: rate * factor, seed,
			}, whole);
			expect(countMost(sent)).toBeLessThanOrEqual((rate * 1.5) + 5);
			expect(sent.length).toBeGreaterThanOrEqual(endMs / 1000 * rate * 0.8);
		}
	});

	it.each(rates.flatMap(rate => [
		{rate, name: 'split in domains', situation: {...whole, cut: 'domains', cutAt: 4000} as const},
		{rate, name: 'with all hosts alone', situation: {...whole, cut: 'all hosts', cutAt: 4000} as const},
		{rate, name: 'with one host alone', situation: {...whole, cut: 'one host', cutAt: 4000} as const},
		{rate, name: 'with hosts that have just started', situation: {...whole, joining: 'started', joinAt: 4000} as const},
		{rate, name: 'with hosts that were suspended', situation: {...whole, joining: 'resumed', joinAt: 6000} as const},
	]))('$name, never exceeds the bound at $rate a second', ({rate, situation}) => {
		for (const {factor, seed} of loads) {
			expect(countMost(playFleet({
				hosts, rate, demand: rate * factor, seed,
			}, situation))).toBeLessThanOrEqual((rate * 1.5) + 5);
		}
	});
});

describe('the end of the cold time', () => {
	it('lets the rate grow by steps, and removes the limit after a second', () => {
		const coldStarts = new ColdStarts(bound, () => 0);
		coldStarts.record('e1', 2000, 0);
		const share: ColdShare = {
			visible: 1, spread: 0, domains: 1, settling: 0,
		};
		const sent: number[] = [];
		for (let now = 0; now < 3200; now++) {
			if (coldStarts.computeWait('e1', 10, now, share) === 0) {
				coldStarts.count({upstream: 'e1', at: now, isOfDomain: true}, 10, share);
				sent.push(now);
			}
		}

		const within = (from: number, to: number) => sent.filter(at => at >= from && at < to).length;
		const parts = [within(1750, 2000), within(2000, 2250), within(2250, 2500), within(2500, 2750), within(2750, 3000)];
		expect(parts.toSorted((a, b) => a - b)).toEqual(parts);
		expect(parts.at(-1)).toBeLessThan(50);
		expect(coldStarts.removeEnded(2000 + warmUpMs)).toEqual(['e1']);
		expect(coldStarts.computeWait('e1', 10, 3000, share)).toBe(0);
	});
});

describe('what is kept', () => {
	it('is the latest end of several, and at most a bounded number of upstreams', () => {
		const coldStarts = new ColdStarts(bound, () => 0);
		expect([coldStarts.record('e1', 500, 0), coldStarts.record('e1', 400, 0), coldStarts.record('e1', 900, 0)]).toEqual([500, 0, 400]);
		expect(coldStarts.getEnd('e1')).toBe(900);
		for (let index = 0; index < 5000; index++) {
			coldStarts.record(`x${index}`, 500, 0);
		}

		expect(coldStarts.list(0).length).toBeLessThanOrEqual(2048);
	});

	it('has no effect on other upstreams', () => {
		const coldStarts = new ColdStarts(bound, () => 0);
		expect(coldStarts.computeWait('e1', 4, 0, {
			visible: 1, spread: 0, domains: 3, settling: 5000,
		})).toBe(0);
		expect(coldStarts.isEmpty).toBe(true);
	});
});

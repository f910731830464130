/**
 * Plays demand of 24 organisations at 71 hosts that learn of each other's jobs after 60 ms. Guards against an organisation that takes the
 * capacity of others, and against requests that are refused without one.
 */
import {
	describe, expect, it,
} from 'vitest';
import {createRandom} from '../../../../bench/model/workload.js';
import {Shares} from '../limits/shares.js';

const hostCount = 71;
const organisationCount = 24;
const delayMs = 60;
const serviceMs = 1500;
const usualPerSecond = 60;
const seconds = 42;

/** Most requests that may arrive within one millisecond. */
const maxPerMs = 3;

/** Time for which a request may wait for a slot before it is too late. */
const patienceMs = 250;
const excessStartMs = 30_000;
const excessEndMs = 40_000;

type Scenario = {
	readonly seed?: number;
	/** Multiple of its usual demand that an organisation sends. */
	readonly factor?: (organisation: number, now: number) => number;
	/** Number of parts of the fleet that know of and use only their own capacity. */
	readonly parts?: number;
	readonly capacity?: number;
	/** When a host starts again without history. */
	readonly restart?: {readonly host: number; readonly at: number};
	readonly untaggedHosts?: number;
	readonly isEnabled?: boolean;
	/** Ranks by which the priority of an organisation moves its requests; without it, no organisation has one. */
	readonly shiftOf?: (organisation: number) => number;
	/** Weight of a request, from a uniform number from 0 to 1. */
	readonly weigh?: (point: number) => number;
};

type Outcome = {
	/** By organisation, of the requests of the ten seconds of the excess. */
	readonly asked: readonly number[];
	readonly served: readonly number[];
	/** Refusals for an excess, by organisation, at any time. */
	readonly refused: readonly number[];
};

/** Shares of the usual demand, from 12% down to 1.4%. */
const weights = Array.from({length: organisationCount}, (_, index) => 1 / (index + 3));
const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);

type Job = {readonly at: number; readonly host: number; readonly organisation: string | undefined; readonly weight: number; readonly isDelayed: boolean};

type WaitingRequest = {readonly end: number; readonly duration: number; readonly onServed: () => void};

/** Slots of the upstreams that a part of the fleet reaches. Requests wait for one in the order of their arrival, until they are too late. */
class Slots {
	readonly #count: number;
	#ends: number[] = [];
	#waiting: WaitingRequest[] = [];

	constructor(count: number) {
		this.#count = count;
	}

	get areTaken(): boolean {
		return this.#ends.length >= this.#count;
	}

	add(request: WaitingRequest): void {
		this.#waiting.push(request);
	}

	update(now: number): void {
		this.#ends = this.#ends.filter(end => end > now);
		this.#waiting = this.#waiting.filter(({end}) => end > now);
		while (this.#waiting.length > 0 && !this.areTaken) {
			const {duration, onServed} = this.#waiting.shift()!;
			this.#ends.push(now + duration);
			onServed();
		}
	}
}

function learn(shares: Shares, {organisation, weight, isDelayed}: Job, now: number): void {
	if (organisation !== undefined) {
		shares.count(organisation, weight, now);
	}

	if (isDelayed) {
		shares.recordPressure(now);
	}
}

/** Returns the organisation of a request; undefined for most points in time, at which there is none. */
function pickOrganisation(point: number, factor: (organisation: number) => number): number | undefined {
	let rest = point;
	const index = weights.findIndex((weight, organisation) => {
		rest -= weight / totalWeight * usualPerSecond / 1000 * factor(organisation);
		return rest < 0;
	});
	return index === -1 ? undefined : index;
}

/** Plays requests one by one. Those that find no free slot in their part of the fleet in time are lost; a part learns of each after the delay. */
function play({seed = 4, factor = () => 1, parts = 1, capacity = 1.2, restart, untaggedHosts = 0, isEnabled = true, shiftOf, weigh = () => 1}: Scenario): Outcome {
	const source = createRandom(seed);
	const random = () => source.integer(0, 999_999) / 1_000_000;
	const hosts = Array.from({length: hostCount}, () => new Shares());
	const slots = Array.from({length: parts}, () => new Slots(Math.round(usualPerSecond * capacity * serviceMs / 1000 / parts)));
	const pending: Job[] = [];
	const asked = Array.from({length: organisationCount}, () => 0);
	const served = [...asked];
	const refused = [...asked];
	const deliver = (now: number) => {
		while (pending.length > 0 && pending[0]!.at + delayMs <= now) {
			const job = pending.shift()!;
			for (const [host, shares] of hosts.entries()) {
				if (host !== job.host && host % parts === job.host % parts) {
					learn(shares, job, now);
				}
			}
		}
	};

	const send = (organisation: number, now: number) => {
		const host = Math.floor(random() * hostCount);
		const isDelayed = slots[host % parts]!.areTaken;
		const isCounted = isExcessTime(now);
		asked[organisation]! += isCounted ? 1 : 0;
		if (isDelayed) {
			hosts[host]!.recordPressure(now);
		}

		if (isEnabled && hosts[host]!.findExcess(`o${organisation}`, now, shiftOf?.(organisation)) !== undefined) {
			refused[organisation]!++;
			return;
		}

		const onServed = () => {
			served[organisation]! += isCounted ? 1 : 0;
		};

		slots[host % parts]!.add({end: now + patienceMs, duration: serviceMs * (0.5 + random()), onServed});
		const job: Job = {
			at: now, host, organisation: host < untaggedHosts ? undefined : `o${organisation}`, weight: weigh(random()), isDelayed,
		};
		learn(hosts[host]!, job, now);
		pending.push(job);
	};

	for (let now = 0; now < seconds * 1000; now++) {
		deliver(now);
		for (const each of slots) {
			each.update(now);
		}

		if (restart?.at === now) {
			hosts[restart.host] = new Shares();
		}

		for (let index = 0; index < maxPerMs; index++) {
			const organisation = pickOrganisation(random() * maxPerMs, each => factor(each, now));
			if (organisation !== undefined) {
				send(organisation, now);
			}
		}
	}

	return {asked, served, refused};
}

function isExcessTime(now: number): boolean {
	return now >= excessStartMs && now < excessEndMs;
}

function tenfold(organisation: number): (each: number, now: number) => number {
	return (each, now) => each === organisation && isExcessTime(now) ? 10 : 1;
}

function servedShare({asked, served}: Outcome, without: number): number {
	const sum = (counts: readonly number[]) => counts.reduce((total, count, index) => total + (index === without ? 0 : count), 0);
	return sum(served) / sum(asked);
}

const seeds = [11, 12, 13];

/** Returns the share of the requests of the others that is lost on account of the excess. */
function computeLoss(scenario: Scenario, organisation: number): number {
	const shareOf = (change: Scenario) => sumOf(seeds.map(seed => servedShare(play({...change, seed}), organisation))) / seeds.length;
	return 1 - (shareOf(scenario) / shareOf({...scenario, factor: undefined}));
}

function sumOf(counts: readonly number[]): number {
	return counts.reduce((total, count) => total + count, 0);
}

/** Loss of the others that is accepted while one organisation sends ten times its usual. */
const maxLoss = 0.03;

describe('an organisation that sends ten times its usual', () => {
	it.each([0, 5, 23])('takes less than allowed from the others (organisation %i)', organisation => {
		const scenario = {factor: tenfold(organisation)};
		expect(computeLoss(scenario, organisation)).toBeLessThan(maxLoss);
		const {refused} = play(scenario);
		expect(refused[organisation]).toBeGreaterThan(0);
		expect(sumOf(refused)).toBe(refused[organisation]);
	}, 60_000);

	it.each([0, 5])('takes less than allowed from the others in three domains that are cut off from each other (organisation %i)', organisation => {
		expect(computeLoss({factor: tenfold(organisation), parts: 3}, organisation)).toBeLessThan(maxLoss);
	}, 60_000);

	it('would take a large part without shares', () => {
		expect(computeLoss({factor: tenfold(0), isEnabled: false}, 0)).toBeGreaterThan(0.2);
	}, 60_000);

	it('is held back although a host has lost its history, and the host refuses no others', () => {
		const scenario: Scenario = {factor: tenfold(1), restart: {host: 3, at: 32_000}};
		expect(computeLoss(scenario, 1)).toBeLessThan(maxLoss);
		const {refused} = play(scenario);
		expect(sumOf(refused)).toBe(refused[1]);
	}, 60_000);

	it('is held back although some hosts send no tags', () => {
		expect(computeLoss({factor: tenfold(1), untaggedHosts: 10}, 1)).toBeLessThan(maxLoss);
	}, 60_000);

	it('is served in full while capacity is free', () => {
		expect(sumOf(play({capacity: 4, factor: tenfold(2)}).refused)).toBe(0);
	}, 60_000);
});

describe('priority', () => {
	const countServed = ({served, refused}: Outcome) => [sumOf(served), served[0], refused[1], sumOf(refused)];

	it.each([undefined, 0])('changes no decision if no organisation differs from its route (%s)', shift => {
		const scenario: Scenario = {factor: tenfold(1), shiftOf: shift === undefined ? undefined : () => shift};
		const unlike: Scenario = {...scenario, weigh: point => [1, 10, 39][Number(point > 0.85) + Number(point > 0.96)]!};
		// Counts of the build without priorities (edd31b0).
		expect(seeds.map(seed => countServed(play({...scenario, seed})))).toEqual([[610, 86, 554, 554], [656, 93, 499, 499], [622, 74, 503, 503]]);
		expect(seeds.map(seed => countServed(play({...unlike, seed})))).toEqual([[602, 82, 526, 526], [666, 93, 483, 483], [618, 71, 455, 455]]);
	}, 60_000);

	it('holds an organisation with a worse one sooner, yet serves it its usual use, and one with a better one later', () => {
		const playAll = (factor: number, shift: number) => seeds.map(seed => play({
			seed, capacity: 0.95, factor: (each, now) => each === 0 && isExcessTime(now) ? factor : 1, shiftOf: each => each === 0 ? shift : 0,
		}));
		const usual = playAll(1, 2);
		expect(sumOf(usual.map(({refused}) => sumOf(refused)))).toBe(0);
		const outcomes = [-2, -1, 0, 1, 2].map(shift => playAll(2.3, shift));
		const refused = outcomes.map(each => sumOf(each.map(outcome => sumOf(outcome.refused))));
		expect(refused).toEqual(refused.toSorted((a, b) => a - b));
		expect(refused[1]).toBeLessThan(refused[2]!);
		expect(refused[2]).toBeLessThan(refused[3]!);
		expect(sumOf(outcomes[4]!.map(({served}) => served[0]!))).toBeGreaterThanOrEqual(sumOf(usual.map(({served}) => served[0]!)));
	}, 60_000);

	it.each([-2, 2])('lets an excess take less than allowed from the others (%i)', shift => {
		expect(computeLoss({factor: tenfold(0), shiftOf: each => each === 0 ? shift : 0}, 0)).toBeLessThan(maxLoss);
		expect(computeLoss({factor: tenfold(0), shiftOf: each => each === 0 ? 0 : shift}, 0)).toBeLessThan(maxLoss);
	}, 60_000);
});

describe('nobody is refused for its use', () => {
	it.each<[string, Scenario]>([
		['all send three times their usual', {factor: (_, now) => isExcessTime(now) ? 3 : 1}],
		['demand is usual but too high', {capacity: 0.9}],
		['requests are of unlike weights', {capacity: 0.9, weigh: point => [1, 10, 39][Number(point > 0.85) + Number(point > 0.96)]!}],
		['an organisation is new', {capacity: 0.9, factor: (organisation, now) => organisation === 5 && now < excessStartMs ? 0 : 1}],
		['an organisation returns after silence', {capacity: 0.9, factor: (organisation, now) => organisation === 2 && now > 10_000 && now < excessStartMs ? 0 : 1}],
	])('if %s', (_, scenario) => {
		expect(seeds.map(seed => sumOf(play({...scenario, seed}).refused))).toEqual(seeds.map(() => 0));
	}, 60_000);
});

describe('state', () => {
	it('is bounded, and organisations are forgotten after long silence', () => {
		const shares = new Shares();
		for (let index = 0; index < 32_000; index++) {
			shares.count(`o${index}`, 1, index);
		}

		expect(shares.size).toBe(8192);
		shares.count('late', 1, 700_000);
		expect(shares.size).toBe(1);
	});

	it('is not changed by weights that are no positive numbers or too large to be right', () => {
		const shares = new Shares();
		for (const weight of [Number.NaN, Number.POSITIVE_INFINITY, 0, -1, 1e200]) {
			shares.count('o', weight, 0);
		}

		expect(shares.size).toBe(0);
	});

	it('holds back nobody who is alone', () => {
		const shares = new Shares();
		for (let now = 0; now < 20_000; now += now < 15_000 ? 1000 : 5) {
			shares.recordPressure(now);
			shares.count('o', 1, now);
			expect(shares.findExcess('o', now)).toBeUndefined();
		}
	});

	it('names use, share and the time until an organisation is back at its share', () => {
		const shares = new Shares();
		for (let now = 0; now < 60_000; now += 100) {
			shares.count(`o${now / 100 % 10}`, 1, now);
		}

		shares.recordPressure(60_000);
		for (let index = 0; index < 80; index++) {
			shares.count('o1', 1, 60_000);
		}

		const excess = shares.findExcess('o1', 60_000)!;
		expect(excess.use).toBeGreaterThan(excess.share * 5);
		expect(shares.findExcess('o2', 60_000)).toBeUndefined();
		shares.recordPressure(60_000 + excess.wait - 1);
		expect(shares.findExcess('o1', 60_000 + excess.wait - 500)).toBeDefined();
		expect(shares.findExcess('o1', 60_000 + excess.wait + 500)).toBeUndefined();
	});
});

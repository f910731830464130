/** Plans the faults of a soak and their times from a seed. */
import {type Random} from '../../src/core/index.js';
import {type Severance} from '../../stand-ins/proxy/severable-link.js';
import {oddHeads, type OddHead} from '../../stand-ins/gateway/odd-heads.js';
import {createRandom} from '../model/workload.js';

/** How an upstream fails requests, or frames its responses. */
const upstreamFaults = ['shed', 'error', 'lost', 'dark', 'cut', 'extra', 'unframed', 'unframed-cut', 'unframed-reset', 'unframed-reset-at-once', 'ended-inside'] as const;

type UpstreamFault = typeof upstreamFaults[number];

/** What becomes of a link to the store or to a plain service. */
const linkFaults = ['delay', 'cut', 'refuse', 'black-hole'] as const;

export type LinkFault = typeof linkFaults[number];

/** A fault; times are in milliseconds. */
export type Fault
	/** SIGKILL, then a restart after `down`. */
	= | {readonly type: 'kill'; readonly host: number; readonly down: number}
	/** SIGSTOP, then SIGCONT after `length`. */
		| {readonly type: 'pause'; readonly host: number; readonly length: number}
	/** SIGTERM, and again before the process has ended; then a restart. */
		| {readonly type: 'stop'; readonly host: number}
	/** SIGHUP. */
		| {readonly type: 'reload'; readonly host: number}
		| {readonly type: 'store'; readonly mode: 'busy' | 'silent' | 'reset'; readonly length: number}
		| {readonly type: 'compact'}
	/** The store goes away after `length` and returns `outage` later from a backup made at the start; lost writes are made again. */
		| {readonly type: 'restore'; readonly length: number; readonly outage: number}
	/** The store gets a new configuration version. */
		| {readonly type: 'publish'}
	/** An upstream fails requests in the given way. */
		| {readonly type: 'upstream'; readonly upstream: number; readonly fault: OddHead | UpstreamFault; readonly length: number}
	/** An upstream's registration is removed, and added again after `length`. */
		| {readonly type: 'leave'; readonly upstream: number; readonly length: number}
	/** Upstreams state a rate limit, in requests per second. */
		| {readonly type: 'limit'; readonly upstreams: readonly number[]; readonly rate: number; readonly length: number}
	/** Upstreams state that they leave, and start again under their ids after `length`. */
		| {readonly type: 'depart'; readonly upstreams: readonly number[]; readonly length: number}
	/** Upstreams refuse requests, stating for how many seconds they want none. */
		| {readonly type: 'refuse'; readonly upstreams: readonly number[]; readonly retryAfter: number; readonly length: number}
	/** An engine becomes cold for `length`, and registers so. */
		| {readonly type: 'cold'; readonly upstream: number; readonly length: number}
	/** The operator orders the evacuation of a failure domain, and revokes it after `length`. */
		| {readonly type: 'evacuate'; readonly domain: number; readonly length: number}
	/** A host gets a seed that is a host of another fleet, with a SIGHUP. */
		| {readonly type: 'foreign-seed'; readonly host: number}
	/** SIGKILL, then a host of another fleet at the same peer address for `length`, then a restart. */
		| {readonly type: 'foreign-address'; readonly host: number; readonly length: number}
	/** Requests come with a part of their prompts that crashes engines. */
		| {readonly type: 'poison'; readonly length: number}
	/** Engines crash without a cause, and are back after `length` as other processes with their ids. */
		| {readonly type: 'crash'; readonly upstreams: readonly number[]; readonly length: number}
	/** SIGSTOP to engines in processes of their own, then SIGCONT after `length`. */
		| {readonly type: 'pause-engines'; readonly engines: readonly number[]; readonly length: number}
	/** One host gets all new connections. */
		| {readonly type: 'crowd'; readonly host: number; readonly length: number}
	/** Hosts lose their links to some upstreams, or to all. Only where each host has links of its own. */
		| {readonly type: 'sever'; readonly hosts: readonly number[]; readonly upstreams: readonly number[]; readonly how: Severance; readonly length: number}
	/** A fault of the link to the store or to a plain service. */
		| {readonly type: 'link'; readonly link: number; readonly how: LinkFault; readonly length: number};

export type PlannedFault = {
	/** Milliseconds after the start. */
	readonly at: number;
	readonly fault: Fault;
};

export type PlanOptions = {
	readonly hosts: number;
	/** Engines first, then plain services. */
	readonly upstreams: number;
	readonly engines: number;
	/** Number of engines in processes of their own. */
	readonly pausableEngines: number;
	readonly links: number;
	/** Number of failure domains. */
	readonly domains: number;
	/** Whether each host has links of its own to the upstreams. */
	readonly hasSeverableLinks: boolean;
	/** Milliseconds in which faults begin. */
	readonly length: number;
};

const faultTypes = ['kill', 'pause', 'stop', 'reload', 'store', 'compact', 'publish', 'upstream', 'leave', 'link'] as const;

const gapWithinSeriesMs = {least: 50, most: 400};
const gapBetweenSeriesMs = {least: 300, most: 1500};

/** Milliseconds between two returns of the store from a backup. */
const gapBetweenRestores = {least: 2000, most: 8000};

/** Separates the draws of these returns from those of the other faults. */
const restoreSeedOffset = 1_000_003;

/** The same for what upstreams state about themselves, and milliseconds between two such statements. */
const statementSeedOffset = 2_000_003;
const gapBetweenStatements = {least: 500, most: 4000};

/** A rate limit is kept to a while after it was stated first, so that it must last longer. */
const limitLengthMs = {least: 5000, most: 9000};

/** The same for engines that become cold, and milliseconds between two of them. */
const coldSeedOffset = 3_000_003;
const gapBetweenColdEngines = {least: 1000, most: 6000};
const coldLengthMs = {least: 1000, most: 5000};

/** The same for evacuations, and milliseconds between the beginnings of two of them. */
const evacuationSeedOffset = 4_000_003;
const gapBetweenEvacuations = {least: 2000, most: 9000};

/** An evacuation is checked from 5,000 ms after the order, so that it must last longer. */
const evacuationLengthMs = {least: 6000, most: 10_000};

/** The same for hosts of another fleet, and milliseconds between two of these faults. */
const foreignSeedOffset = 5_000_003;
const gapBetweenForeignHosts = {least: 3000, most: 12_000};

/** The same for links that are severed, and milliseconds between two of these faults. */
const severanceSeedOffset = 6_000_003;
const gapBetweenSeverances = {least: 1000, most: 6000};
const severanceLengthMs = {least: 1000, most: 7000};
const severances: readonly Severance[] = ['hang', 'reset', 'refuse-new', 'accept', 'accept-reset', 'reset-after-head'];

/** The same for parts of prompts that crash engines, for engines that crash without a cause, and for hosts that get all new connections. */
const poisonSeedOffset = 7_000_003;
const gapBetweenPoisons = {least: 3000, most: 10_000};
const poisonLengthMs = {least: 3000, most: 8000};
const crashSeedOffset = 8_000_003;
const gapBetweenCrashes = {least: 1500, most: 8000};
const crowdSeedOffset = 9_000_003;
const gapBetweenCrowds = {least: 2000, most: 8000};
const crowdLengthMs = {least: 1500, most: 5000};

/** The same for engines that signals stop, and milliseconds for which they are stopped. */
const enginePauseSeedOffset = 10_000_019;
const gapBetweenEnginePauses = {least: 300, most: 4000};
const enginePauseLengthMs = {least: 1000, most: 1900};

/** The same for upstreams whose responses have heads that can't be passed on. */
const oddHeadSeedOffset = 11_000_027;
const gapBetweenOddHeads = {least: 1000, most: 5000};
const oddHeadLengthMs = {least: 200, most: 1500};

const foreignTypes = ['foreign-seed', 'foreign-address'] as const;

const statementTypes = ['limit', 'depart', 'refuse'] as const;

/** Limit for consecutive faults of one type. */
const maxSeriesLength = 3;

function pick<T>(random: Random, all: readonly T[]): T {
	return all[random.integer(0, all.length - 1)]!;
}

/** Draws one upstream, or all of one service. */
function drawUpstreams(random: Random, {upstreams, engines}: PlanOptions): readonly number[] {
	const one = random.integer(0, upstreams - 1);
	if (random.integer(0, 1) === 0) {
		return [one];
	}

	const isEngine = one < engines;
	return Array.from({length: upstreams}, (_, index) => index).filter(index => (index < engines) === isEngine);
}

/** Draws one host, all but one, those of a failure domain, or all. */
function drawHosts(random: Random, host: number, {hosts, domains}: PlanOptions): readonly number[] {
	const all = Array.from({length: hosts}, (_, index) => index);
	switch (pick(random, ['one', 'others', 'domain', 'all'] as const)) {
		case 'one': {
			return [host];
		}

		case 'others': {
			return all.filter(index => index !== host);
		}

		case 'domain': {
			return all.filter(index => index % domains === host % domains);
		}

		case 'all': {
			return all;
		}
	}
}

/** Draws one engine, or all. */
function drawCrashing(random: Random, {engines}: PlanOptions): readonly number[] {
	const first = random.integer(0, engines - 1);
	return random.integer(0, 2) === 0 ? Array.from({length: engines}, (_, index) => index) : [first];
}

/** Draws one engine in a process of its own, some, or all. */
function drawPausableEngines(random: Random, {pausableEngines}: PlanOptions): readonly number[] {
	const all = Array.from({length: pausableEngines}, (_, index) => index);
	const first = random.integer(0, pausableEngines - 1);
	switch (pick(random, ['one', 'some', 'all'] as const)) {
		case 'one': {
			return [first];
		}

		case 'some': {
			const count = random.integer(2, Math.max(pausableEngines - 1, 2));
			return all.filter(index => (index - first + pausableEngines) % pausableEngines < count);
		}

		case 'all': {
			return all;
		}
	}
}

function drawSeverance(random: Random, host: number, options: PlanOptions): Fault {
	return {
		type: 'sever',
		hosts: drawHosts(random, host, options),
		upstreams: random.integer(0, 2) === 0 ? drawUpstreams(random, options) : Array.from({length: options.upstreams}, (_, index) => index),
		how: pick(random, severances),
		length: random.integer(severanceLengthMs.least, severanceLengthMs.most),
	};
}

function drawOddHead(random: Random, {upstreams}: PlanOptions): Fault {
	return {
		type: 'upstream', upstream: random.integer(0, upstreams - 1), fault: pick(random, oddHeads), length: random.integer(oddHeadLengthMs.least, oddHeadLengthMs.most),
	};
}

function drawFault(random: Random, type: Fault['type'], options: PlanOptions): Fault {
	const host = random.integer(0, options.hosts - 1);
	const upstream = random.integer(0, options.upstreams - 1);
	const length = random.integer(300, 3000);
	switch (type) {
		case 'kill': {
			return {type, host, down: random.integer(0, 1500)};
		}

		case 'pause': {
			return {type, host, length};
		}

		case 'stop':
		case 'foreign-seed':
		case 'reload': {
			return {type, host};
		}

		case 'foreign-address': {
			return {type, host, length};
		}

		case 'store': {
			return {type, mode: pick(random, ['busy', 'silent', 'reset']), length};
		}

		case 'restore': {
			return {type, length, outage: random.integer(50, 1500)};
		}

		case 'compact':
		case 'publish': {
			return {type};
		}

		case 'upstream': {
			return {
				type, upstream, fault: pick(random, upstreamFaults), length,
			};
		}

		case 'leave': {
			return {type, upstream, length};
		}

		case 'limit': {
			return {
				type, upstreams: drawUpstreams(random, options), rate: random.integer(1, 8) / 2, length: random.integer(limitLengthMs.least, limitLengthMs.most),
			};
		}

		case 'depart': {
			return {type, upstreams: drawUpstreams(random, options), length};
		}

		case 'refuse': {
			return {
				type, upstreams: drawUpstreams(random, options), retryAfter: random.integer(2, 12) / 4, length: random.integer(50, 1000),
			};
		}

		case 'cold': {
			return {type, upstream: random.integer(0, options.engines - 1), length: random.integer(coldLengthMs.least, coldLengthMs.most)};
		}

		case 'evacuate': {
			return {type, domain: random.integer(0, options.domains - 1), length: random.integer(evacuationLengthMs.least, evacuationLengthMs.most)};
		}

		case 'sever': {
			return drawSeverance(random, host, options);
		}

		case 'poison': {
			return {type, length: random.integer(poisonLengthMs.least, poisonLengthMs.most)};
		}

		case 'crash': {
			return {type, upstreams: drawCrashing(random, options), length};
		}

		case 'pause-engines': {
			return {type, engines: drawPausableEngines(random, options), length: random.integer(enginePauseLengthMs.least, enginePauseLengthMs.most)};
		}

		case 'crowd': {
			return {type, host, length: random.integer(crowdLengthMs.least, crowdLengthMs.most)};
		}

		case 'link': {
			return {
				type, link: random.integer(0, options.links - 1), how: pick(random, linkFaults), length,
			};
		}
	}
}

type Gap = {
	/** Milliseconds between the beginnings of two faults. */
	readonly least: number;
	readonly most: number;
};

/** Plans faults whose draws don't change those of others. */
function planSeparately(random: Random, length: number, gap: Gap, draw: (random: Random) => Fault): readonly PlannedFault[] {
	const planned: PlannedFault[] = [];
	for (let at = random.integer(0, gap.most); at < length; at += random.integer(gap.least, gap.most)) {
		planned.push({at, fault: draw(random)});
	}

	return planned;
}

/** The first draws of consecutive seeds hardly differ. */
function createRandomAfterFirst(seed: number): Random {
	const random = createRandom(seed);
	random.integer(0, 1);
	return random;
}

function planSeparateFaults(seed: number, options: PlanOptions): readonly PlannedFault[] {
	const {length} = options;
	const draw = (type: Fault['type']) => (random: Random) => drawFault(random, type, options);
	const drawOneOf = (types: ReadonlyArray<Fault['type']>) => (random: Random) => drawFault(random, pick(random, types), options);
	return [
		planSeparately(createRandom(seed + restoreSeedOffset), length, gapBetweenRestores, draw('restore')),
		planSeparately(createRandom(seed + statementSeedOffset), length, gapBetweenStatements, drawOneOf(statementTypes)),
		planSeparately(createRandom(seed + coldSeedOffset), length, gapBetweenColdEngines, draw('cold')),
		planSeparately(createRandomAfterFirst(seed + evacuationSeedOffset), length, gapBetweenEvacuations, draw('evacuate')),
		planSeparately(createRandomAfterFirst(seed + foreignSeedOffset), length, gapBetweenForeignHosts, drawOneOf(foreignTypes)),
		planSeparately(createRandomAfterFirst(seed + poisonSeedOffset), length, gapBetweenPoisons, draw('poison')),
		planSeparately(createRandomAfterFirst(seed + crashSeedOffset), length, gapBetweenCrashes, draw('crash')),
		planSeparately(createRandomAfterFirst(seed + crowdSeedOffset), length, gapBetweenCrowds, draw('crowd')),
		planSeparately(createRandomAfterFirst(seed + oddHeadSeedOffset), length, gapBetweenOddHeads, random => drawOddHead(random, options)),
		planSeparately(createRandomAfterFirst(seed + enginePauseSeedOffset), length, gapBetweenEnginePauses, draw('pause-engines')),
		options.hasSeverableLinks ? planSeparately(createRandomAfterFirst(seed + severanceSeedOffset), length, gapBetweenSeverances, draw('sever')) : [],
	].flat();
}

/**
 * @param seed - Seed; the same seed gives the same plan.
 * @param options - Size of the testbed, and for how long faults begin.
 * @returns Faults in order of time: series of one type, each of which may overlap with earlier faults.
 */
export function planFaults(seed: number, options: PlanOptions): readonly PlannedFault[] {
	const random = createRandom(seed);
	const planned: PlannedFault[] = [];
	let at = random.integer(gapBetweenSeriesMs.least, gapBetweenSeriesMs.most);
	while (at < options.length) {
		const type = pick(random, faultTypes);
		const series = random.integer(1, maxSeriesLength);
		for (let index = 0; index < series; index++) {
			planned.push({at, fault: drawFault(random, type, options)});
			at += random.integer(gapWithinSeriesMs.least, gapWithinSeriesMs.most);
		}

		at += random.integer(gapBetweenSeriesMs.least, gapBetweenSeriesMs.most);
	}

	return [...planned, ...planSeparateFaults(seed, options)].toSorted((a, b) => a.at - b.at);
}

/** Draws what happens in a run: silences of engines in series, and changes that overlap them. */
import {type Settings} from '../../src/gateway/settings.js';
import {SeededRandom} from '../fuzz/random.js';

/** Time in milliseconds before the first silence, and from the last silence to the end of the requests. */
const calmMs = 2500;
const lateMs = 1500;

/** Shortest and longest silence, and the time between two of a series, in milliseconds. */
const silenceMs = {least: 1000, most: 1900};
const soundMs = {least: 700, most: 2500};

/** Longest time in milliseconds by which the engines of a silence fall silent, or go on, after each other. */
const maxSpreadMs = 40;

/** Longest time in milliseconds from a change to a silence that it overlaps, and from the beginning of the silence to the change. */
const leadMs = 400;
const maxLagMs = 1800;

/** Engines that fall silent: one, some of them, those of a failure domain, or all. */
export type SilenceScope = 'all' | 'domain' | 'one' | 'some';

export type Silence = {
	readonly at: number;
	readonly scope: SilenceScope;
	/** Milliseconds for which each engine is silent, and by which it falls silent later; undefined if it goes on. */
	readonly engines: ReadonlyArray<{readonly delay: number; readonly duration: number} | undefined>;
};

/** Something else that happens. */
export type Change
	= | {readonly type: 'configuration'; readonly at: number; readonly maxAttempts: number}
	/** An engine gets no new requests, and stops once it has none. */
		| {readonly type: 'drain'; readonly at: number; readonly engine: number}
	/** A failure domain gets no new requests for some milliseconds. */
		| {readonly type: 'evacuation'; readonly at: number; readonly domain: string; readonly duration: number}
	/** An engine never sends anything again. */
		| {readonly type: 'hang'; readonly at: number; readonly engine: number};

export type Budget = 'scarce' | 'spent' | 'usual';

const limits: Readonly<Record<Budget, Settings['retries']>> = {
	scarce: {ratio: 0.02, window: 10_000, allowance: 4},
	spent: {ratio: 0, window: 10_000, allowance: 0},
	usual: {ratio: 0.2, window: 10_000, allowance: 100},
};

export const failureDomains = ['a', 'b', 'c'] as const;

export type Situation = {
	readonly hosts: number;
	readonly engines: number;
	/** Milliseconds between two events of a stream. */
	readonly interval: number;
	/** Milliseconds between two requests. */
	readonly requestInterval: number;
	/** Most events of an answer. */
	readonly maxEvents: number;
	readonly budget: Budget;
	readonly retries: Settings['retries'];
	readonly silences: readonly Silence[];
	readonly changes: readonly Change[];
	/** When no more requests come. */
	readonly end: number;
};

function drawEngines(random: SeededRandom, scope: SilenceScope, count: number): Silence['engines'] {
	const duration = random.integer(silenceMs.least, silenceMs.most);
	const one = random.integer(0, count - 1);
	const domain = random.integer(0, failureDomains.length - 1);
	const percent = random.integer(30, 80);
	const isSilent: Readonly<Record<SilenceScope, (engine: number) => boolean>> = {
		all: () => true,
		domain: engine => engine % failureDomains.length === domain,
		one: engine => engine === one,
		some: () => random.chance(percent),
	};
	return Array.from({length: count}, (_, engine) => isSilent[scope](engine)
		? {delay: random.integer(0, maxSpreadMs), duration: Math.min(duration + random.integer(0, maxSpreadMs), silenceMs.most)}
		: undefined);
}

function drawSilences(random: SeededRandom, engines: number): readonly Silence[] {
	const fixed = random.chance(40) ? 'all' : undefined;
	const silences: Silence[] = [];
	let at = calmMs;
	for (let count = random.integer(1, 4); count > 0; count--) {
		const scope = fixed ?? random.pick(['one', 'some', 'some', 'domain', 'all'] as const);
		silences.push({at, scope, engines: drawEngines(random, scope, engines)});
		at += silenceMs.most + (2 * maxSpreadMs) + random.integer(soundMs.least, soundMs.most);
	}

	return silences;
}

function drawChanges(random: SeededRandom, silences: readonly Silence[], engines: number): readonly Change[] {
	const moment = () => random.pick(silences).at + random.integer(-leadMs, maxLagMs);
	return [
		...Array.from({length: random.integer(0, 4)}, () => ({type: 'configuration', at: moment(), maxAttempts: random.integer(2, 3)} as const)),
		...Array.from({length: random.integer(0, Math.min(3, engines - 3))}, () => ({type: 'drain', at: moment(), engine: random.integer(0, engines - 1)} as const)),
		...(random.chance(30)
			? [{
				type: 'evacuation', at: moment(), domain: random.pick(failureDomains), duration: random.integer(500, 4000),
			} as const]
			: []),
	];
}

/**
 * @param seed - Seed.
 * @returns What happens in the run.
 */
export function drawSituation(seed: number): Situation {
	const random = new SeededRandom(seed);
	const engines = random.integer(4, 12);
	const budget = random.pick(['usual', 'usual', 'scarce', 'spent', 'spent'] as const);
	const silences = drawSilences(random, engines);
	const end = silences.at(-1)!.at + silenceMs.most + lateMs;
	const changes = drawChanges(random, silences, engines);
	// Without a budget, nothing goes on in place of an engine that hangs.
	const hasHang = budget === 'usual' && random.chance(30);
	return {
		hosts: random.integer(1, 3),
		engines,
		interval: random.integer(15, 45),
		requestInterval: random.integer(25, 90),
		maxEvents: random.integer(20, 120),
		budget,
		retries: limits[budget],
		silences,
		changes: hasHang ? [...changes, {type: 'hang', at: random.integer(calmMs, end), engine: random.integer(0, engines - 1)}] : changes,
		end,
	};
}

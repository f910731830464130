/** What goes wrong in a soak, and when: drawn from a seed. */
import {type Random} from '../../src/core/index.js';
import {seeded} from '../model/workload.js';

/** Times in milliseconds. */
export type Mishap
	/** The process ends at once and is started again. */
	= | {readonly type: 'kill'; readonly host: number; readonly down: number}
	/** The process stands still. */
		| {readonly type: 'pause'; readonly host: number; readonly length: number}
	/** The process is told to stop, and started again when it has. */
		| {readonly type: 'stop'; readonly host: number}
		| {readonly type: 'reload'; readonly host: number}
		| {readonly type: 'store'; readonly mode: 'busy' | 'silent' | 'reset'; readonly length: number}
		| {readonly type: 'compact'}
	/** A configuration of a new version. */
		| {readonly type: 'publish'}
	/** An upstream treats requests badly. */
		| {readonly type: 'upstream'; readonly upstream: number; readonly fault: 'shed' | 'error' | 'lost' | 'dark' | 'cut' | 'extra' | 'unframed-reset'; readonly length: number}
	/** An upstream is no longer registered, and later again. */
		| {readonly type: 'leave'; readonly upstream: number; readonly length: number}
	/** The way to the store or to a plain service. */
		| {readonly type: 'link'; readonly link: number; readonly how: 'delay' | 'cut' | 'refuse' | 'black-hole'; readonly length: number};

export type Planned = {
	readonly at: number;
	readonly mishap: Mishap;
};

export type Shape = {
	readonly hosts: number;
	readonly upstreams: number;
	readonly links: number;
	/** Milliseconds in which mishaps begin. */
	readonly length: number;
};

const types = ['kill', 'pause', 'stop', 'reload', 'store', 'compact', 'publish', 'upstream', 'leave', 'link'] as const;

/** Milliseconds between two mishaps of a series, and between series. */
const seriesGap = {least: 50, most: 400};
const gap = {least: 300, most: 1500};

/** Mishaps of one kind in a row, at most. */
const longestSeries = 3;

function pick<T>(random: Random, all: readonly T[]): T {
	return all[random.integer(0, all.length - 1)]!;
}

function draw(random: Random, type: Mishap['type'], shape: Shape): Mishap {
	const host = random.integer(0, shape.hosts - 1);
	const upstream = random.integer(0, shape.upstreams - 1);
	const length = random.integer(300, 3000);
	switch (type) {
		case 'kill': {
			return {type, host, down: random.integer(0, 1500)};
		}

		case 'pause': {
			return {type, host, length};
		}

		case 'stop':
		case 'reload': {
			return {type, host};
		}

		case 'store': {
			return {type, mode: pick(random, ['busy', 'silent', 'reset']), length};
		}

		case 'compact':
		case 'publish': {
			return {type};
		}

		case 'upstream': {
			return {
				type, upstream, fault: pick(random, ['shed', 'error', 'lost', 'dark', 'cut', 'extra', 'unframed-reset']), length,
			};
		}

		case 'leave': {
			return {type, upstream, length};
		}

		case 'link': {
			return {
				type, link: random.integer(0, shape.links - 1), how: pick(random, ['delay', 'cut', 'refuse', 'black-hole']), length,
			};
		}
	}
}

/**
 * @param seed - Seed.
 * @param shape - What there is to go wrong, and for how long.
 * @returns Mishaps in order of time, in series of one kind that overlap with what went before.
 */
export function plan(seed: number, shape: Shape): readonly Planned[] {
	const random = seeded(seed);
	const planned: Planned[] = [];
	let at = random.integer(gap.least, gap.most);
	while (at < shape.length) {
		const type = pick(random, types);
		const series = random.integer(1, longestSeries);
		for (let index = 0; index < series; index++) {
			planned.push({at, mishap: draw(random, type, shape)});
			at += random.integer(seriesGap.least, seriesGap.most);
		}

		at += random.integer(gap.least, gap.most);
	}

	return planned;
}

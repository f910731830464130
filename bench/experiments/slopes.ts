/** How a daemon's cost grows, one size at a time; the others stay as small as they can. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Fleet} from '../fleet/fleet.js';
import {apiKey, type ShapeInput} from '../fleet/shape.js';
import {type ScenarioInput} from '../load/scenario.js';
import {
	costNames, measureCost, type Cost, type CostName,
} from './cost.js';
import {fitLine, type Line} from './fit.js';
import {runLoadProcess} from './load-process.js';

/** What is varied. */
export type Axis = 'hosts' | 'engines' | 'organisations' | 'services' | 'changes' | 'requests' | 'tokens';

export type SlopePoint = {readonly size: number; readonly cost: Cost};

export type Slope = {
	readonly axis: Axis;
	readonly unit: string;
	readonly points: readonly SlopePoint[];
	readonly lines: Readonly<Record<CostName, Line>>;
};

type Plan = {
	readonly unit: string;
	readonly sizes: readonly number[];
	/** Milliseconds before costs are measured, where it takes long until hosts have met. */
	readonly settling?: number;
	readonly shape: (size: number) => ShapeInput;
	/** Goes on while costs are measured. */
	readonly activity?: (fleet: Fleet, size: number, milliseconds: number) => Promise<unknown>;
};

const settling = 3000;
const measuring = 6000;
const deadline = {default: 10_000, most: 10_000};
const service = 'service-1';

function small(changes: Partial<ShapeInput> = {}): ShapeInput {
	return {
		timeScale: 20,
		domains: ['a'],
		hosts: [2],
		engines: [{service, perDomain: 3, settings: {prefillRate: 100_000, answer: {least: 2000, most: 2000}}}],
		services: services(1),
		organisations: organisations(10),
		...changes,
	};
}

function services(count: number): ShapeInput['services'] {
	return Array.from({length: count}, (_, index) => ({
		kind: 'model', id: `service-${index + 1}`, model: `model-${index + 1}`, idempotent: true, deadline,
	}));
}

function organisations(count: number): ShapeInput['organisations'] {
	return Array.from({length: count}, (_, index) => ({id: `organisation-${index + 1}`}));
}

async function load(fleet: Fleet, rate: number, output: number, milliseconds: number): Promise<unknown> {
	const scenario: ScenarioInput = {
		seed: 1,
		entries: fleet.hosts.alive.map(host => host.caller),
		service,
		rate,
		duration: milliseconds,
		timeout: deadline.most,
		organisations: [{id: 'organisation-1', key: apiKey('organisation-1')}],
		classes: [{
			name: 'all', weight: 1, prompt: {least: 1000, most: 2000}, output: {least: output, most: output},
		}],
	};
	return runLoadProcess(scenario);
}

/** Publishes changed documents at even intervals. */
async function change(fleet: Fleet, perMinute: number, milliseconds: number): Promise<void> {
	const count = Math.round(perMinute * milliseconds / 60_000);
	for (let done = 0; done < count; done++) {
		await fleet.publish(before => before);
		await sleep(milliseconds / count);
	}
}

const plans: Readonly<Record<Axis, Plan>> = {
	hosts: {
		unit: 'hosts of a failure domain',
		sizes: [2, 8, 20, 42],
		settling: 20_000,
		shape: size => small({hosts: [size]}),
	},
	engines: {
		unit: 'engines of a failure domain',
		sizes: [3, 12, 36, 75],
		shape: size => small({engines: [{service, perDomain: size}]}),
	},
	organisations: {
		unit: 'organisations',
		sizes: [10, 1000, 3000, 6000],
		shape: size => small({organisations: organisations(size)}),
	},
	services: {
		unit: 'services with three engines each',
		sizes: [2, 6, 12, 23],
		shape: size => small({
			services: services(size),
			engines: Array.from({length: size}, (_, index) => ({service: `service-${index + 1}`, perDomain: 3})),
		}),
	},
	changes: {
		unit: 'configuration changes a minute',
		sizes: [0, 10, 30, 60],
		shape: () => small({organisations: organisations(1000)}),
		activity: async (fleet, size, milliseconds) => change(fleet, size, milliseconds),
	},
	requests: {
		unit: 'requests a second at each daemon, 4 tokens each',
		sizes: [5, 10, 20, 40],
		shape: () => small(),
		activity: async (fleet, size, milliseconds) => load(fleet, size * 2, 4, milliseconds),
	},
	tokens: {
		unit: 'streamed tokens a second at each daemon, 2 requests a second',
		sizes: [100, 400, 800, 1600],
		shape: () => small(),
		activity: async (fleet, size, milliseconds) => load(fleet, 4, Math.round(size / 2), milliseconds),
	},
};

export const axes = Object.keys(plans).filter((name): name is Axis => name in plans);

async function measurePoint(plan: Plan, size: number): Promise<SlopePoint> {
	await using fleet = await Fleet.start(plan.shape(size));
	const settled = plan.settling ?? settling;
	const activity = plan.activity?.(fleet, size, settled + measuring + settling);
	await sleep(settled);
	const cost = await measureCost(fleet, measuring);
	await activity;
	return {size, cost};
}

/**
 * @param axis - What is varied.
 * @param progress - Told of each point.
 * @returns Points and fitted lines.
 */
export async function measureSlope(axis: Axis, progress: (point: SlopePoint) => void): Promise<Slope> {
	const plan = plans[axis];
	const points: SlopePoint[] = [];
	for (const size of plan.sizes) {
		const point = await measurePoint(plan, size);
		points.push(point);
		progress(point);
	}

	const lineOf = (name: CostName) => fitLine(points.map(({size, cost}) => ({x: size, y: cost[name]})));
	const lines = {
		processor: lineOf('processor'),
		core: lineOf('core'),
		peerBytes: lineOf('peerBytes'),
		platformCalls: lineOf('platformCalls'),
		resident: lineOf('resident'),
		heap: lineOf('heap'),
	};
	return {
		axis, unit: plan.unit, points, lines,
	};
}

const digits = 4;

function number(value: number): string {
	return String(Number(value.toPrecision(digits)));
}

/**
 * @param slope - Measured slope.
 * @returns A markdown section.
 */
export function slopeTable({axis, unit, points, lines}: Slope): string {
	return [
		`## ${axis}: ${unit}`,
		'',
		'| size | processor, ms/s | core, ms/s | peer bytes/s | platform calls/s | resident, MB | heap, MB |',
		'|---|---|---|---|---|---|---|',
		...points.map(({size, cost}) => `| ${size} | ${costNames.map(name => number(cost[name])).join(' | ')} |`),
		...(['slope', 'intercept', 'residual'] as const).map(part =>
			`| ${part} | ${costNames.map(name => number(lines[name][part])).join(' | ')} |`),
		'',
	].join('\n');
}

/** Measures how a daemon's cost grows with one size at a time, while the others are kept small. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Fleet} from '../fleet/fleet.js';
import {getApiKey, type FleetShapeInput} from '../fleet/shape.js';
import {type ScenarioInput} from '../load/scenario.js';
import {
	costNames, measureCost, type Cost, type CostName,
} from './cost.js';
import {fitLine, type FittedLine} from './fit.js';
import {runLoadProcess} from './load-process.js';

/** The size that is varied. */
export type Axis = 'hosts' | 'engines' | 'organisations' | 'services' | 'changes' | 'requests' | 'tokens';

export type SlopePoint = {readonly size: number; readonly cost: Cost};

export type Slope = {
	readonly axis: Axis;
	readonly unit: string;
	readonly points: readonly SlopePoint[];
	readonly lines: Readonly<Record<CostName, FittedLine>>;
};

type AxisPlan = {
	readonly unit: string;
	readonly sizes: readonly number[];
	/** Milliseconds before costs are measured, if the default is too short for all hosts to connect to each other. */
	readonly settlingTime?: number;
	readonly shape: (size: number) => FleetShapeInput;
	/** Load that runs while costs are measured. */
	readonly activity?: (fleet: Fleet, size: number, milliseconds: number) => Promise<unknown>;
};

const settlingMs = 3000;
const measurementMs = 6000;
const deadline = {default: 10_000, most: 10_000};
const service = 'service-1';

function buildSmallShape(changes: Partial<FleetShapeInput> = {}): FleetShapeInput {
	return {
		timeScale: 20,
		domains: ['a'],
		hosts: [2],
		engines: [{service, perDomain: 3, settings: {prefillRate: 100_000, answer: {least: 2000, most: 2000}}}],
		services: buildServices(1),
		organisations: buildOrganisations(10),
		...changes,
	};
}

function buildServices(count: number): FleetShapeInput['services'] {
	return Array.from({length: count}, (_, index) => ({
		kind: 'model', id: `service-${index + 1}`, model: `model-${index + 1}`, idempotent: true, deadline,
	}));
}

function buildOrganisations(count: number): FleetShapeInput['organisations'] {
	return Array.from({length: count}, (_, index) => ({id: `organisation-${index + 1}`}));
}

async function runLoad(fleet: Fleet, rate: number, output: number, milliseconds: number): Promise<unknown> {
	const scenario: ScenarioInput = {
		seed: 1,
		entries: fleet.hosts.alive.map(host => host.caller),
		service,
		rate,
		duration: milliseconds,
		timeout: deadline.most,
		organisations: [{id: 'organisation-1', key: getApiKey('organisation-1')}],
		classes: [{
			name: 'all', weight: 1, prompt: {least: 1000, most: 2000}, output: {least: output, most: output},
		}],
	};
	return runLoadProcess(scenario);
}

/** Publishes new revisions at even intervals. */
async function publishChanges(fleet: Fleet, perMinute: number, milliseconds: number): Promise<void> {
	const count = Math.round(perMinute * milliseconds / 60_000);
	for (let published = 0; published < count; published++) {
		await fleet.publish(before => before);
		await sleep(milliseconds / count);
	}
}

const plans: Readonly<Record<Axis, AxisPlan>> = {
	hosts: {
		unit: 'hosts of a failure domain',
		sizes: [2, 8, 20, 42],
		settlingTime: 20_000,
		shape: size => buildSmallShape({hosts: [size]}),
	},
	engines: {
		unit: 'engines of a failure domain',
		sizes: [3, 12, 36, 75],
		shape: size => buildSmallShape({engines: [{service, perDomain: size}]}),
	},
	organisations: {
		unit: 'organisations',
		sizes: [10, 1000, 3000, 6000],
		shape: size => buildSmallShape({organisations: buildOrganisations(size)}),
	},
	services: {
		unit: 'services with three engines each',
		sizes: [2, 6, 12, 23],
		shape: size => buildSmallShape({
			services: buildServices(size),
			engines: Array.from({length: size}, (_, index) => ({service: `service-${index + 1}`, perDomain: 3})),
		}),
	},
	changes: {
		unit: 'configuration changes a minute',
		sizes: [0, 10, 30, 60],
		shape: () => buildSmallShape({organisations: buildOrganisations(1000)}),
		activity: async (fleet, size, milliseconds) => publishChanges(fleet, size, milliseconds),
	},
	requests: {
		unit: 'requests a second at each daemon, 4 tokens each',
		sizes: [5, 10, 20, 40],
		shape: () => buildSmallShape(),
		activity: async (fleet, size, milliseconds) => runLoad(fleet, size * 2, 4, milliseconds),
	},
	tokens: {
		unit: 'streamed tokens a second at each daemon, 2 requests a second',
		sizes: [100, 400, 800, 1600],
		shape: () => buildSmallShape(),
		activity: async (fleet, size, milliseconds) => runLoad(fleet, 4, Math.round(size / 2), milliseconds),
	},
};

export const axes = Object.keys(plans).filter((name): name is Axis => name in plans);

async function measurePoint(plan: AxisPlan, size: number): Promise<SlopePoint> {
	await using fleet = await Fleet.start(plan.shape(size));
	const settlingTime = plan.settlingTime ?? settlingMs;
	const activity = plan.activity?.(fleet, size, settlingTime + measurementMs + settlingMs);
	await sleep(settlingTime);
	const cost = await measureCost(fleet, measurementMs);
	await activity;
	return {size, cost};
}

/**
 * Measures the cost of a daemon at each size of an axis and fits a line to each cost.
 *
 * @param onPoint - Called after each point.
 */
export async function measureSlope(axis: Axis, onPoint: (point: SlopePoint) => void): Promise<Slope> {
	const plan = plans[axis];
	const points: SlopePoint[] = [];
	for (const size of plan.sizes) {
		const point = await measurePoint(plan, size);
		points.push(point);
		onPoint(point);
	}

	const fitCost = (name: CostName) => fitLine(points.map(({size, cost}) => ({x: size, y: cost[name]})));
	const lines = {
		processor: fitCost('processor'),
		core: fitCost('core'),
		peerBytes: fitCost('peerBytes'),
		platformCalls: fitCost('platformCalls'),
		resident: fitCost('resident'),
		heap: fitCost('heap'),
	};
	return {
		axis, unit: plan.unit, points, lines,
	};
}

const significantDigits = 4;

function formatNumber(value: number): string {
	return String(Number(value.toPrecision(significantDigits)));
}

/** Formats a measured slope as a Markdown section. */
export function formatSlope({axis, unit, points, lines}: Slope): string {
	return [
		`## ${axis}: ${unit}`,
		'',
		'| size | processor, ms/s | core, ms/s | peer bytes/s | platform calls/s | resident, MB | heap, MB |',
		'|---|---|---|---|---|---|---|',
		...points.map(({size, cost}) => `| ${size} | ${costNames.map(name => formatNumber(cost[name])).join(' | ')} |`),
		...(['slope', 'intercept', 'residual'] as const).map(statistic =>
			`| ${statistic} | ${costNames.map(name => formatNumber(lines[name][statistic])).join(' | ')} |`),
		'',
	].join('\n');
}

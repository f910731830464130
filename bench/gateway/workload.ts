/** Open-loop workloads of model requests of three lengths, whose mix changes within seconds. */
import {type Random} from '../../src/core/index.js';
import {type EngineModel} from '../../src/core/gateway/types.js';
import {createRandom} from '../model/workload.js';

/** A kind of request. Times are in milliseconds. */
export type RequestKind = {
	readonly name: string;
	/** Mean requests per second. */
	readonly rate: number;
	/** Tokens of the prompt. */
	readonly prompt: LogNormal;
	/** Events of the answer. */
	readonly events: LogNormal;
	/** Target for the first event. */
	readonly objective: number;
	/** Target for the longest pause between events. */
	readonly pause: number;
	readonly deadline: number;
	/** Weight of a request of mean length, and the share of its weight that a late answer earns. */
	readonly weight: number;
	readonly lateShare: number;
};

/** A log-normal distribution; values above the upper bound are clamped to it. */
type LogNormal = {
	readonly mean: number;
	/** Standard deviation of the logarithm. */
	readonly spread: number;
	/** Upper bound. */
	readonly most: number;
};

export type Arrival = {
	readonly id: string;
	readonly kind: RequestKind;
	readonly at: number;
	readonly host: number;
	readonly prompt: number;
	readonly events: number;
	readonly weight: number;
};

/** Factors of the rates from a time on, one for each kind. */
export type Phase = {
	readonly at: number;
	readonly factors: readonly number[];
};

export type Workload = {
	readonly kinds: readonly RequestKind[];
	readonly phases: readonly Phase[];
	/** Milliseconds. */
	readonly length: number;
	readonly hosts: number;
};

/** A replica of a model of 70 billion parameters; its batch has eight more slots than its memory has room for long prompts. */
export const replicaModel: EngineModel = {
	slots: 11, memory: 232_000, stride: 43, step: 1.02, perRequest: 0.003_29, perThousand: 0.004_31, readRate: 206, pairs: 0.138, chunk: 2048, hop: 0.075, usualPrompt: 12_316, usualAnswer: 1303,
};

/** Requests of a newsroom: paragraphs, editions and archives. */
export const newsroomKinds: readonly RequestKind[] = [
	{
		name: 'short', rate: 24, prompt: {mean: 5000, spread: 0.9, most: 23_800}, events: {mean: 31, spread: 0.7, most: 79}, objective: 300, pause: 250, deadline: 10_000, weight: 1.3, lateShare: 0.25,
	},
	{
		name: 'middle', rate: 1.3, prompt: {mean: 45_000, spread: 0.5, most: 110_000}, events: {mean: 19, spread: 0.6, most: 47}, objective: 1500, pause: 600, deadline: 10_000, weight: 3.9, lateShare: 0.25,
	},
	{
		name: 'long', rate: 1.1, prompt: {mean: 133_000, spread: 0.55, most: 600_000}, events: {mean: 16, spread: 0.5, most: 40}, objective: 2500, pause: 1000, deadline: 15_000, weight: 15, lateShare: 0.25,
	},
];

/** An engine of the enrolment desk. */
export const deskModel: EngineModel = {...replicaModel, slots: 8, memory: 382_500};

/** Requests of the enrolment desk, whose long prompts may need two engines. */
export const deskKinds: readonly RequestKind[] = [
	{
		...newsroomKinds[0]!, rate: 47, objective: 309, pause: 200,
	},
	{
		...newsroomKinds[1]!, rate: 4.3, objective: 1514, pause: 500,
	},
	{
		...newsroomKinds[2]!, rate: 1.3, prompt: {mean: 300_000, spread: 0.3, most: 600_000}, objective: 4024, pause: 800, weight: 30,
	},
];

/** Alternating bursts of long and short prompts, ten seconds each. */
export const burstPhases: readonly Phase[] = [
	{at: 0, factors: [1, 1, 1]},
	{at: 2300, factors: [0.36, 1.3, 2.8]},
	{at: 12_000, factors: [2.4, 0.5, 0.05]},
	{at: 22_000, factors: [0.39, 1.3, 2.8]},
];

/** Five bursts of long prompts and four of short ones between them, ten seconds each. */
export const deskPhases: readonly Phase[] = [
	{at: 0, factors: [1, 1, 1]},
	...[2300, 22_000, 42_000, 62_000, 82_000].map(at => ({at, factors: [0.39, 1.3, 2.8]})),
	...[12_000, 32_000, 52_000, 72_000].map(at => ({at, factors: [2.4, 0.5, 0.05]})),
].toSorted((a, b) => a.at - b.at);

const uniformSteps = 1_000_000;

function uniform(random: Random): number {
	return random.integer(1, uniformSteps) / uniformSteps;
}

function normal(random: Random): number {
	return Math.sqrt(-2 * Math.log(uniform(random))) * Math.cos(2 * Math.PI * uniform(random));
}

function sampleLogNormal(random: Random, {mean, spread, most}: LogNormal): number {
	return Math.min(mean * Math.exp((spread * normal(random)) - (spread * spread / 2)), most);
}

function getRateFactor(phases: readonly Phase[], kind: number, at: number): number {
	return phases.findLast(phase => phase.at <= at)?.factors[kind] ?? 1;
}

/**
 * @returns The requests of a workload in order of arrival; the same seed gives the same requests.
 */
export function generateArrivals(workload: Workload, seed: number): readonly Arrival[] {
	const random = createRandom(seed);
	const all: Arrival[] = [];
	for (const [index, kind] of workload.kinds.entries()) {
		for (let at = 0; at < workload.length;) {
			const rate = kind.rate * getRateFactor(workload.phases, index, at);
			at += -Math.log(uniform(random)) / rate * 1000;
			const prompt = Math.max(Math.round(sampleLogNormal(random, kind.prompt)), 50);
			all.push({
				id: `${kind.name}-${all.length}`,
				kind,
				at,
				host: random.integer(0, workload.hosts - 1),
				prompt,
				events: Math.max(Math.round(sampleLogNormal(random, kind.events)), 1),
				weight: kind.weight * Math.min(0.3 + (0.7 * prompt / kind.prompt.mean), 4),
			});
		}
	}

	return all.filter(arrival => arrival.at < workload.length).toSorted((a, b) => a.at - b.at);
}

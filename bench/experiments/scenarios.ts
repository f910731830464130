/**
 * The two deployments and their load. Engines run `timeScale` times as fast as real ones but entry hosts run in real time,
 * so that load reports are that many times older, in engine time, than in production.
 */
import {type FleetShapeInput} from '../fleet/shape.js';
import {type PromptClass, type ScenarioInput} from '../load/scenario.js';

/** A deployment and its load. */
export type Deployment = {
	readonly name: string;
	readonly shape: FleetShapeInput;
	/** The model service under test. */
	readonly service: string;
	readonly classes: readonly PromptClass[];
	readonly organisations: ReadonlyArray<{readonly id: string; readonly weight: number}>;
	/** Requests per real second that the engines can serve, as printed by `npm run bench -- capacity`. */
	readonly capacity: number;
	/** Timeout of each request in real milliseconds. */
	readonly timeout: number;
};

export const timeScale = 5;

/** Engine speeds in engine time. */
const engineSettings = {
	memory: 420_000,
	prefillRate: 20_000,
	decodeInterval: 25,
	batch: 32,
	chunk: 1024,
	reportLag: 500,
	answer: {least: 512, most: 512},
} as const;

/** Weights of the large organisations, and the number of small ones with weight 1. */
const organisationMix = {large: [8, 6, 4], small: 7} as const;

function buildOrganisations(): Deployment['organisations'] {
	return [
		...organisationMix.large.map((weight, index) => ({id: `large-${index + 1}`, weight})),
		...Array.from({length: organisationMix.small}, (_, index) => ({id: `small-${index + 1}`, weight: 1})),
	];
}

function buildClasses(shortWeight: number, middleWeight: number): readonly PromptClass[] {
	return [
		{
			name: 'short',
			weight: shortWeight,
			prompt: {least: 1000, most: 4000},
			output: {least: 16, most: 96},
			prefixes: {count: 24, tokens: 768, share: 0.7},
		},
		{
			name: 'middle',
			weight: middleWeight,
			prompt: {least: 10_000, most: 100_000},
			output: {least: 32, most: 128},
			prefixes: {count: 24, tokens: 8192, share: 0.5},
		},
		{
			name: 'long', weight: 2, prompt: {least: 100_000, most: 1_000_000}, output: {least: 64, most: 256},
		},
	];
}

const deadline = {default: 15_000, most: 15_000};

export const qalamkar: Deployment = {
	name: 'qalamkar',
	service: 'style-check',
	classes: buildClasses(80, 18),
	organisations: buildOrganisations(),
	capacity: 94,
	timeout: 15_000,
	shape: {
		timeScale,
		domains: ['saddar', 'clifton', 'korangi'],
		hosts: [3, 2, 2],
		engines: [{service: 'style-check', perDomain: 8, settings: engineSettings}],
		plains: [{service: 'reference', perDomain: 1}],
		services: [
			{
				kind: 'model', id: 'style-check', model: 'style', idempotent: true, deadline, weights: {slowdown: 3, firstToken: 1},
			},
			{
				kind: 'plain', id: 'reference', idempotent: true, deadline,
			},
		],
		organisations: buildOrganisations().map(({id}) => ({id})),
	},
};

export const eauSaine: Deployment = {
	name: 'eau-saine',
	service: 'cranberrytide',
	classes: buildClasses(70, 28),
	organisations: buildOrganisations(),
	capacity: 75,
	timeout: 15_000,
	shape: {
		timeScale,
		domains: ['nord', 'centre', 'sud'],
		hosts: [2],
		engines: [{service: 'cranberrytide', perDomain: 8, settings: engineSettings}],
		plains: [{service: 'portal', perDomain: 1}],
		services: [
			{
				kind: 'model', id: 'cranberrytide', model: 'dossier', idempotent: true, deadline, weights: {slowdown: 1, firstToken: 3},
			},
			{
				kind: 'plain', id: 'portal', idempotent: false, deadline,
			},
		],
		organisations: buildOrganisations().map(({id}) => ({id})),
	},
};

export const deployments: readonly Deployment[] = [qalamkar, eauSaine];

/** What varies between runs of one deployment. */
export type Variation = {
	readonly seed: number;
	readonly textSeed: number;
	/** Load as a share of the capacity. */
	readonly load: number;
	/** Real milliseconds. */
	readonly duration: number;
	/** Timeout of each request in real milliseconds; that of the deployment if absent. */
	readonly timeout?: number;
	/** Sends only prompts of this class, at the rate that they have in the whole mix. */
	readonly onlyClass?: string;
};

/**
 * Builds the load scenario of a run.
 *
 * @param entries - Addresses that receive the requests.
 */
export function buildScenario(deployment: Deployment, entries: ScenarioInput['entries'], variation: Variation): ScenarioInput {
	const chosen = deployment.classes.filter(each => variation.onlyClass === undefined || each.name === variation.onlyClass);
	const sumWeights = (promptClasses: readonly PromptClass[]) => {
		let sum = 0;
		for (const {weight} of promptClasses) {
			sum += weight;
		}

		return sum;
	};

	return {
		seed: variation.seed,
		textSeed: variation.textSeed,
		entries,
		service: deployment.service,
		rate: deployment.capacity * variation.load * sumWeights(chosen) / sumWeights(deployment.classes),
		duration: variation.duration,
		warmUp: variation.duration / 5,
		timeout: variation.timeout ?? deployment.timeout,
		organisations: deployment.organisations.map(each => ({...each, key: `key-${each.id}`})),
		classes: chosen,
		answer: engineSettings.answer,
	};
}

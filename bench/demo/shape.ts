/** The demo's fleet: three failure domains with two entry hosts each. */
import {type ShapeInput} from '../fleet/shape.js';

/** Engine time runs this many times as fast as real time, so that a million tokens take seconds. */
export const timeScale = 20;

export const service = 'summaries';
export const answer = {least: 16, most: 64} as const;

/** The longest prompts need more than twice this. */
const engineMemory = 420_000;

export const demoShape: ShapeInput = {
	timeScale,
	domains: ['north', 'south', 'west'],
	hosts: [2],
	engines: [{
		service, perDomain: 4, settings: {
			memory: engineMemory, prefillRate: 20_000, decodeInterval: 25, answer,
		},
	}],
	services: [{
		kind: 'model', id: service, model: 'demo', idempotent: true, deadline: {default: 20_000, most: 30_000}, expectedOutput: 40,
	}],
	organisations: [{id: 'desk'}, {id: 'archive'}],
};

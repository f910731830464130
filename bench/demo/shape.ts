/** Fleet of the demo: three failure domains with two entry hosts each. */
import {type FleetShapeInput} from '../fleet/shape.js';

/** Engines run this many times as fast as real ones, so that a prompt of a million tokens takes seconds. */
export const timeScale = 20;

export const service = 'summaries';

/** Lengths of the engines' answers in tokens. */
export const answer = {least: 16, most: 64} as const;

/** KV memory of an engine in tokens; the longest prompts need more than twice as much. */
const engineMemoryTokens = 420_000;

export const demoShape: FleetShapeInput = {
	timeScale,
	domains: ['north', 'south', 'west'],
	hosts: [2],
	engines: [{
		service, perDomain: 4, settings: {
			memory: engineMemoryTokens, prefillRate: 20_000, decodeInterval: 25, answer,
		},
	}],
	services: [{
		kind: 'model', id: service, model: 'demo', idempotent: true, deadline: {default: 20_000, most: 30_000}, expectedOutput: 40,
	}],
	organisations: [{id: 'desk'}, {id: 'archive'}],
};

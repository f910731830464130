/** Measures what one routing decision costs at the size of two years: 75 engines in a failure domain, 42 hosts. */
import {route} from '../../src/core/features/routing/queries.js';
import {service} from '../../src/core/features/configuration/queries.js';
import {type Request} from '../../src/core/index.js';
import {Fleet} from './fleet.js';
import {speed} from './scenarios.js';
import {seeded} from './workload.js';

const hosts = 42;
const engines = 75;
const decisions = 20_000;
const warmUp = 2000;
const blockTokens = 256;

function request(index: number, promptTokens: number): Request {
	return {
		id: `d${index}`,
		organisation: 'o',
		service: 's',
		priority: 5,
		arrival: 0,
		deadline: 100_000,
		promptTokens,
		blocks: Array.from({length: Math.ceil(promptTokens / blockTokens)}, (_, block) => block < 4 ? `p/${block}` : `d${index}/${block}`),
		proof: {type: 'idempotent'},
		fingerprint: `d${index}`,
	};
}

/**
 * @param promptTokens - Length of the prompts.
 * @returns Microseconds for one decision, on the mean.
 */
export function decisionCost(promptTokens: number): number {
	const fleet = new Fleet({
		hosts, engines, policy: 'cost', speed, organisations: [{id: 'o', weight: 1}], deadline: 100_000, weights: {slowdown: 1, firstToken: 1},
	}, 1);
	fleet.run([], 2000);
	const state = fleet.stateOf(0);
	const random = seeded(1);
	const wanted = service(state, 's')!;
	const requests = Array.from({length: 100}, (_, index) => request(index, promptTokens));
	let started = 0;
	for (let index = 0; index < decisions + warmUp; index++) {
		if (index === warmUp) {
			started = performance.now();
		}

		route(state, {
			request: requests[index % requests.length]!, wanted, failureDomain: 'a', avoided: [],
		}, {now: 2000, wall: 2000, random});
	}

	return (performance.now() - started) * 1000 / decisions;
}

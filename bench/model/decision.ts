/** Measures the cost of one routing decision at the expected size in two years: 75 engines in a failure domain, 42 hosts. */
import {route} from '../../src/core/features/routing/queries.js';
import {findService} from '../../src/core/features/configuration/queries.js';
import {type Request} from '../../src/core/index.js';
import {Fleet} from './fleet.js';
import {engineOptions} from './scenarios.js';
import {createRandom} from './workload.js';

const hosts = 42;
const engines = 75;
const decisions = 20_000;
const warmUpDecisions = 2000;
const blockTokens = 256;

function buildRequest(index: number, promptTokens: number): Request {
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
 * @param promptTokens - Length of the prompts in tokens.
 * @returns Mean time of one decision in microseconds.
 */
export function measureDecisionCost(promptTokens: number): number {
	const fleet = new Fleet({
		hosts, engines, policy: 'cost', engineOptions, organisations: [{id: 'o', weight: 1}], deadline: 100_000, weights: {slowdown: 1, firstToken: 1},
	}, 1);
	fleet.run([], 2000);
	const state = fleet.getHostState(0);
	const random = createRandom(1);
	const wanted = findService(state, 's')!;
	const requests = Array.from({length: 100}, (_, index) => buildRequest(index, promptTokens));
	let started = 0;
	for (let index = 0; index < decisions + warmUpDecisions; index++) {
		if (index === warmUpDecisions) {
			started = performance.now();
		}

		route(state, {
			request: requests[index % requests.length]!, requestedService: wanted, failureDomain: 'a', failedUpstreams: [],
		}, {now: 2000, wall: 2000, random});
	}

	return (performance.now() - started) * 1000 / decisions;
}

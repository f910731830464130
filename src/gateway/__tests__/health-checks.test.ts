import {expect, it, vi} from 'vitest';
import {createUpstream} from '../../core/gateway/__tests__/fixtures.js';
import {type Obstacle} from '../../core/gateway/placement/eligibility.js';
import {type HealthResult} from '../platform-adapter.js';
import {HealthChecks} from '../upstreams/health-checks.js';

const engine = createUpstream('e1', {service: 'model'});

type State = {
	now: number;
	confirmedAge: number;
	rate: number;
	result: HealthResult;
	obstacle?: Obstacle;
};

/** A host that is the only one of its failure domain and has one engine. */
function setUp() {
	const state: State = {
		now: 0, confirmedAge: 3000, rate: 4, result: {type: 'warm'},
	};
	const check = vi.fn(async () => state.result);
	const results: string[] = [];
	const lines: Array<Readonly<Record<string, unknown>>> = [];
	const coldStarts = {countCheck: vi.fn(() => false), getEnd: () => undefined, recordHealth: vi.fn()};
	const checks = new HealthChecks({
		self: 'h1',
		failureDomain: 'a',
		client: {check},
		coldStarts,
		log: {
			write(line) {
				lines.push(line);
			},
		},
		now: () => state.now,
		confirmedAge: () => state.confirmedAge,
		listHosts: () => ['h1'],
		listUpstreams: () => [engine, createUpstream('p1', {service: 'plain'})],
		findService: name => ({
			name, healthPath: '/healthz', connections: 1, ...(name === 'model' && {coldStart: {duration: 3000, rate: state.rate}}),
		}),
		findObstacle: () => state.obstacle,
		findUnreachableDomains: () => new Set(),
		onSent: () => undefined,
		onResult(result) {
			results.push(result);
		},
	});
	const run = async (milliseconds: number) => {
		for (const end = state.now + milliseconds; state.now < end; state.now += 200) {
			checks.update();
			await Promise.resolve();
		}
	};

	return {
		state, check, results, lines, coldStarts, run,
	};
}

it('learns from a health check that an engine is cold, and stops when the registrations are confirmed again', async () => {
	const {state, check, results, lines, coldStarts, run} = setUp();
	state.result = {type: 'cold', remaining: 1500};
	await run(6000);
	expect(coldStarts.recordHealth).toHaveBeenCalledWith(engine, 1500, expect.any(Number));
	expect(check.mock.calls.flat()).toEqual(results.map(() => ({upstream: 'e1', address: engine.address, path: '/healthz'})));
	const {length} = results;
	state.confirmedAge = 10;
	await run(3000);
	expect([results.length, length <= 3]).toEqual([length, true]);
	expect(lines).toMatchObject([{event: 'cold-checks', upstreams: 1, confirmedAge: 3000}, {event: 'cold-checks-ended', sent: results.length}]);
});

it('sends no check to an engine without a limit, and skips one that gets as many requests as it takes', async () => {
	const {state, check, results, lines, run} = setUp();
	state.rate = 0;
	await run(6000);
	expect(lines).toEqual([]);
	state.rate = 4;
	state.obstacle = {type: 'cold-start', wait: 50};
	await run(2000);
	expect([check.mock.calls, new Set(results)]).toEqual([[], new Set(['skipped'])]);
});

it('logs once why it ignores the responses of an engine, with the value', async () => {
	const {state, lines, coldStarts, run} = setUp();
	state.result = {type: 'ignored', reason: 'invalid cold time', value: '-5'};
	await run(6000);
	expect(lines.slice(1)).toEqual([{
		event: 'cold-check-ignored', upstream: 'e1', reason: 'invalid cold time', value: '-5',
	}]);
	expect(coldStarts.recordHealth).not.toHaveBeenCalled();
});

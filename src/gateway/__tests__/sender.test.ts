/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- The mocks contain only the members that these tests use. */
import {Buffer} from 'node:buffer';
import {expect, it} from 'vitest';
import {Links} from '../../core/gateway/health/links.js';
import {type Placement} from '../../core/gateway/placement/placement.js';
import {ValidatingAgent} from '../../protocol/http/validated-request.js';
import {type CallerResponse} from '../callers/caller-response.js';
import {type MemoryWait} from '../requests/memory-wait.js';
import {RequestState, type AdmittedRequest} from '../requests/request-state.js';
import {type RequestSuspicion} from '../requests/request-suspicion.js';
import {type RequestTrace} from '../requests/trace.js';
import {Run} from '../requests/run.js';
import {Sender} from '../requests/sender.js';
import {type GatewayServices} from '../services.js';
import {StallDetectors} from '../upstreams/stall-detectors.js';

const tunnels = {links: new Links(), noteUnanswered: () => undefined};

function createState(verdicts: string[]): RequestState {
	const gateway = {
		convictions: {track: () => ({[Symbol.dispose]: () => undefined})},
		loadUpdates: {end: () => undefined},
		load: {size: 1},
		recordVerdict(upstream: string, verdict: string) {
			verdicts.push(`${upstream} ${verdict}`);
		},
		tunnels,
		stallDetectors: new StallDetectors({
			tunnels, clock: {now: () => 0}, forecastIterationTime: () => 0, onLife: () => undefined,
		}),
		placements: {beginJob: () => ({id: 'j0', weight: 1}), createPaceSampler: () => undefined},
	};
	const services = {
		gateway,
		clock: {now: () => 0},
		headerFormat: {formatUpstreamHeaders: () => []},
		agent: Object.assign(new ValidatingAgent(), {closeIdle: () => undefined}),
		responseBounds: {eventBytes: 1_000_000, interim: 16, bodyBytes: 100_000_000},
		metrics: {attempts: {inc: () => undefined}},
	} as unknown as GatewayServices;
	const admitted = {
		incoming: {
			url: '/', headers: {}, rawHeaders: [], method: 'GET',
		},
		body: Buffer.alloc(0),
		route: {attempts: 2, kind: 'idempotent', isResumable: false},
		demand: {id: 'r0', deadline: 5000, service: 's'},
	} as unknown as AdmittedRequest;
	return new RequestState(services, admitted, {canContinue: true} as unknown as CallerResponse, {write: () => undefined} as unknown as RequestTrace);
}

it('a successor that was outrun before it had a connection counts neither against its engine nor against the route', async () => {
	const verdicts: string[] = [];
	const state = createState(verdicts);
	state.attempts.recordSent('e0');
	const placement = {
		upstream: {id: 'e1', address: {host: '127.0.0.1', port: 1}}, helpers: [], loss: 0, firstByte: 0,
	} as unknown as Placement;
	const run = new Run(placement, {
		noteConnected: () => undefined, lead: () => true, prepare: () => undefined, request: () => false,
	});
	const suspicion = {announce: () => undefined, isSuspected: false} as unknown as RequestSuspicion;
	const sender = new Sender(state, {fingerprint: 'f', causes: [], suspicion}, {grant: () => undefined} as unknown as MemoryWait);
	const ended = sender.send(placement, run);
	run.drop('outrun');
	expect(await ended).toMatchObject({type: 'not-run'});
	expect(verdicts).toEqual([]);
	expect([[...state.attempts.contacted], state.attempts.sent, state.attempts.canFailOver, [...state.attempts.eligibility.excluded]]).toEqual([['e0'], 1, true, ['e0']]);
});

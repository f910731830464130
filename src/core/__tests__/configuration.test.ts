import {describe, expect, it} from 'vitest';
import {
	codes,
	initialState,
	step,
	type Configuration,
	type StepContext,
	type State,
} from '../index.js';

const self = {
	incarnation: {host: 'a1', started: 1},
	failureDomain: 'a',
	peerAddress: {host: '127.0.0.1', port: 1},
	callerAddress: {host: '127.0.0.1', port: 2},
};
const context: StepContext = {now: 0, wall: 0, random: {integer: least => least}};

function createDocument(revision: number): Configuration {
	return {
		schema: 1,
		revision,
		failureDomains: [{id: 'a', region: 'r'}],
		services: [],
		organisations: [],
		upstreams: [],
		tokenKeys: [{id: 'k', secret: '0'.repeat(64)}],
		plannedStops: [],
		stopRule: {concurrentHosts: 1, concurrentUpstreams: 1},
		takeovers: [],
	};
}

function receiveDocument(state: State, revision: number, digest = `d${revision}`) {
	return step(state, {
		type: 'configuration-received',
		source: {type: 'platform'},
		configuration: createDocument(revision),
		digest,
		text: '',
	}, context);
}

function refusalCode(result: ReturnType<typeof receiveDocument>): number | undefined {
	for (const effect of result.effects) {
		if (effect.type === 'log' && effect.decision.type === 'configuration' && !effect.decision.accepted) {
			return effect.decision.code;
		}
	}

	return undefined;
}

describe('configuration', () => {
	it('serves once its first document is in force', () => {
		const {state, effects} = receiveDocument(initialState(self), 3);
		expect(state.configuration.inForce?.revision).toBe(3);
		expect(effects).toContainEqual({type: 'ready', ready: true});
	});

	it('never reverts to a lower revision', () => {
		const {state} = receiveDocument(initialState(self), 3);
		const after = receiveDocument(state, 2);
		expect(after.state.configuration.inForce?.revision).toBe(3);
		expect(refusalCode(after)).toBe(codes.staleRevision);
	});

	it('refuses other content for the same revision', () => {
		const {state} = receiveDocument(initialState(self), 3);
		const after = receiveDocument(state, 3, 'other');
		expect(refusalCode(after)).toBe(codes.sameRevisionOtherContent);
		expect(refusalCode(receiveDocument(state, 3))).toBeUndefined();
	});
});

/** Fixtures for tests of the core: a small configuration, requests, and helpers that apply events. */
import {
	initialState, step, type Configuration, type StepContext, type Effect, type Event, type Member, type Proof, type Request, type State,
} from '../index.js';

export const startWallTimeMs = 1_700_000_000_000;

/** Returns the context at a time, in milliseconds after the start. */
export function contextAt(now: number): StepContext {
	return {now, wall: startWallTimeMs + now, random: {integer: least => least}};
}

export function createMember(host: string, started = 1, failureDomain = 'a'): Member {
	return {
		incarnation: {host, started},
		failureDomain,
		peerAddress: {host: '127.0.0.1', port: 1},
		callerAddress: {host: '127.0.0.1', port: 2},
	};
}

export function createConfiguration(upstreams: readonly string[] = ['u1', 'u2', 'u3'], failureDomain = 'a'): Configuration {
	return {
		schema: 1,
		revision: 1,
		failureDomains: [{id: failureDomain, region: 'r'}],
		services: [{
			id: 'bookings',
			kind: 'plain',
			deadline: {default: 5000, most: 10_000},
			idempotent: false,
			ticketRule: 'key',
			retryBudget: {ratio: 1, burst: 10},
			queueLimit: 100,
			policy: 'cost',
		}],
		organisations: [{
			id: 'paper', keyHashes: [], priority: 5, weight: 1, limits: {},
		}],
		upstreams: upstreams.map((id, index) => ({
			id, kind: 'plain', service: 'bookings', failureDomain, address: {host: '127.0.0.1', port: 100 + index}, concurrent: 8,
		})),
		tokenKeys: [{id: 'k', secret: '0'.repeat(64)}],
		plannedStops: [],
		stopRule: {concurrentHosts: 1, concurrentUpstreams: 1},
		takeovers: [],
	};
}

/** Applies events in order, all at the same time. */
export function applyEvents(state: State, now: number, ...events: readonly Event[]): {readonly state: State; readonly effects: readonly Effect[]} {
	let current = state;
	const effects: Effect[] = [];
	for (const event of events) {
		const next = step(current, event, contextAt(now));
		current = next.state;
		effects.push(...next.effects);
	}

	return {state: current, effects};
}

/** Returns the state of a host that serves with a configuration in force. */
export function createServingState(self: Member, document: Configuration = createConfiguration()): State {
	return applyEvents(initialState(self), 0, {
		type: 'configuration-received', source: {type: 'platform'}, configuration: document, digest: 'd', text: '',
	}).state;
}

export function createRequest(id: string, proof: Proof, overrides: Partial<Request> = {}): Request {
	return {
		id,
		organisation: 'paper',
		service: 'bookings',
		priority: 5,
		arrival: 0,
		deadline: 5000,
		promptTokens: 10,
		blocks: [],
		proof,
		fingerprint: 'f',
		...overrides,
	};
}

/** Returns the effects of one type, in order. */
export function effectsOf<T extends Effect['type']>(effects: readonly Effect[], type: T): ReadonlyArray<Extract<Effect, {readonly type: T}>> {
	return effects.filter((each): each is Extract<Effect, {readonly type: T}> => each.type === type);
}

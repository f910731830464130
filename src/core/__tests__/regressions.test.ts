/** Faults found by fuzzing, each reproduced as a fixed scenario. */
import {describe, expect, it} from 'vitest';
import {ticketLifetimeMs} from '../features/tickets/types.js';
import {run} from '../../../bench/fuzz/run.js';
import {isConvicted, isSuspect} from '../features/suspicion/queries.js';
import {
	type Attempt, type Ending, type Event, type Ticket,
} from '../index.js';
import {
	applyEvents, contextAt, createMember, createRequest, createServingState, effectsOf,
} from './fixtures.js';

describe('suspicion', () => {
	it('does not attribute a second crash of an upstream without reports to the request that caused the first', () => {
		const broken: Ending = {
			type: 'unknown', code: 3003, detail: '', relayed: false,
		};
		const crash = (fingerprint: string, upstream: string, now: number): readonly Event[] => {
			const poisonRequest = createRequest(fingerprint, {type: 'idempotent'}, {fingerprint});
			const attempt: Attempt = {
				id: `${fingerprint}.${upstream}`, request: poisonRequest.id, upstream, began: now, prefill: 1, decode: 1, prefillAhead: 0, length: 'short', written: true, received: 0,
			};
			return [
				{type: 'attempt-began', request: poisonRequest, attempt},
				{
					type: 'attempt-over', request: poisonRequest, attempt, ending: broken,
				},
			];
		};

		const first = applyEvents(createServingState(createMember('a1')), 0, ...crash('first', 'u1', 0), ...crash('first', 'u2', 0));
		const {state} = applyEvents(first.state, 3000, ...crash('second', 'u2', 3000));
		expect(isConvicted(state, 'first', contextAt(3000))).toBe(true);
		expect(isSuspect(state, 'second', contextAt(3000))).toBe(true);
	});
});

describe('a request that crashes an upstream after another request was convicted for a crash there', () => {
	it('is suspected even before a report shows a new incarnation', () => {
		const broken: Ending = {
			type: 'unknown', code: 3003, detail: '', relayed: false,
		};
		const crash = (fingerprint: string, upstream: string, began: number): readonly Event[] => {
			const poisonRequest = createRequest(fingerprint, {type: 'idempotent'}, {fingerprint});
			const attempt: Attempt = {
				id: `${fingerprint}.${upstream}`,
				request: poisonRequest.id,
				upstream,
				upstreamIncarnation: 'i1',
				began,
				prefill: 1,
				decode: 1,
				prefillAhead: 0,
				length: 'short',
				written: true,
				received: 0,
			};
			return [
				{type: 'attempt-began', request: poisonRequest, attempt},
				{
					type: 'attempt-over', request: poisonRequest, attempt, ending: broken,
				},
			];
		};

		const convicted = applyEvents(createServingState(createMember('a1')), 10, ...crash('first', 'u1', 5), ...crash('first', 'u2', 5));
		const beside = applyEvents(convicted.state, 20, ...crash('beside', 'u1', 8));
		expect(isSuspect(beside.state, 'beside', contextAt(20))).toBe(false);
		const {state} = applyEvents(beside.state, 400, ...crash('second', 'u1', 300));
		expect(isSuspect(state, 'second', contextAt(400))).toBe(true);
	});

	it('crashes at most two upstreams through one host (seed 310700460)', () => {
		expect(run({seed: 310_700_460}).violations).toEqual([]);
	});
});

describe('sealing', () => {
	it('is refused for an expired ticket, since the record of its use may have been removed', () => {
		const self = createMember('a1');
		const ticket: Ticket = {
			keeper: self.incarnation, failureDomain: 'a', address: self.callerAddress, sequence: 1, organisation: 'paper', expires: contextAt(1000).wall,
		};
		const ran = applyEvents(
			applyEvents(createServingState(self), 0, {type: 'ticket-wanted', request: 'w', organisation: 'paper'}).state,
			1,
			{type: 'request-arrived', request: createRequest('r1', {type: 'ticket', ticket})},
		);
		const [sent] = effectsOf(ran.effects, 'send');
		const ended = applyEvents(ran.state, 2, {type: 'attempt-ended', attempt: sent!.attempt, ending: {type: 'done', tokens: 1}});
		const swept = applyEvents(ended.state, ticketLifetimeMs, {type: 'tick'});
		const seal: Event = {
			type: 'peer-message', from: 'a2', message: {
				type: 'seal', id: 'r2', right: 't/1', expires: ticket.expires, keeper: self.incarnation,
			},
		};
		expect(swept.state.tickets.entries.size).toBe(0);
		expect(effectsOf(applyEvents(swept.state, ticketLifetimeMs, seal).effects, 'peer-send')).toMatchObject([{message: {type: 'sealed', answer: {type: 'used'}}}]);
	});
});

describe('a host that was paused while another host claimed a key', () => {
	it.each([32_008_901, 32_009_160])('does not relay an outdated "not run" (seed %i)', seed => {
		expect(run({seed}).violations).toEqual([]);
	});
});

describe('restarts of all hosts between two crashes', () => {
	it('discard the first crash, and the request crashes at most two upstreams through each host (seed 51000071)', () => {
		const {simulation, violations} = run({seed: 51_000_071});
		expect(violations).toEqual([]);
		expect(simulation.ledger.crashes.filter(crash => crash.operation === 'o405')).toHaveLength(5);
	});
});

describe('a key that is refused while another request with it begins to run', () => {
	it('is answered with what was true at the time of the decision (seed 146302089)', () => {
		expect(run({seed: 146_302_089}).violations).toEqual([]);
	});
});

describe('a poison request sent twice at the same time while another host is paused', () => {
	it('crashes three upstreams through the first host and two through the other (seed 146302079)', () => {
		const {simulation, violations} = run({seed: 146_302_079});
		expect(violations).toEqual([]);
		expect(simulation.ledger.crashes.filter(crash => crash.operation === 'o552').map(crash => crash.sender.slice(0, 2))).toEqual(['b2', 'b2', 'b2', 'b1', 'b1']);
	});
});

describe('a key that a host has sealed before it was restarted', () => {
	it('does not run at another host that its next process promises it to (seed 640500254)', () => {
		expect(run({seed: 640_500_254}).violations).toEqual([]);
	});
});

describe('a request with little time that presents a key which an earlier request is claiming', () => {
	it('is answered at its own deadline (seed 820112)', () => {
		expect(run({seed: 820_112}).violations).toEqual([]);
	});
});

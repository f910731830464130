/** Faults that fuzz runs found, each as a fixed scenario. */
import {describe, expect, it} from 'vitest';
import {ticketLife} from '../features/tickets/types.js';
import {run} from '../../../bench/fuzz/run.js';
import {isConvicted, isSuspect} from '../features/suspicion/queries.js';
import {
	type Attempt, type Ending, type Event, type Ticket,
} from '../index.js';
import {
	at, effectsOf, member, play, request, serving,
} from './hosts.js';

describe('suspicion', () => {
	it('does not lay a second crash of an upstream without reports to the request that crashed it before', () => {
		const broken: Ending = {
			type: 'unknown', code: 3003, detail: '', relayed: false,
		};
		const crash = (fingerprint: string, upstream: string, now: number): readonly Event[] => {
			const of = request(fingerprint, {type: 'idempotent'}, {fingerprint});
			const attempt: Attempt = {
				id: `${fingerprint}.${upstream}`, request: of.id, upstream, began: now, prefill: 1, decode: 1, ahead: 0, length: 'short', written: true, received: 0,
			};
			return [
				{type: 'attempt-began', request: of, attempt},
				{
					type: 'attempt-over', request: of, attempt, ending: broken,
				},
			];
		};

		const first = play(serving(member('a1')), 0, ...crash('first', 'u1', 0), ...crash('first', 'u2', 0));
		const {state} = play(first.state, 3000, ...crash('second', 'u2', 3000));
		expect(isConvicted(state, 'first', at(3000))).toBe(true);
		expect(isSuspect(state, 'second', at(3000))).toBe(true);
	});
});

describe('a request that crashes an upstream after another one was convicted for a crash there', () => {
	it('is suspected, though no report has told of a new incarnation', () => {
		const broken: Ending = {
			type: 'unknown', code: 3003, detail: '', relayed: false,
		};
		const crash = (fingerprint: string, upstream: string, began: number): readonly Event[] => {
			const of = request(fingerprint, {type: 'idempotent'}, {fingerprint});
			const attempt: Attempt = {
				id: `${fingerprint}.${upstream}`, request: of.id, upstream, upstreamIncarnation: 'i1', began, prefill: 1, decode: 1, ahead: 0, length: 'short', written: true, received: 0,
			};
			return [
				{type: 'attempt-began', request: of, attempt},
				{
					type: 'attempt-over', request: of, attempt, ending: broken,
				},
			];
		};

		const convicted = play(serving(member('a1')), 10, ...crash('first', 'u1', 5), ...crash('first', 'u2', 5));
		const beside = play(convicted.state, 20, ...crash('beside', 'u1', 8));
		expect(isSuspect(beside.state, 'beside', at(20))).toBe(false);
		const {state} = play(beside.state, 400, ...crash('second', 'u1', 300));
		expect(isSuspect(state, 'second', at(400))).toBe(true);
	});

	it('crashes two upstreams at most by way of one host (seed 310700460)', () => {
		expect(run({seed: 310_700_460}).violations).toEqual([]);
	});
});

describe('sealing', () => {
	it('is refused for an expired ticket, whose use may have been forgotten', () => {
		const self = member('a1');
		const ticket: Ticket = {
			keeper: self.incarnation, failureDomain: 'a', address: self.callerAddress, sequence: 1, organisation: 'paper', expires: at(1000).wall,
		};
		const ran = play(
			play(serving(self), 0, {type: 'ticket-wanted', request: 'w', organisation: 'paper'}).state,
			1,
			{type: 'request-arrived', request: request('r1', {type: 'ticket', ticket})},
		);
		const [sent] = effectsOf(ran.effects, 'send');
		const ended = play(ran.state, 2, {type: 'attempt-ended', attempt: sent!.attempt, ending: {type: 'done', tokens: 1}});
		const swept = play(ended.state, ticketLife, {type: 'tick'});
		const ask: Event = {
			type: 'peer-message', from: 'a2', message: {
				type: 'seal', id: 'r2', right: 't/1', expires: ticket.expires, keeper: self.incarnation,
			},
		};
		expect(swept.state.tickets.entries.size).toBe(0);
		expect(effectsOf(play(swept.state, ticketLife, ask).effects, 'peer-send')).toMatchObject([{message: {type: 'sealed', answer: {type: 'used'}}}]);
	});
});

describe('a host that stood still while a key was asked for elsewhere', () => {
	it.each([32_008_901, 32_009_160])('does not pass an old "not run" on (seed %i)', seed => {
		expect(run({seed}).violations).toEqual([]);
	});
});

describe('hosts that all restart between two crashes', () => {
	it('forget the first one, and each crashes two upstreams at most (seed 51000071)', () => {
		const {world, violations} = run({seed: 51_000_071});
		expect(violations).toEqual([]);
		expect(world.ledger.crashes.filter(crash => crash.operation === 'o405')).toHaveLength(5);
	});
});

describe('a key that is refused while another sending of it begins to run', () => {
	it('is told what was true when that was decided (seed 146302089)', () => {
		expect(run({seed: 146_302_089}).violations).toEqual([]);
	});
});

describe('a request sent twice at once that crashes upstreams while another host stands still', () => {
	it('crashes a third one of the first host, and two of the other (seed 146302079)', () => {
		const {world, violations} = run({seed: 146_302_079});
		expect(violations).toEqual([]);
		expect(world.ledger.crashes.filter(crash => crash.operation === 'o552').map(crash => crash.sender.slice(0, 2))).toEqual(['b2', 'b2', 'b2', 'b1', 'b1']);
	});
});

import {describe, expect, it} from 'vitest';
import {
	codes, type Event, type State, type Ticket,
} from '../index.js';
import {isIdle} from '../features/requests/queries.js';
import {dispatchRefusal, mayDispatch} from '../features/tickets/queries.js';
import {ticketLife} from '../features/tickets/types.js';
import {
	at, effectsOf, member, play, request, serving,
} from './hosts.js';

const self = member('a1');

function issue(state: State): {readonly state: State; readonly ticket: Ticket} {
	const issued = play(state, 0, {type: 'ticket-wanted', request: 'w', organisation: 'paper'});
	return {state: issued.state, ticket: effectsOf(issued.effects, 'issue-ticket')[0]!.ticket};
}

function arrival(id: string, ticket: Ticket, fingerprint = 'f'): Event {
	return {type: 'request-arrived', request: request(id, {type: 'ticket', ticket}, {fingerprint})};
}

function ending(attempt: string): Event {
	return {type: 'attempt-ended', attempt, ending: {type: 'done', tokens: 1}};
}

describe('the gate for requests', () => {
	it('clears an idempotent request without a ticket', () => {
		const {effects} = play(serving(self), 0, {type: 'request-arrived', request: request('r', {type: 'idempotent'})});
		expect(effectsOf(effects, 'send')).toHaveLength(1);
	});

	it('answers a request without proof with a ticket that is good here', () => {
		const first = play(serving(self), 0, {type: 'request-arrived', request: request('r', {type: 'none'})});
		const [refusal] = effectsOf(first.effects, 'answer');
		expect(refusal?.outcome).toMatchObject({type: 'not-run', code: codes.ticketRequired});
		expect(effectsOf(first.effects, 'send')).toHaveLength(0);
		const second = play(first.state, 1, arrival('r2', refusal!.ticket!));
		expect(effectsOf(second.effects, 'send')).toHaveLength(1);
	});

	it('runs a ticket once, attaches a repeat and replays its end', () => {
		const {state, ticket} = issue(serving(self));
		const first = play(state, 1, arrival('r1', ticket));
		const [sent] = effectsOf(first.effects, 'send');
		const repeat = play(first.state, 2, arrival('r2', ticket));
		expect(repeat.effects).toContainEqual({type: 'replay', request: 'r2', original: 'r1'});
		const over = play(repeat.state, 3, ending(sent!.attempt));
		const late = play(over.state, 4, arrival('r3', ticket));
		expect(late.effects).toContainEqual({type: 'replay', request: 'r3', original: 'r1'});
		expect(effectsOf([...repeat.effects, ...late.effects], 'send')).toHaveLength(0);
	});

	it('answers a waiting repeat at its own deadline', () => {
		const {state, ticket} = issue(serving(self));
		const first = play(state, 1, {type: 'request-arrived', request: request('r1', {type: 'ticket', ticket}, {deadline: 9000})});
		const repeat = play(first.state, 2, arrival('r2', ticket));
		const {effects} = play(repeat.state, 5000, {type: 'tick'});
		expect(effectsOf(effects, 'answer')).toMatchObject([{request: 'r2', outcome: {type: 'unknown', code: codes.outcomeUnknown}}]);
	});

	it('refuses a ticket used for another request, or by another organisation', () => {
		const {state, ticket} = issue(serving(self));
		const {state: used} = play(state, 1, arrival('r1', ticket));
		expect(effectsOf(play(used, 2, arrival('r2', ticket, 'other')).effects, 'answer')[0]?.outcome).toMatchObject({code: codes.keyReused});
		const foreign = arrival('r3', {...ticket, organisation: 'works'});
		expect(effectsOf(play(state, 2, foreign).effects, 'answer')[0]?.outcome).toMatchObject({code: codes.badTicket});
	});

	it('never runs a ticket of an earlier incarnation', () => {
		const {ticket} = issue(serving(self));
		const {effects} = play(serving(member('a1', 2)), 1, arrival('r1', ticket));
		expect(effectsOf(effects, 'answer')[0]?.outcome).toMatchObject({type: 'unknown', code: codes.keeperGone});
		expect(effectsOf(effects, 'send')).toHaveLength(0);
	});

	it('refuses a dispatch once the ticket has expired, also while it waits', () => {
		const {state, ticket} = issue(serving(self));
		const wanted = request('r1', {type: 'ticket', ticket});
		const {state: running} = play(state, 1, {type: 'request-arrived', request: wanted});
		expect(mayDispatch(running, wanted, at(2))).toBe(true);
		expect(dispatchRefusal(running, wanted, at(ticketLife))).toBe('expiredTicket');
		expect(mayDispatch(state, wanted, at(2))).toBe(false);
		const late = play(state, ticketLife, arrival('r2', ticket));
		expect(effectsOf(late.effects, 'answer')[0]?.outcome).toMatchObject({type: 'unknown', code: codes.expiredTicket});
	});

	it('seals all unused tickets when its table is full, so that "not run" stays true', () => {
		const {state, ticket} = issue(serving(self));
		const entries = state.tickets.entries.withMutations(table => {
			for (let index = 0; index < 100_000; index++) {
				table.set(`x/${index}`, {fingerprint: '', expires: Number.MAX_SAFE_INTEGER, progress: {type: 'sealed'}});
			}
		});
		const full: State = {...state, tickets: {...state.tickets, entries}};
		const refused = play(full, 1, arrival('r1', ticket));
		expect(effectsOf(refused.effects, 'answer')[0]?.outcome).toMatchObject({type: 'not-run', code: codes.overloaded});
		const roomAgain: State = {...refused.state, tickets: {...refused.state.tickets, entries: entries.clear()}};
		expect(effectsOf(play(roomAgain, 2, arrival('r2', ticket)).effects, 'answer')[0]?.outcome).toMatchObject({type: 'not-run', code: codes.sealed});
	});
});

describe('a request whose ticket another host keeps', () => {
	const keeper = member('a2', 5);
	const ticket: Ticket = {
		keeper: keeper.incarnation, failureDomain: 'a', address: keeper.callerAddress, sequence: 1, organisation: 'paper', expires: at(ticketLife).wall,
	};

	function linked(): State {
		const state = serving(self);
		const peers = state.membership.peers.set('a2', {
			...state.membership.peers.get('a2')!, member: keeper, phase: 'serving', connected: true, heard: 0, revision: 1,
		});
		return {...state, membership: {...state.membership, peers}};
	}

	const cut: Event = {
		type: 'forward-ended', request: 'r1', ending: {
			type: 'not-run', code: codes.notConnected, overload: false, detail: '',
		},
	};

	it('is passed on, and the keeper\'s word is the answer', () => {
		const passed = play(linked(), 1, arrival('r1', ticket));
		expect(effectsOf(passed.effects, 'forward')).toMatchObject([{request: 'r1', host: 'a2', reason: 'keeper'}]);
		const {effects} = play(passed.state, 2, {type: 'forward-ended', request: 'r1', ending: {type: 'done', tokens: 1}});
		expect(effectsOf(effects, 'answer')).toMatchObject([{request: 'r1', outcome: {type: 'done'}}]);
	});

	it('keeps a leaving host up until its answer is there', () => {
		const passed = play(linked(), 1, arrival('r1', ticket));
		expect(isIdle(passed.state)).toBe(false);
		expect(isIdle(play(passed.state, 2, {type: 'forward-ended', request: 'r1', ending: {type: 'done', tokens: 1}}).state)).toBe(true);
	});

	it('is unknown when the keeper cannot be reached at all', () => {
		const passed = play(serving(self), 1, arrival('r1', ticket));
		const asked = play(passed.state, 2, cut);
		expect(effectsOf(asked.effects, 'answer')).toHaveLength(0);
		expect(effectsOf(play(asked.state, 1002, {type: 'tick'}).effects, 'answer')[0]?.outcome).toMatchObject({type: 'unknown', code: codes.keeperUnreachable});
	});

	it('is not run once the keeper has sealed it, and the keeper never runs it then', () => {
		const passed = play(linked(), 1, arrival('r1', ticket));
		const asked = play(passed.state, 2, cut);
		const [ask] = effectsOf(asked.effects, 'peer-send');
		const atKeeper = play(serving(keeper), 3, {type: 'peer-message', from: 'a1', message: ask!.message});
		const [told] = effectsOf(atKeeper.effects, 'peer-send');
		const over = play(asked.state, 4, {type: 'peer-message', from: 'a2', message: told!.message});
		expect(effectsOf(over.effects, 'answer')[0]?.outcome).toMatchObject({type: 'not-run', code: codes.sealed});
		const stray = play(atKeeper.state, 5, arrival('r1', ticket));
		expect(effectsOf(stray.effects, 'answer')[0]?.outcome).toMatchObject({type: 'not-run', code: codes.sealed});
	});

	it('is passed on again when the keeper has used it, and asked about in vain only for a while', () => {
		const passed = play(linked(), 1, arrival('r1', ticket));
		const asked = play(passed.state, 2, cut);
		const again = play(asked.state, 3, {type: 'peer-message', from: 'a2', message: {type: 'sealed', id: 'r1', answer: {type: 'used'}}});
		expect(effectsOf(again.effects, 'forward')).toHaveLength(1);
		const silent = play(asked.state, 1002, {type: 'tick'});
		expect(effectsOf(silent.effects, 'answer')[0]?.outcome).toMatchObject({type: 'unknown', code: codes.keeperUnreachable});
	});
});

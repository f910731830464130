import {describe, expect, it} from 'vitest';
import {
	codes, type Event, type State, type Ticket,
} from '../index.js';
import {isIdle} from '../features/requests/queries.js';
import {findDispatchRefusal, canDispatch} from '../features/tickets/queries.js';
import {ticketLifetimeMs} from '../features/tickets/types.js';
import {
	applyEvents, contextAt, createMember, createRequest, createServingState, effectsOf,
} from './fixtures.js';

const self = createMember('a1');

function issueTicket(state: State): {readonly state: State; readonly ticket: Ticket} {
	const issued = applyEvents(state, 0, {type: 'ticket-wanted', request: 'w', organisation: 'paper'});
	return {state: issued.state, ticket: effectsOf(issued.effects, 'issue-ticket')[0]!.ticket};
}

function createArrival(id: string, ticket: Ticket, fingerprint = 'f'): Event {
	return {type: 'request-arrived', request: createRequest(id, {type: 'ticket', ticket}, {fingerprint})};
}

function createAttemptEnd(attempt: string): Event {
	return {type: 'attempt-ended', attempt, ending: {type: 'done', tokens: 1}};
}

describe('admission of requests', () => {
	it('admits an idempotent request without a ticket', () => {
		const {effects} = applyEvents(createServingState(self), 0, {type: 'request-arrived', request: createRequest('r', {type: 'idempotent'})});
		expect(effectsOf(effects, 'send')).toHaveLength(1);
	});

	it('answers a request without proof with a ticket that is valid at this host', () => {
		const first = applyEvents(createServingState(self), 0, {type: 'request-arrived', request: createRequest('r', {type: 'none'})});
		const [refusal] = effectsOf(first.effects, 'answer');
		expect(refusal?.outcome).toMatchObject({type: 'not-run', code: codes.ticketRequired});
		expect(effectsOf(first.effects, 'send')).toHaveLength(0);
		const second = applyEvents(first.state, 1, createArrival('r2', refusal!.ticket!));
		expect(effectsOf(second.effects, 'send')).toHaveLength(1);
	});

	it('runs a ticket once, attaches repeats to the running request and replays its answer later', () => {
		const {state, ticket} = issueTicket(createServingState(self));
		const first = applyEvents(state, 1, createArrival('r1', ticket));
		const [sent] = effectsOf(first.effects, 'send');
		const repeat = applyEvents(first.state, 2, createArrival('r2', ticket));
		expect(repeat.effects).toContainEqual({type: 'replay', request: 'r2', original: 'r1'});
		const over = applyEvents(repeat.state, 3, createAttemptEnd(sent!.attempt));
		const late = applyEvents(over.state, 4, createArrival('r3', ticket));
		expect(late.effects).toContainEqual({type: 'replay', request: 'r3', original: 'r1'});
		expect(effectsOf([...repeat.effects, ...late.effects], 'send')).toHaveLength(0);
	});

	it('answers an attached repeat at its own deadline', () => {
		const {state, ticket} = issueTicket(createServingState(self));
		const first = applyEvents(state, 1, {type: 'request-arrived', request: createRequest('r1', {type: 'ticket', ticket}, {deadline: 9000})});
		const repeat = applyEvents(first.state, 2, createArrival('r2', ticket));
		const {effects} = applyEvents(repeat.state, 5000, {type: 'tick'});
		expect(effectsOf(effects, 'answer')).toMatchObject([{request: 'r2', outcome: {type: 'unknown', code: codes.outcomeUnknown}}]);
	});

	it('refuses a ticket used for another request, or by another organisation', () => {
		const {state, ticket} = issueTicket(createServingState(self));
		const {state: used} = applyEvents(state, 1, createArrival('r1', ticket));
		expect(effectsOf(applyEvents(used, 2, createArrival('r2', ticket, 'other')).effects, 'answer')[0]?.outcome).toMatchObject({code: codes.keyReused});
		const foreign = createArrival('r3', {...ticket, organisation: 'works'});
		expect(effectsOf(applyEvents(state, 2, foreign).effects, 'answer')[0]?.outcome).toMatchObject({code: codes.badTicket});
	});

	it('never runs a ticket of an earlier incarnation', () => {
		const {ticket} = issueTicket(createServingState(self));
		const {effects} = applyEvents(createServingState(createMember('a1', 2)), 1, createArrival('r1', ticket));
		expect(effectsOf(effects, 'answer')[0]?.outcome).toMatchObject({type: 'unknown', code: codes.keeperGone});
		expect(effectsOf(effects, 'send')).toHaveLength(0);
	});

	it('refuses to dispatch once the ticket has expired, also if the request is queued', () => {
		const {state, ticket} = issueTicket(createServingState(self));
		const wanted = createRequest('r1', {type: 'ticket', ticket});
		const {state: running} = applyEvents(state, 1, {type: 'request-arrived', request: wanted});
		expect(canDispatch(running, wanted, contextAt(2))).toBe(true);
		expect(findDispatchRefusal(running, wanted, contextAt(ticketLifetimeMs))).toBe('expiredTicket');
		expect(canDispatch(state, wanted, contextAt(2))).toBe(false);
		const late = applyEvents(state, ticketLifetimeMs, createArrival('r2', ticket));
		expect(effectsOf(late.effects, 'answer')[0]?.outcome).toMatchObject({type: 'unknown', code: codes.expiredTicket});
	});

	it('seals all unused tickets when its table is full, so that "not run" remains true', () => {
		const {state, ticket} = issueTicket(createServingState(self));
		const entries = state.tickets.entries.withMutations(table => {
			for (let index = 0; index < 100_000; index++) {
				table.set(`x/${index}`, {fingerprint: '', expires: Number.MAX_SAFE_INTEGER, progress: {type: 'sealed'}});
			}
		});
		const full: State = {...state, tickets: {...state.tickets, entries}};
		const refused = applyEvents(full, 1, createArrival('r1', ticket));
		expect(effectsOf(refused.effects, 'answer')[0]?.outcome).toMatchObject({type: 'not-run', code: codes.overloaded});
		const roomAgain: State = {...refused.state, tickets: {...refused.state.tickets, entries: entries.clear()}};
		expect(effectsOf(applyEvents(roomAgain, 2, createArrival('r2', ticket)).effects, 'answer')[0]?.outcome).toMatchObject({type: 'not-run', code: codes.sealed});
	});
});

describe('a request whose ticket another host keeps', () => {
	const keeper = createMember('a2', 5);
	const ticket: Ticket = {
		keeper: keeper.incarnation, failureDomain: 'a', address: keeper.callerAddress, sequence: 1, organisation: 'paper', expires: contextAt(ticketLifetimeMs).wall,
	};

	function createLinkedState(): State {
		const state = createServingState(self);
		const peers = state.membership.peers.set('a2', {
			...state.membership.peers.get('a2')!, member: keeper, phase: 'serving', connected: true, lastSeen: 0, revision: 1,
		});
		return {...state, membership: {...state.membership, peers}};
	}

	const cut: Event = {
		type: 'forward-ended', request: 'r1', ending: {
			type: 'not-run', code: codes.notConnected, overload: false, detail: '',
		},
	};

	it('is forwarded to the keeper, and the keeper\'s answer is relayed', () => {
		const forwarded = applyEvents(createLinkedState(), 1, createArrival('r1', ticket));
		expect(effectsOf(forwarded.effects, 'forward')).toMatchObject([{request: 'r1', host: 'a2', reason: 'keeper'}]);
		const {effects} = applyEvents(forwarded.state, 2, {type: 'forward-ended', request: 'r1', ending: {type: 'done', tokens: 1}});
		expect(effectsOf(effects, 'answer')).toMatchObject([{request: 'r1', outcome: {type: 'done'}}]);
	});

	it('keeps a leaving host running until the answer arrives', () => {
		const forwarded = applyEvents(createLinkedState(), 1, createArrival('r1', ticket));
		expect(isIdle(forwarded.state)).toBe(false);
		expect(isIdle(applyEvents(forwarded.state, 2, {type: 'forward-ended', request: 'r1', ending: {type: 'done', tokens: 1}}).state)).toBe(true);
	});

	it('is unknown when the keeper is unreachable', () => {
		const forwarded = applyEvents(createServingState(self), 1, createArrival('r1', ticket));
		const asked = applyEvents(forwarded.state, 2, cut);
		expect(effectsOf(asked.effects, 'answer')).toHaveLength(0);
		expect(effectsOf(applyEvents(asked.state, 1002, {type: 'tick'}).effects, 'answer')[0]?.outcome).toMatchObject({type: 'unknown', code: codes.keeperUnreachable});
	});

	it('is not run once the keeper has sealed its ticket, and the keeper never runs it afterwards', () => {
		const forwarded = applyEvents(createLinkedState(), 1, createArrival('r1', ticket));
		const asked = applyEvents(forwarded.state, 2, cut);
		const [seal] = effectsOf(asked.effects, 'peer-send');
		const atKeeper = applyEvents(createServingState(keeper), 3, {type: 'peer-message', from: 'a1', message: seal!.message});
		const [sealed] = effectsOf(atKeeper.effects, 'peer-send');
		const over = applyEvents(asked.state, 4, {type: 'peer-message', from: 'a2', message: sealed!.message});
		expect(effectsOf(over.effects, 'answer')[0]?.outcome).toMatchObject({type: 'not-run', code: codes.sealed});
		const stray = applyEvents(atKeeper.state, 5, createArrival('r1', ticket));
		expect(effectsOf(stray.effects, 'answer')[0]?.outcome).toMatchObject({type: 'not-run', code: codes.sealed});
	});

	it('is forwarded again when the keeper has used its ticket, and unknown if the keeper does not answer in time', () => {
		const forwarded = applyEvents(createLinkedState(), 1, createArrival('r1', ticket));
		const asked = applyEvents(forwarded.state, 2, cut);
		const again = applyEvents(asked.state, 3, {type: 'peer-message', from: 'a2', message: {type: 'sealed', id: 'r1', answer: {type: 'used'}}});
		expect(effectsOf(again.effects, 'forward')).toHaveLength(1);
		const timedOut = applyEvents(asked.state, 1002, {type: 'tick'});
		expect(effectsOf(timedOut.effects, 'answer')[0]?.outcome).toMatchObject({type: 'unknown', code: codes.keeperUnreachable});
	});
});

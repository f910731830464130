/**
 * Mutations that each turn off one mechanism, to show that the invariants detect it. They replace events, effects or states of
 * a host.
 */
import {
	codes, type Effect, type Event, type State, type Ticket,
} from '../../src/core/index.js';
import {initialSuspicion} from '../../src/core/features/suspicion/types.js';
import {type Host} from './hosts.js';

export type Mutation = {
	readonly name: string;
	/** Events that the host handles instead; undefined leaves the event as it is. */
	readonly event?: (event: Event, host: Host) => readonly Event[] | undefined;
	/** Effects that are executed instead; undefined leaves the effect as it is. */
	readonly effect?: (effect: Effect, host: Host) => readonly Effect[] | undefined;
	/** State that the host continues with. */
	readonly state?: (state: State, host: Host) => State;
};

const distantFuture = 1e15;

function withKeys(state: State, keys: Partial<State['keys']>): State {
	return {...state, keys: {...state.keys, ...keys}};
}

/** Returns the arrived request with a changed ticket; undefined for other events. */
function changeTicket(event: Event, change: (ticket: Ticket) => Ticket): readonly Event[] | undefined {
	if (event.type !== 'request-arrived' || event.request.proof.type !== 'ticket') {
		return undefined;
	}

	const {request} = event;
	return [{...event, request: {...request, proof: {type: 'ticket', ticket: change(event.request.proof.ticket)}}}];
}

/** Returns an unfinished attempt of another request at the same host; the given attempt if there is none. */
function findOtherAttempt(state: State, attempt: string): string {
	return [...state.requests.attempts.keys()].find(each => each !== attempt) ?? attempt;
}

export const mutations: readonly Mutation[] = [
	{
		name: 'tickets run at any host',
		event: (event, host) => changeTicket(event, ticket => ({...ticket, keeper: host.member.incarnation})),
	},
	{
		name: 'used rights are forgotten',
		state: state => ({...state, tickets: {...state.tickets, entries: state.tickets.entries.filter(each => each.progress.type === 'running')}}),
	},
	{
		name: 'expiry is not checked',
		event: event => changeTicket(event, ticket => ({...ticket, expires: distantFuture})),
	},
	{
		name: 'a seal is promised but not kept',
		event: event => event.type === 'peer-message' && event.message.type === 'sealed' && event.message.answer.type === 'used'
			? [{...event, message: {...event.message, answer: {type: 'sealed'}}}]
			: undefined,
	},
	{
		name: 'an unreachable keeper counts as not run',
		effect: effect => effect.type === 'answer' && effect.outcome.type === 'unknown' && effect.outcome.code === codes.keeperUnreachable
			? [{...effect, outcome: {type: 'not-run', code: codes.sealed}}]
			: undefined,
	},
	{
		name: 'promises are taken for granted',
		state: state => withKeys(state, {
			claims: state.keys.claims.map(claim => claim.progress.type === 'claiming' ? {...claim, progress: {...claim.progress, pending: []}} : claim),
		}),
	},
	{
		name: 'young hosts vouch for old keys',
		state: state => state.keys.isJoined ? withKeys(state, {knowledgeCompleteFrom: 0}) : state,
	},
	{
		name: 'hosts run keys before they are introduced',
		state: (state, host) => state.keys.isJoined
			? state
			: withKeys(state, {isJoined: true, knowledgeCompleteFrom: host.member.incarnation.started, knownPeers: state.keys.knownPeers.clear()}),
	},
	{
		name: 'answers are given to whoever waits',
		event: (event, host) => event.type === 'attempt-ended' ? [{...event, attempt: findOtherAttempt(host.state, event.attempt)}] : undefined,
	},
	{
		name: 'time is not told',
		event: event => event.type === 'tick' ? [] : undefined,
	},
	{
		name: 'suspicions are forgotten',
		state: state => ({...state, suspicion: initialSuspicion}),
	},
	{
		name: 'holds are not reviewed',
		event: event => event.type === 'holds-listed' ? [] : undefined,
	},
	{
		name: 'holds are reviewed without regard to their owners',
		event: event => event.type === 'holds-listed' && event.holds.some(each => each.deadline > 0)
			? [{...event, holds: event.holds.map(each => ({...each, deadline: 0}))}]
			: undefined,
	},
];

/**
 * Who else may run keys. A host runs keys only after everyone it knows has answered its introduction, so that of two
 * hosts that run keys each asks the other.
 */
import {type Member} from '../../../types/peer.js';
import {type Incarnation} from '../../../types/request.js';
import {type Context, type State, type Step} from '../../../types/state.js';
import {only} from '../../../utils/common.js';
import {isServing} from '../../membership/queries.js';
import {hashText} from '../../../utils/hashes.js';
import {isSame} from '../../tickets/queries.js';
import {
	others, tell,
} from '../queries.js';
import {acquaintanceLimit, type Acquaintance, type KeysState} from '../types.js';

/** Time between two rounds of introductions, doubled each time that nobody new was met, in milliseconds. */
const shortestRound = 200;
const longestRound = 10_000;

/** Introductions in one round. */
const roundSize = 8;

/**
 * @param state - Core state.
 * @param part - What changes of the keys.
 * @returns The next state.
 */
export function update(state: State, part: Partial<KeysState>): State {
	return {...state, keys: {...state.keys, ...part}};
}

function put(state: State, acquaintance: Acquaintance): State {
	const {host} = acquaintance.member.incarnation;
	return update(state, {acquaintances: state.keys.acquaintances.set(host, acquaintance)});
}

/**
 * @param state - Core state.
 * @param member - A host, as it or another names it.
 * @returns The state with it known; a newer incarnation ends the one before.
 */
export function meet(state: State, member: Member): State {
	const {host, started} = member.incarnation;
	const before = state.keys.acquaintances.get(host);
	const isOld = before !== undefined && before.member.incarnation.started >= started;
	if (host === state.self.incarnation.host || isOld || (before === undefined && state.keys.acquaintances.size >= acquaintanceLimit)) {
		return state;
	}

	return put(state, {member, met: false, ended: false});
}

/**
 * @param state - Core state.
 * @param incarnation - Run of a host that is over, or leaving by its own word.
 * @returns The state in which it is not asked any more.
 */
export function end(state: State, incarnation: Incarnation): State {
	const known = state.keys.acquaintances.get(incarnation.host);
	return known === undefined || known.ended || known.member.incarnation.started !== incarnation.started
		? state
		: put(state, {...known, ended: true});
}

/**
 * @param state - Core state.
 * @param member - Host that answered this host's introduction.
 * @returns The state in which it has been met.
 */
export function answered(state: State, member: Member): State {
	const next = meet(state, member);
	const known = next.keys.acquaintances.get(member.incarnation.host);
	return known === undefined || known.met || known.member.incarnation.started !== member.incarnation.started
		? next
		: update(put(next, {...known, met: true}), {rounds: 0});
}

/** Equal where two hosts know the same hosts, themselves included. */
function digest(state: State): number {
	const names = [state.self, ...others(state).map(each => each.member)].map(({incarnation: {host, started}}) => `${host}/${started}`);
	return hashText(names.toSorted().join(' '));
}

/**
 * @param state - Core state.
 * @param member - Host that introduced itself.
 * @param theirs - Digest of whom it knows.
 * @returns The state with it known, and the answer; none if it cannot be remembered or is over.
 */
export function introduce(state: State, member: Member, theirs: number): Step {
	const met = meet(state, member);
	const all = digest(met) === theirs ? [] : [...met.keys.acquaintances.values()];
	const known = met.keys.acquaintances.get(member.incarnation.host);
	const isKnown = known?.ended === false && isSame(known.member.incarnation, member.incarnation);
	return isKnown
		? {
			state: met,
			effects: tell(met, member.incarnation.host, {
				type: 'key-joined',
				member: met.self,
				members: all.filter(each => !each.ended).map(each => each.member),
				ended: all.filter(each => each.ended).map(each => each.member.incarnation),
			}),
		}
		: only(met);
}

/**
 * A process that was paused may have been replaced meanwhile, and others may run keys without it: it has to introduce
 * itself anew before it says anything of a key that it does not keep.
 *
 * @param state - Core state.
 * @returns The state of a host that nobody has met.
 */
export function stepBack(state: State): State {
	const claims = state.keys.claims.map(claim => claim.progress.type === 'claiming'
		? {...claim, progress: {...claim.progress, vouched: false}}
		: claim);
	return update(state, {
		joined: false,
		vouchFrom: Number.MAX_SAFE_INTEGER,
		acquaintances: state.keys.acquaintances.map(each => ({...each, met: false})),
		claims,
		rounds: 0,
		joinAt: 0,
	});
}

function isOver(state: State, {member}: Acquaintance): boolean {
	const peer = state.membership.peers.get(member.incarnation.host);
	return peer?.phase === 'leaving' && peer.member.incarnation.started === member.incarnation.started;
}

function join(state: State, {wall}: Context): State {
	const ready = isServing(state) && state.keys.listed && others(state).every(each => each.met);
	return !state.keys.joined && ready ? update(state, {joined: true, vouchFrom: wall}) : state;
}

/**
 * Introduces this host to those it has not met, and looks who is over.
 *
 * @param state - Core state.
 * @param context - Time and random source.
 * @returns The next state and the introductions.
 */
export function attend(state: State, context: Context): Step {
	if (context.now < state.keys.joinAt) {
		return only(state);
	}

	const {rounds} = state.keys;
	const interval = Math.min(longestRound, shortestRound * (2 ** rounds));
	let next = update(state, {joinAt: context.now + interval});
	for (const each of others(next)) {
		next = isOver(next, each) ? end(next, each.member.incarnation) : next;
	}

	const strangers = others(next).filter(each => !each.met);
	const first = (rounds * roundSize) % Math.max(strangers.length, 1);
	const asked = [...strangers.slice(first), ...strangers.slice(0, first)].slice(0, roundSize);
	const ownDigest = digest(next);
	return {
		state: join(strangers.length > 0 ? update(next, {rounds: rounds + 1}) : next, context),
		effects: asked.flatMap(each => tell(next, each.member.incarnation.host, {type: 'key-join', member: next.self, digest: ownDigest})),
	};
}

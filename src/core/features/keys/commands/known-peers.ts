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
import {isSameIncarnation} from '../../tickets/queries.js';
import {
	listActivePeers, sendToHost,
} from '../queries.js';
import {knownPeerLimit, type KnownPeer, type KeysState} from '../types.js';

/** Time between two rounds of introductions, doubled each time that nobody new was met, in milliseconds. */
const minRoundIntervalMs = 200;
const maxRoundIntervalMs = 10_000;

/** Introductions in one round. */
const handshakesPerRound = 8;

/**
 * @param state - Core state.
 * @param part - What changes of the keys.
 * @returns The next state.
 */
export function updateKeys(state: State, part: Partial<KeysState>): State {
	return {...state, keys: {...state.keys, ...part}};
}

function putKnownPeer(state: State, knownPeer: KnownPeer): State {
	const {host} = knownPeer.member.incarnation;
	return updateKeys(state, {acquaintances: state.keys.acquaintances.set(host, knownPeer)});
}

/**
 * @param state - Core state.
 * @param member - A host, as it or another names it.
 * @returns The state with it known; a newer incarnation ends the one before.
 */
export function addKnownPeer(state: State, member: Member): State {
	const {host, started} = member.incarnation;
	const known = state.keys.acquaintances.get(host);
	const isOld = known !== undefined && known.member.incarnation.started >= started;
	if (host === state.self.incarnation.host || isOld || (known === undefined && state.keys.acquaintances.size >= knownPeerLimit)) {
		return state;
	}

	return putKnownPeer(state, {member, hasAnswered: false, ended: false});
}

/**
 * @param state - Core state.
 * @param incarnation - Run of a host that is over, or leaving by its own word.
 * @returns The state in which it is not asked any more.
 */
export function markEnded(state: State, incarnation: Incarnation): State {
	const known = state.keys.acquaintances.get(incarnation.host);
	return known === undefined || known.ended || known.member.incarnation.started !== incarnation.started
		? state
		: putKnownPeer(state, {...known, ended: true});
}

/**
 * @param state - Core state.
 * @param member - Host that answered this host's introduction.
 * @returns The state in which it has been met.
 */
export function markAnswered(state: State, member: Member): State {
	const next = addKnownPeer(state, member);
	const known = next.keys.acquaintances.get(member.incarnation.host);
	return known === undefined || known.hasAnswered || known.member.incarnation.started !== member.incarnation.started
		? next
		: updateKeys(putKnownPeer(next, {...known, hasAnswered: true}), {rounds: 0});
}

/** Equal where two hosts know the same hosts, themselves included. */
function digestKnownPeers(state: State): number {
	const names = [state.self, ...listActivePeers(state).map(each => each.member)].map(({incarnation: {host, started}}) => `${host}/${started}`);
	return hashText(names.toSorted().join(' '));
}

/**
 * @param state - Core state.
 * @param member - Host that introduced itself.
 * @param peerDigest - Digest of whom it knows.
 * @returns The state with it known, and the answer; none if it cannot be remembered or is over.
 */
export function handleHandshake(state: State, member: Member, peerDigest: number): Step {
	const next = addKnownPeer(state, member);
	const knownPeers = digestKnownPeers(next) === peerDigest ? [] : [...next.keys.acquaintances.values()];
	const known = next.keys.acquaintances.get(member.incarnation.host);
	const isKnown = known?.ended === false && isSameIncarnation(known.member.incarnation, member.incarnation);
	return isKnown
		? {
			state: next,
			effects: sendToHost(next, member.incarnation.host, {
				type: 'key-joined',
				member: next.self,
				members: knownPeers.filter(each => !each.ended).map(each => each.member),
				ended: knownPeers.filter(each => each.ended).map(each => each.member.incarnation),
			}),
		}
		: only(next);
}

/**
 * A process that was paused may have been replaced meanwhile, and others may run keys without it: it has to introduce
 * itself anew before it says anything of a key that it does not keep.
 *
 * @param state - Core state.
 * @returns The state of a host that nobody has met.
 */
export function resetHandshakes(state: State): State {
	const claims = state.keys.claims.map(claim => claim.progress.type === 'claiming'
		? {...claim, progress: {...claim.progress, isNotRunConfirmed: false}}
		: claim);
	return updateKeys(state, {
		joined: false,
		vouchFrom: Number.MAX_SAFE_INTEGER,
		acquaintances: state.keys.acquaintances.map(each => ({...each, met: false})),
		claims,
		rounds: 0,
		nextHandshakeAt: 0,
	});
}

function isLeaving(state: State, {member}: KnownPeer): boolean {
	const peer = state.membership.peers.get(member.incarnation.host);
	return peer?.phase === 'leaving' && peer.member.incarnation.started === member.incarnation.started;
}

function joinIfReady(state: State, {wall}: Context): State {
	const isReady = isServing(state) && state.keys.hasHostList && listActivePeers(state).every(each => each.hasAnswered);
	return !state.keys.joined && isReady ? updateKeys(state, {joined: true, vouchFrom: wall}) : state;
}

/**
 * Introduces this host to those it has not met, and looks who is over.
 *
 * @param state - Core state.
 * @param context - Time and random source.
 * @returns The next state and the introductions.
 */
export function runHandshakes(state: State, context: Context): Step {
	if (context.now < state.keys.nextHandshakeAt) {
		return only(state);
	}

	const {rounds} = state.keys;
	const interval = Math.min(maxRoundIntervalMs, minRoundIntervalMs * (2 ** rounds));
	let next = updateKeys(state, {nextHandshakeAt: context.now + interval});
	for (const each of listActivePeers(next)) {
		next = isLeaving(next, each) ? markEnded(next, each.member.incarnation) : next;
	}

	const unanswered = listActivePeers(next).filter(each => !each.hasAnswered);
	const first = (rounds * handshakesPerRound) % Math.max(unanswered.length, 1);
	const targets = [...unanswered.slice(first), ...unanswered.slice(0, first)].slice(0, handshakesPerRound);
	const ownDigest = digestKnownPeers(next);
	return {
		state: joinIfReady(unanswered.length > 0 ? updateKeys(next, {rounds: rounds + 1}) : next, context),
		effects: targets.flatMap(each => sendToHost(next, each.member.incarnation.host, {type: 'key-join', member: next.self, digest: ownDigest})),
	};
}

/**
 * Tracks the hosts that may run keys. A host runs keys only after every peer it knows has answered its handshake, so that of
 * two hosts that run keys, each asks the other.
 */
import {type Member} from '../../../types/peer.js';
import {type Incarnation} from '../../../types/request.js';
import {type StepContext, type State, type StepResult} from '../../../types/state.js';
import {withoutEffects} from '../../../utils/common.js';
import {isServing} from '../../membership/queries.js';
import {hashText} from '../../../utils/hashes.js';
import {isSameIncarnation} from '../../tickets/queries.js';
import {
	listActivePeers, sendToHost,
} from '../queries.js';
import {knownPeerLimit, type KeysState, type KnownPeer} from '../types.js';

/** The interval between two rounds of handshakes doubles with each round in which no new peer answers. */
const minRoundIntervalMs = 200;
const maxRoundIntervalMs = 10_000;

const handshakesPerRound = 8;

/**
 * @param part - Members of the keys state that change.
 * @returns The next state.
 */
export function updateKeys(state: State, part: Partial<KeysState>): State {
	return {...state, keys: {...state.keys, ...part}};
}

function putKnownPeer(state: State, knownPeer: KnownPeer): State {
	const {host} = knownPeer.member.incarnation;
	return updateKeys(state, {knownPeers: state.keys.knownPeers.set(host, knownPeer)});
}

/**
 * Adds a peer. A newer incarnation replaces an older one.
 *
 * @param member - Peer, as reported by itself or by another host.
 * @returns The next state; unchanged if the peer is known already or the limit is reached.
 */
export function addKnownPeer(state: State, member: Member): State {
	const {host, started} = member.incarnation;
	const known = state.keys.knownPeers.get(host);
	const isOld = known !== undefined && known.member.incarnation.started >= started;
	if (host === state.self.incarnation.host || isOld || (known === undefined && state.keys.knownPeers.size >= knownPeerLimit)) {
		return state;
	}

	return putKnownPeer(state, {member, hasAnswered: false, ended: false});
}

/**
 * Excludes a peer from claims and handshakes.
 *
 * @param incarnation - Incarnation that has ended, or that announced that it is leaving.
 * @returns The next state.
 */
export function markEnded(state: State, incarnation: Incarnation): State {
	const known = state.keys.knownPeers.get(incarnation.host);
	return known === undefined || known.ended || known.member.incarnation.started !== incarnation.started
		? state
		: putKnownPeer(state, {...known, ended: true});
}

/**
 * @param member - Peer that answered this host's handshake.
 * @returns The next state.
 */
export function markAnswered(state: State, member: Member): State {
	const next = addKnownPeer(state, member);
	const known = next.keys.knownPeers.get(member.incarnation.host);
	return known === undefined || known.hasAnswered || known.member.incarnation.started !== member.incarnation.started
		? next
		: updateKeys(putKnownPeer(next, {...known, hasAnswered: true}), {rounds: 0});
}

/** Equal at two hosts if both know the same hosts, themselves included. */
function digestKnownPeers(state: State): number {
	const names = [state.self, ...listActivePeers(state).map(each => each.member)]
		.map(({incarnation: {host, started}}) => `${host}/${started}`);
	return hashText(names.toSorted().join(' '));
}

/**
 * Adds the sender and answers with the known peers, unless the digests show that it knows the same ones.
 *
 * @param member - Sender.
 * @param peerDigest - Digest of the sender's known peers.
 * @returns The next state and the answer. There is no answer if the sender can't be added or has ended.
 */
export function handleHandshake(state: State, member: Member, peerDigest: number): StepResult {
	const next = addKnownPeer(state, member);
	const knownPeers = digestKnownPeers(next) === peerDigest ? [] : [...next.keys.knownPeers.values()];
	const known = next.keys.knownPeers.get(member.incarnation.host);
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
		: withoutEffects(next);
}

/**
 * Makes this host repeat its handshakes after a pause: it may have been replaced, and other hosts may run keys without it.
 * Until every peer has answered again, it must not confirm anything about a key that it doesn't keep.
 *
 * @returns The next state.
 */
export function resetHandshakes(state: State): State {
	const claims = state.keys.claims.map(claim => claim.progress.type === 'claiming'
		? {...claim, progress: {...claim.progress, isNotRunConfirmed: false}}
		: claim);
	return updateKeys(state, {
		isJoined: false,
		knowledgeCompleteFrom: Number.MAX_SAFE_INTEGER,
		knownPeers: state.keys.knownPeers.map(each => ({...each, hasAnswered: false})),
		claims,
		rounds: 0,
		nextHandshakeAt: 0,
	});
}

function isLeaving(state: State, {member}: KnownPeer): boolean {
	const peer = state.membership.peers.get(member.incarnation.host);
	return peer?.phase === 'leaving' && peer.member.incarnation.started === member.incarnation.started;
}

function joinIfReady(state: State, {wall}: StepContext): State {
	const isReady = isServing(state) && state.keys.hasHostList && listActivePeers(state).every(each => each.hasAnswered);
	return !state.keys.isJoined && isReady ? updateKeys(state, {isJoined: true, knowledgeCompleteFrom: wall}) : state;
}

/**
 * Sends handshakes to peers that have not answered, and marks those that are leaving as ended.
 *
 * @returns The next state and the handshakes.
 */
export function runHandshakes(state: State, context: StepContext): StepResult {
	if (context.now < state.keys.nextHandshakeAt) {
		return withoutEffects(state);
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
		effects: targets.flatMap(each => sendToHost(next, each.member.incarnation.host, {
			type: 'key-join', member: next.self, digest: ownDigest,
		})),
	};
}

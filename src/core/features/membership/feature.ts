/** Membership: tracks the other hosts and their status, links to a part of them, and manages this host's own phase. */
import {type EventOf} from '../../types/event.js';
import {type Address} from '../../types/configuration.js';
import {
	type StepContext, type Feature, type State, type StepResult,
} from '../../types/state.js';
import {chain, withoutEffects} from '../../utils/common.js';
import {sendDueHeartbeat, sendFirstHeartbeat, sendHeartbeatNow} from './commands/send-heartbeat.js';
import {applyHeartbeat, applyHello} from './commands/receive.js';
import {createMemberLog, putPeer, updateMembership} from './commands/peers.js';
import {startLeaving, serveWhenReady, stopWhenDrained} from './commands/phase.js';
import {sweep, applyHostList} from './commands/sweep.js';

function recordStart(state: State, now: number): State {
	return state.membership.began === undefined ? updateMembership(state, {began: now}) : state;
}

function handlePeerConnected(state: State, host: string): StepResult {
	return withoutEffects(updateMembership(state, {linked: state.membership.linked.add(host)}));
}

/** Marks the peer connected after its hello. A hello without a link only adds the host. */
function completeHandshake(state: State, host: string, context: StepContext): StepResult {
	const peer = state.membership.peers.get(host);
	return peer === undefined || !state.membership.linked.has(host)
		? withoutEffects(state)
		: sendFirstHeartbeat(putPeer(state, {...peer, connected: true, hasAllLoads: false}), host, context);
}

/** Marks a peer suspect at once when its link breaks. Links that this host dropped itself are no longer in `linked`. */
function handlePeerLost(state: State, host: string, now: number): StepResult {
	const peer = state.membership.peers.get(host);
	const next = updateMembership(state, {linked: state.membership.linked.delete(host)});
	if (peer?.connected !== true) {
		return withoutEffects(next);
	}

	const endedStatus = peer.phase === 'leaving' ? 'gone' : 'suspect';
	const status = peer.status === 'live' ? endedStatus : peer.status;
	return {
		state: putPeer(next, {
			...peer, connected: false, hasAllLoads: false, status, changed: status === peer.status ? peer.changed : now,
		}),
		effects: status === peer.status ? [] : [createMemberLog(host, status, 'the link was lost')],
	};
}

function seedName({host, port}: Address): string {
	return `${host}:${port}`;
}

function dialSeeds(state: State, addresses: readonly Address[]): StepResult {
	const {host, port} = state.self.peerAddress;
	const others = addresses.filter(each => each.host !== host || each.port !== port);
	return {
		state: updateMembership(state, {seeds: state.membership.seeds.union(others.map(each => seedName(each)))}),
		effects: others.map(address => ({type: 'connect', host: seedName(address), address})),
	};
}

/** Drops the link to a seed, which is dialed under its address, once the host there is known by name and dialed as such. */
function resolveSeed(state: State, address: Address): StepResult {
	const name = seedName(address);
	const {seeds} = state.membership;
	return seeds.has(name)
		? {state: updateMembership(state, {seeds: seeds.delete(name), nextSweep: 0}), effects: [{type: 'disconnect', host: name}]}
		: withoutEffects(state);
}

function handleHello(state: State, event: EventOf<'peer-message'>, context: StepContext): StepResult {
	const {message, from} = event;
	if (message.type !== 'hello') {
		return withoutEffects(state);
	}

	return chain(
		state,
		current => applyHello(current, message, context.now),
		current => resolveSeed(current, message.member.peerAddress),
		current => completeHandshake(current, from, context),
	);
}

function handlePeerMessage(state: State, event: EventOf<'peer-message'>, context: StepContext): StepResult {
	switch (event.message.type) {
		case 'hello': {
			return handleHello(state, event, context);
		}

		case 'heartbeat': {
			return applyHeartbeat(state, event.from, event.message, context.now);
		}

		default: {
			return withoutEffects(state);
		}
	}
}

/** Restarts the silence of live peers: no message could be received while this host was paused. */
function handleWoken(state: State, now: number): StepResult {
	const peers = state.membership.peers.map(peer => peer.status === 'live' ? {...peer, lastSeen: now} : peer);
	return withoutEffects(updateMembership(state, {peers}));
}

function handleTick(state: State, context: StepContext): StepResult {
	const {now} = context;
	return chain(
		recordStart(state, now),
		current => sweep(current, now),
		current => serveWhenReady(current, context),
		current => sendDueHeartbeat(current, context),
		current => stopWhenDrained(current, now),
	);
}

export const membershipFeature: Feature = {
	name: 'membership',
	handle(state, event, context) {
		const {now} = context;
		switch (event.type) {
			case 'tick': {
				return handleTick(state, context);
			}

			case 'hosts-listed': {
				return applyHostList(recordStart(state, now), event.members, event.leaving, now);
			}

			case 'seeds-given': {
				return dialSeeds(recordStart(state, now), event.addresses);
			}

			case 'peer-connected': {
				return handlePeerConnected(state, event.host);
			}

			case 'peer-lost': {
				return handlePeerLost(state, event.host, now);
			}

			case 'peer-message': {
				return handlePeerMessage(state, event, context);
			}

			case 'configuration-adopted': {
				return chain(recordStart(state, now), current => serveWhenReady(current, context), current => sendHeartbeatNow(current, context));
			}

			case 'stop-asked': {
				return startLeaving(state, event.grace, context);
			}

			case 'woken': {
				return handleWoken(state, now);
			}

			default: {
				return withoutEffects(state);
			}
		}
	},
};

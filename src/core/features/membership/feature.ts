/** Membership: who the other hosts are, how they fare, and this host's own phase. */
import {type EventOf} from '../../types/event.js';
import {type Address} from '../../types/configuration.js';
import {
	type Context, type Feature, type State, type Step,
} from '../../types/state.js';
import {chain, only} from '../../utils/common.js';
import {beat, beatFirst, beatNow} from './commands/beat.js';
import {hearHeartbeat, hearHello} from './commands/hear.js';
import {memberLog, putPeer, update} from './commands/peers.js';
import {leave, serveWhenReady, stopWhenIdle} from './commands/phase.js';
import {sweep, takeList} from './commands/sweep.js';

function begin(state: State, now: number): State {
	return state.membership.began === undefined ? update(state, {began: now}) : state;
}

function linked(state: State, host: string): Step {
	return only(update(state, {linked: state.membership.linked.add(host)}));
}

/** The hello that follows a link belongs to the incarnation at its other end; one without a link only names a host. */
function attach(state: State, host: string, context: Context): Step {
	const peer = state.membership.peers.get(host);
	return peer === undefined || !state.membership.linked.has(host)
		? only(state)
		: beatFirst(putPeer(state, {...peer, connected: true, isWhole: false}), host, context);
}

/** A link that broke makes the peer suspect at once; links that this host gave up are no longer among the linked. */
function lost(state: State, host: string, now: number): Step {
	const peer = state.membership.peers.get(host);
	const next = update(state, {linked: state.membership.linked.delete(host)});
	if (peer?.connected !== true) {
		return only(next);
	}

	const ended = peer.phase === 'leaving' ? 'gone' : 'suspect';
	const status = peer.status === 'live' ? ended : peer.status;
	return {
		state: putPeer(next, {
			...peer, connected: false, isWhole: false, status, changed: status === peer.status ? peer.changed : now,
		}),
		effects: status === peer.status ? [] : [memberLog(host, status, 'the link was lost')],
	};
}

function seedName({host, port}: Address): string {
	return `${host}:${port}`;
}

function takeSeeds(state: State, addresses: readonly Address[]): Step {
	const {host, port} = state.self.peerAddress;
	const others = addresses.filter(each => each.host !== host || each.port !== port);
	return {
		state: update(state, {seeds: state.membership.seeds.union(others.map(each => seedName(each)))}),
		effects: others.map(address => ({type: 'connect', host: seedName(address), address})),
	};
}

/** A seed is dialled under its address; once the host there has said its name, it is dialled as that. */
function resolveSeed(state: State, address: Address): Step {
	const name = seedName(address);
	const {seeds} = state.membership;
	return seeds.has(name)
		? {state: update(state, {seeds: seeds.delete(name), nextSweep: 0}), effects: [{type: 'disconnect', host: name}]}
		: only(state);
}

function greet(state: State, event: EventOf<'peer-message'>, context: Context): Step {
	const {message, from} = event;
	if (message.type !== 'hello') {
		return only(state);
	}

	return chain(
		state,
		current => hearHello(current, message, context.now),
		current => resolveSeed(current, message.member.peerAddress),
		current => attach(current, from, context),
	);
}

function hear(state: State, event: EventOf<'peer-message'>, context: Context): Step {
	switch (event.message.type) {
		case 'hello': {
			return greet(state, event, context);
		}

		case 'heartbeat': {
			return hearHeartbeat(state, event.from, event.message, context.now);
		}

		default: {
			return only(state);
		}
	}
}

/** Silence while this host was paused is not the peers' silence. */
function wake(state: State, now: number): Step {
	const peers = state.membership.peers.map(peer => peer.status === 'live' ? {...peer, heard: now} : peer);
	return only(update(state, {peers}));
}

function tick(state: State, context: Context): Step {
	const {now} = context;
	return chain(
		begin(state, now),
		current => sweep(current, now),
		current => serveWhenReady(current, context),
		current => beat(current, context),
		current => stopWhenIdle(current, now),
	);
}

export const membershipFeature: Feature = {
	name: 'membership',
	handle(state, event, context) {
		const {now} = context;
		switch (event.type) {
			case 'tick': {
				return tick(state, context);
			}

			case 'hosts-listed': {
				return takeList(begin(state, now), event.members, event.leaving, now);
			}

			case 'seeds-given': {
				return takeSeeds(begin(state, now), event.addresses);
			}

			case 'peer-connected': {
				return linked(state, event.host);
			}

			case 'peer-lost': {
				return lost(state, event.host, now);
			}

			case 'peer-message': {
				return hear(state, event, context);
			}

			case 'configuration-adopted': {
				return chain(begin(state, now), current => serveWhenReady(current, context), current => beatNow(current, context));
			}

			case 'stop-asked': {
				return leave(state, event.grace, context);
			}

			case 'woken': {
				return wake(state, now);
			}

			default: {
				return only(state);
			}
		}
	},
};

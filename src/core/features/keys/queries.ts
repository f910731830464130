/** Reads what this host knows of idempotency keys and of the hosts that may run them. */
import {type Effect} from '../../types/effect.js';
import {type RelayedMessage} from '../../types/peer.js';
import {type State} from '../../types/state.js';
import {longestRoute, nextHop} from '../membership/routes.js';
import {maxCallerClockLeadMs, maxHostClockSkewMs, type KnownPeer} from './types.js';

const uuidVersionSeven = /^[\da-f]{8}-[\da-f]{4}-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/iv;
const timestampDigits = 12;

/**
 * @param key - Idempotency key.
 * @returns When it was minted, in milliseconds since 1970; undefined if it is not a UUID of version 7.
 */
export function mintedAt(key: string): number | undefined {
	return uuidVersionSeven.test(key) ? Number.parseInt(key.replaceAll('-', '').slice(0, timestampDigits), 16) : undefined;
}

/**
 * A key runs nowhere before its minting, less what a caller's clock may be ahead; whoever has known all runners since
 * before then knows whether it ran.
 *
 * @param state - Core state.
 * @param minted - When the key was minted, in milliseconds since 1970.
 * @returns Whether this host would know if the key had run elsewhere.
 */
export function canConfirmNotRun(state: State, minted: number): boolean {
	const {joined, vouchFrom} = state.keys;
	return joined && vouchFrom + maxCallerClockLeadMs + maxHostClockSkewMs < minted;
}

/**
 * @param state - Core state.
 * @returns Hosts whose promise this host needs before it runs a key.
 */
export function listActivePeers(state: State): readonly KnownPeer[] {
	return [...state.keys.acquaintances.values()].filter(each => !each.ended);
}

/**
 * @param state - Core state.
 * @param host - Host.
 * @returns Whether this host has a link to it.
 */
export function hasLink(state: State, host: string): boolean {
	return state.membership.peers.get(host)?.connected === true;
}

/** A message that this host sends, or passes on for another. */
export type Envelope = {
	readonly from: string;
	readonly to: string;
	/** Hosts that have passed it on. */
	readonly hops: number;
	readonly message: RelayedMessage;
};

/**
 * @param state - Core state.
 * @param envelope - Message and whom it is for.
 * @returns The sending over a link, or through a host that may have one; without either it is lost.
 */
export function deliver(state: State, envelope: Envelope): readonly Effect[] {
	const {from, to, hops, message} = envelope;
	const relay = hasLink(state, to) || hops >= longestRoute ? undefined : nextHop(state, to, from);
	if (relay === undefined) {
		return [{
			type: 'peer-send', to, message: hops === 0
				? message
				: {
					type: 'relay', from, to, hops, message,
				},
		}];
	}

	return [{
		type: 'peer-send', to: relay, message: {
			type: 'relay', from, to, hops: hops + 1, message,
		},
	}];
}

/**
 * @param state - Core state.
 * @param to - Host that the message is for.
 * @param message - Message of this host.
 * @returns The sending, as {@link deliver} does it.
 */
export function sendToHost(state: State, to: string, message: RelayedMessage): readonly Effect[] {
	return deliver(state, {
		from: state.self.incarnation.host, to, hops: 0, message,
	});
}

/** Reads idempotency keys and the known peers that may run them. */
import {type Effect} from '../../types/effect.js';
import {type RelayableMessage} from '../../types/peer.js';
import {type State} from '../../types/state.js';
import {maxRouteHops, findNextHop} from '../membership/routes.js';
import {maxCallerClockLeadMs, maxHostClockSkewMs, type KnownPeer} from './types.js';

const uuidVersionSeven = /^[\da-f]{8}-[\da-f]{4}-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/iv;
const timestampDigits = 12;

/**
 * @param key - Idempotency key.
 * @returns When the key was minted, in milliseconds since 1970; undefined if it isn't a version 7 UUID.
 */
export function parseMintTime(key: string): number | undefined {
	return uuidVersionSeven.test(key) ? Number.parseInt(key.replaceAll('-', '').slice(0, timestampDigits), 16) : undefined;
}

/**
 * A key can't run earlier than its minting time minus the maximum lead of the caller's clock. A host that has known every host
 * that runs keys since then knows whether the key has run.
 *
 * @param minted - When the key was minted, in milliseconds since 1970.
 * @returns Whether this host would know if the key had run at another host.
 */
export function canConfirmNotRun(state: State, minted: number): boolean {
	const {isJoined, knowledgeCompleteFrom} = state.keys;
	return isJoined && knowledgeCompleteFrom + maxCallerClockLeadMs + maxHostClockSkewMs < minted;
}

/** @returns Peers whose promise this host needs before it runs a key. */
export function listActivePeers(state: State): readonly KnownPeer[] {
	return [...state.keys.knownPeers.values()].filter(each => !each.ended);
}

/** @returns Whether this host has a link to the other host. */
export function hasLink(state: State, host: string): boolean {
	return state.membership.peers.get(host)?.connected === true;
}

/** A message that this host sends, or relays for another host. */
export type Envelope = {
	readonly from: string;
	readonly to: string;
	/** Number of hosts that have relayed it. */
	readonly hops: number;
	readonly message: RelayableMessage;
};

/**
 * Sends a message over a direct link, or relays it through a host that is closer to the recipient. Without either, the
 * message is sent directly and is lost if there is no link.
 *
 * @returns The effect that sends it.
 */
export function deliver(state: State, envelope: Envelope): readonly Effect[] {
	const {from, to, hops, message} = envelope;
	const relay = hasLink(state, to) || hops >= maxRouteHops ? undefined : findNextHop(state, to, from);
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
 * Sends a message of this host as {@link deliver} does.
 *
 * @param to - Recipient.
 */
export function sendToHost(state: State, to: string, message: RelayableMessage): readonly Effect[] {
	return deliver(state, {
		from: state.self.incarnation.host, to, hops: 0, message,
	});
}

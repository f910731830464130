/** Relays documents between peers: a host that sees a higher revision at a peer requests the document, from one peer at a time. */
import {codes} from '../../../errors.js';
import {type PeerMessage} from '../../../types/peer.js';
import {type State, type StepResult} from '../../../types/state.js';
import {withoutEffects} from '../../../utils/common.js';
import {getRevision} from '../queries.js';
import {type DocumentRequest} from '../types.js';
import {refuseDocument} from './adopt.js';

/** Time after which the document may be requested again. */
const requestTimeoutMs = 1000;

/** Time for which no document is requested from a peer that sent an invalid one. */
const refusalBackoffMs = 10_000;

/** Peers that are backed off at the same time at most. */
const refusedPeerLimit = 256;

function isPending(documentRequest: DocumentRequest | undefined, offered: number, now: number): boolean {
	return documentRequest !== undefined && documentRequest.revision >= offered && now - documentRequest.at < requestTimeoutMs;
}

function requestDocument(state: State, host: string, offered: number, now: number): StepResult {
	const {documentRequest, refusedUntil} = state.configuration;
	if (isPending(documentRequest, offered, now) || now < (refusedUntil.get(host) ?? 0)) {
		return withoutEffects(state);
	}

	return {
		state: {...state, configuration: {...state.configuration, documentRequest: {host, revision: offered, at: now}}},
		effects: [{type: 'peer-send', to: host, message: {type: 'configuration-wanted', above: getRevision(state)}}],
	};
}

/** Logs and counts different content of the revision in force, unless the last mismatch was at the same peer and revision. */
function checkDigest(state: State, host: string, offered: number, digest: string): StepResult {
	const mismatch = `${host}/${offered}`;
	if (digest === '' || state.configuration.digest.startsWith(digest) || state.configuration.reportedMismatch === mismatch) {
		return withoutEffects(state);
	}

	return refuseDocument(
		{...state, configuration: {...state.configuration, reportedMismatch: mismatch}},
		offered,
		codes.sameRevisionOtherContent,
		`${host} has different content of the same revision`,
	);
}

/** Revision that a peer reports to be in force there. */
type PeerRevision = {
	readonly host: string;
	readonly revision: number;
	readonly digest: string;
};

function handlePeerRevision(state: State, {host, revision: offered, digest}: PeerRevision, now: number): StepResult {
	const ownRevision = getRevision(state);
	if (offered > ownRevision) {
		return requestDocument(state, host, offered, now);
	}

	return offered === ownRevision && ownRevision > 0 ? checkDigest(state, host, offered, digest) : withoutEffects(state);
}

function sendDocument(state: State, host: string, above: number): StepResult {
	return getRevision(state) > above
		? {state, effects: [{type: 'peer-send', to: host, message: {type: 'configuration', text: state.configuration.text}}]}
		: withoutEffects(state);
}

/** Ignores documents from other peers than the requested one, so that no host can make this one parse unrequested text. */
function parseDocument(state: State, host: string, text: string): StepResult {
	return state.configuration.documentRequest?.host === host
		? {state, effects: [{type: 'parse-configuration', source: {type: 'peer', host}, text}]}
		: withoutEffects(state);
}

/**
 * @param state - Core state.
 * @param from - Peer.
 * @param message - Message from the peer.
 * @param now - Monotonic time in milliseconds.
 * @returns The next step.
 */
export function handlePeerMessage(state: State, from: string, message: PeerMessage, now: number): StepResult {
	switch (message.type) {
		case 'hello': {
			return handlePeerRevision(state, {host: from, revision: message.revision, digest: ''}, now);
		}

		case 'heartbeat': {
			return handlePeerRevision(state, {host: from, revision: message.revision, digest: message.digest}, now);
		}

		case 'configuration-wanted': {
			return sendDocument(state, from, message.above);
		}

		case 'configuration': {
			return parseDocument(state, from, message.text);
		}

		default: {
			return withoutEffects(state);
		}
	}
}

/**
 * @param state - Core state.
 * @param host - Peer that sent an invalid document.
 * @param now - Monotonic time in milliseconds.
 * @returns The state with the peer backed off.
 */
export function backOffPeer(state: State, host: string, now: number): State {
	const active = state.configuration.refusedUntil.filter(until => until > now);
	const {documentRequest} = state.configuration;
	return {
		...state,
		configuration: {
			...state.configuration,
			refusedUntil: active.size < refusedPeerLimit ? active.set(host, now + refusalBackoffMs) : active,
			documentRequest: documentRequest?.host === host ? undefined : documentRequest,
		},
	};
}

/** Passes documents between peers: whoever hears of a higher revision asks for it, one peer at a time. */
import {codes} from '../../../errors.js';
import {type PeerMessage} from '../../../types/peer.js';
import {type State, type Step} from '../../../types/state.js';
import {only} from '../../../utils/common.js';
import {revision} from '../queries.js';
import {type Inquiry} from '../types.js';
import {refuse} from './adopt.js';

/** Milliseconds after which another peer is asked. */
const inquiryTimeout = 1000;

/** Milliseconds for which a peer that gave a bad document is not asked. */
const refusalPause = 10_000;

/** Peers whose refusals are remembered. */
const refusalLimit = 256;

function isOpen(inquiry: Inquiry | undefined, offered: number, now: number): boolean {
	return inquiry !== undefined && inquiry.revision >= offered && now - inquiry.at < inquiryTimeout;
}

function ask(state: State, host: string, offered: number, now: number): Step {
	const {inquiry, refusedUntil} = state.configuration;
	if (isOpen(inquiry, offered, now) || now < (refusedUntil.get(host) ?? 0)) {
		return only(state);
	}

	return {
		state: {...state, configuration: {...state.configuration, inquiry: {host, revision: offered, at: now}}},
		effects: [{type: 'peer-send', to: host, message: {type: 'configuration-wanted', above: revision(state)}}],
	};
}

/** Alarms once for each peer and revision. */
function compare(state: State, host: string, offered: number, digest: string): Step {
	const mark = `${host}/${offered}`;
	if (digest === '' || state.configuration.digest.startsWith(digest) || state.configuration.alarmed === mark) {
		return only(state);
	}

	return refuse(
		{...state, configuration: {...state.configuration, alarmed: mark}},
		offered,
		codes.sameRevisionOtherContent,
		`${host} has other content of the same revision`,
	);
}

/** What a peer says is in force there. */
type Notice = {
	readonly host: string;
	readonly revision: number;
	readonly digest: string;
};

function hear(state: State, {host, revision: offered, digest}: Notice, now: number): Step {
	const held = revision(state);
	if (offered > held) {
		return ask(state, host, offered, now);
	}

	return offered === held && held > 0 ? compare(state, host, offered, digest) : only(state);
}

function give(state: State, host: string, above: number): Step {
	return revision(state) > above
		? {state, effects: [{type: 'peer-send', to: host, message: {type: 'configuration', text: state.configuration.text}}]}
		: only(state);
}

/** Taken only from the peer that was asked: nobody can make this host parse what it did not want. */
function take(state: State, host: string, text: string): Step {
	return state.configuration.inquiry?.host === host
		? {state, effects: [{type: 'parse-configuration', source: {type: 'peer', host}, text}]}
		: only(state);
}

/**
 * @param state - Core state.
 * @param from - Peer.
 * @param message - What it sent.
 * @param now - Monotonic time in milliseconds.
 * @returns The next step.
 */
export function relay(state: State, from: string, message: PeerMessage, now: number): Step {
	switch (message.type) {
		case 'hello': {
			return hear(state, {host: from, revision: message.revision, digest: ''}, now);
		}

		case 'heartbeat': {
			return hear(state, {host: from, revision: message.revision, digest: message.digest}, now);
		}

		case 'configuration-wanted': {
			return give(state, from, message.above);
		}

		case 'configuration': {
			return take(state, from, message.text);
		}

		default: {
			return only(state);
		}
	}
}

/**
 * @param state - Core state.
 * @param host - Peer whose document was not valid.
 * @param now - Monotonic time in milliseconds.
 * @returns The state in which it is not asked for a while.
 */
export function distrust(state: State, host: string, now: number): State {
	const kept = state.configuration.refusedUntil.filter(until => until > now);
	const {inquiry} = state.configuration;
	return {
		...state,
		configuration: {
			...state.configuration,
			refusedUntil: kept.size < refusalLimit ? kept.set(host, now + refusalPause) : kept,
			inquiry: inquiry?.host === host ? undefined : inquiry,
		},
	};
}

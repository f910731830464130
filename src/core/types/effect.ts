/** Effects that the core asks its driver to carry out. Effects are plain data. */
import {type Address} from './configuration.js';
import {type Outcome, type Ticket} from './request.js';
import {type Order} from './upstream.js';
import {type PeerMessage} from './peer.js';
import {type Event, type ConfigurationSource} from './event.js';

/** Upstream considered for a request, with its score; lower is better. */
export type Candidate = {
	readonly upstream: string;
	readonly score: number;
};

/** Decision, in the form written to the log. */
export type Decision
	= | {
		readonly type: 'routed';
		readonly request: string;
		readonly organisation: string;
		readonly service: string;
		readonly attempt: string;
		readonly upstream: string;
		readonly candidates: readonly Candidate[];
		readonly reason: string;
	}
	| {readonly type: 'queued'; readonly request: string; readonly organisation: string; readonly service: string; readonly reason: string}
	| {readonly type: 'refused'; readonly request: string; readonly organisation: string; readonly service: string; readonly code: number; readonly reason: string}
	| {readonly type: 'retried'; readonly request: string; readonly attempt: string; readonly reason: string}
	| {readonly type: 'concluded'; readonly request: string; readonly outcome: Outcome}
	| {readonly type: 'forwarded'; readonly request: string; readonly to: string; readonly reason: string}
	| {readonly type: 'configuration'; readonly revision: number; readonly accepted: boolean; readonly code: number; readonly reason: string}
	| {readonly type: 'member'; readonly host: string; readonly change: string; readonly reason: string}
	| {readonly type: 'ordered'; readonly upstream: string; readonly order: Order; readonly reason: string}
	| {readonly type: 'hold'; readonly hold: string; readonly upstream: string; readonly change: string; readonly reason: string}
	| {readonly type: 'suspected'; readonly fingerprint: string; readonly change: string; readonly reason: string}
	| {readonly type: 'stopping'; readonly target: string; readonly reason: string};

/** Part of a prompt held by one engine, where the prompt exceeds the memory of a single engine. */
export type Segment = {
	readonly upstream: string;
	readonly hold: string;
	/** Range of prompt tokens; the end is exclusive. */
	readonly from: number;
	readonly to: number;
};

export type Effect
	/** Sends the request's body to an upstream. */
	= | {
		readonly type: 'send';
		readonly attempt: string;
		readonly request: string;
		readonly upstream: string;
		readonly address: Address;
		readonly priority: number;
		readonly deadline: number;
		/** Present for a prompt held by several engines; the last one decodes. */
		readonly segments?: readonly Segment[];
	}
	/** Cancels an attempt at its upstream, repeating the call until the upstream confirms. */
	| {readonly type: 'cancel'; readonly attempt: string; readonly upstream: string; readonly address: Address}
	/** Forwards the whole request to another host, whose answer is relayed through this host. */
	| {readonly type: 'forward'; readonly request: string; readonly address: Address; readonly host: string; readonly deadline: number; readonly reason: 'keeper' | 'spill'}
	/** Sends the final answer to the caller. */
	| {readonly type: 'answer'; readonly request: string; readonly outcome: Outcome; readonly ticket?: Ticket}
	/** Answers a repeated request with the recorded answer of the original, or attaches it to the original if that still runs. */
	| {readonly type: 'replay'; readonly request: string; readonly original: string}
	| {readonly type: 'issue-ticket'; readonly request: string; readonly ticket: Ticket}
	/** Discards the recorded answer of a finished request. */
	| {readonly type: 'forget'; readonly request: string}
	| {readonly type: 'hold'; readonly hold: string; readonly upstream: string; readonly address: Address; readonly tokens: number; readonly deadline: number}
	| {readonly type: 'release'; readonly hold: string; readonly upstream: string; readonly address: Address}
	| {readonly type: 'order'; readonly upstream: string; readonly address: Address; readonly order: Order}
	/** Reads an engine's current orders from the engine itself; answered by `orders-read`. */
	| {readonly type: 'read-orders'; readonly upstream: string; readonly address: Address}
	/** Parses and validates a document; answered by `configuration-received` or `configuration-refused` with the same source. */
	| {readonly type: 'parse-configuration'; readonly source: ConfigurationSource; readonly text: string}
	| {readonly type: 'connect'; readonly host: string; readonly address: Address}
	| {readonly type: 'disconnect'; readonly host: string}
	| {readonly type: 'peer-send'; readonly to: string; readonly message: PeerMessage}
	| {readonly type: 'ready'; readonly ready: boolean}
	| {readonly type: 'stopped'}
	| {readonly type: 'log'; readonly decision: Decision}
	| {readonly type: 'count'; readonly name: string; readonly value: number; readonly tags?: Readonly<Record<string, string>>}
	/** Handled by the core itself: passes the event to every feature within the same step. */
	| {readonly type: 'raise'; readonly event: Event};

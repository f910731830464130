/** Everything the core asks of the world. Effects are plain data. */
import {type Address} from './configuration.js';
import {type Outcome, type Ticket} from './request.js';
import {type Order} from './upstream.js';
import {type PeerMessage} from './peer.js';
import {type Event, type Source} from './event.js';

/** How a candidate was scored; lower is better. */
export type Candidate = {
	readonly upstream: string;
	readonly score: number;
};

/** A decision as it is written to the log. */
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

/** One engine's part of a prompt that is larger than an engine. */
export type Segment = {
	readonly upstream: string;
	readonly hold: string;
	/** Range of prompt tokens, the end excluded. */
	readonly from: number;
	readonly to: number;
};

export type Effect
	/** Send the request's body to an upstream. */
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
	/** Stop an attempt at its upstream, and say so again until the upstream confirms. */
	| {readonly type: 'cancel'; readonly attempt: string; readonly upstream: string; readonly address: Address}
	/** Pass the whole request to another host, which answers through this one. */
	| {readonly type: 'forward'; readonly request: string; readonly address: Address; readonly host: string; readonly deadline: number; readonly reason: 'keeper' | 'spill'}
	/** The final answer. */
	| {readonly type: 'answer'; readonly request: string; readonly outcome: Outcome; readonly ticket?: Ticket}
	/** Send a request's recorded answer, or attach it to the one that is running. */
	| {readonly type: 'replay'; readonly request: string; readonly original: string}
	| {readonly type: 'issue-ticket'; readonly request: string; readonly ticket: Ticket}
	/** The recorded answer of a finished request is wanted no longer. */
	| {readonly type: 'forget'; readonly request: string}
	| {readonly type: 'hold'; readonly hold: string; readonly upstream: string; readonly address: Address; readonly tokens: number; readonly deadline: number}
	| {readonly type: 'release'; readonly hold: string; readonly upstream: string; readonly address: Address}
	| {readonly type: 'order'; readonly upstream: string; readonly address: Address; readonly order: Order}
	/** Ask an engine for its orders afresh; answered by `orders-read`. */
	| {readonly type: 'read-orders'; readonly upstream: string; readonly address: Address}
	/** Parse and validate a document's text; answered by `configuration-received` or `configuration-refused` with the same source. */
	| {readonly type: 'parse-configuration'; readonly source: Source; readonly text: string}
	| {readonly type: 'connect'; readonly host: string; readonly address: Address}
	| {readonly type: 'disconnect'; readonly host: string}
	| {readonly type: 'peer-send'; readonly to: string; readonly message: PeerMessage}
	| {readonly type: 'ready'; readonly ready: boolean}
	| {readonly type: 'stopped'}
	| {readonly type: 'log'; readonly decision: Decision}
	| {readonly type: 'count'; readonly name: string; readonly value: number; readonly tags?: Readonly<Record<string, string>>}
	/** Taken by the core itself: given to every feature within the same step. */
	| {readonly type: 'raise'; readonly event: Event};

/** Events that the core handles. Events are plain data. */
import {
	type Attempt, type Ending, type Incarnation, type Outcome, type Request,
} from './request.js';
import {type Address, type Configuration, type Target} from './configuration.js';
import {type Segment} from './effect.js';
import {
	type CacheChange, type Hold, type Order, type OrderNumber, type LoadReport,
} from './upstream.js';
import {type Member, type PeerMessage} from './peer.js';

/** Origin of a configuration document. */
export type ConfigurationSource
	= | {readonly type: 'platform'}
		| {readonly type: 'peer'; readonly host: string}
		| {readonly type: 'file'};

export type Event
	/** Timer event, sent every few milliseconds. */
	= | {readonly type: 'tick'}
	// From callers.
		| {readonly type: 'request-arrived'; readonly request: Request}
		| {readonly type: 'request-abandoned'; readonly request: string}
		| {readonly type: 'ticket-wanted'; readonly request: string; readonly organisation: string}
	// From attempts.
		| {readonly type: 'attempt-written'; readonly attempt: string}
		| {readonly type: 'attempt-progressed'; readonly attempt: string; readonly tokens: number; readonly cachedTokens?: number}
		| {readonly type: 'attempt-ended'; readonly attempt: string; readonly ending: Ending}
	// From forwarding to a keeper or another domain.
		| {readonly type: 'forward-progressed'; readonly request: string}
		| {readonly type: 'forward-ended'; readonly request: string; readonly ending: Ending}
	// From upstreams.
		| {readonly type: 'report-received'; readonly report: LoadReport; /** Set if another host polled the upstream. */ readonly isRelayed?: true}
		| {readonly type: 'upstream-unreachable'; readonly upstream: string}
		| {readonly type: 'cache-changed'; readonly upstream: string; readonly incarnation: string; readonly changes: readonly CacheChange[]; readonly gap: boolean}
		| {readonly type: 'holds-listed'; readonly upstream: string; readonly holds: readonly Hold[]}
		| {readonly type: 'hold-answered'; readonly hold: string; readonly upstream: string; readonly granted: boolean}
		| {readonly type: 'hold-released'; readonly hold: string; readonly upstream: string}
		| {readonly type: 'order-answered'; readonly upstream: string; readonly order: Order; readonly accepted: boolean; readonly seen?: OrderNumber}
	/** Orders read directly from an engine, without the delay of reports; `known` is false if the engine did not answer. */
		| {
			readonly type: 'orders-read';
			readonly upstream: string;
			readonly known: boolean;
			readonly highest?: OrderNumber;
			readonly current?: Target;
			readonly loading?: Target;
		}
	// From the platform.
		| {readonly type: 'configuration-received'; readonly source: ConfigurationSource; readonly configuration: Configuration; readonly digest: string; readonly text: string}
		| {readonly type: 'configuration-refused'; readonly source: ConfigurationSource; readonly code: number; readonly detail: string}
		| {readonly type: 'hosts-listed'; readonly members: readonly Member[]; readonly leaving: readonly string[]}
		| {readonly type: 'platform-unreachable'}
	// From the settings.
	/** Peer addresses to contact while the platform's host list is unavailable. */
		| {readonly type: 'seeds-given'; readonly addresses: readonly Address[]}
	// From peers.
		| {readonly type: 'peer-connected'; readonly host: string}
		| {readonly type: 'peer-lost'; readonly host: string}
		| {readonly type: 'peer-message'; readonly from: string; readonly message: PeerMessage}
	// From operators and the machine.
		| {readonly type: 'stop-asked'; readonly grace: number}
	/** The process was paused for this many milliseconds, detected by a jump of the clock. */
		| {readonly type: 'woken'; readonly pause: number}
	// Raised by one feature for the others, within the same step.
		| {readonly type: 'request-cleared'; readonly request: Request}
	/** The request was accepted; it is queued or sent at once. */
		| {readonly type: 'request-admitted'; readonly request: Request}
		| {readonly type: 'request-retried'; readonly request: Request}
	/** The request needs the memory of several engines; answered by `group-held` or `group-failed`. */
		| {readonly type: 'group-wanted'; readonly request: Request}
		| {readonly type: 'group-held'; readonly request: Request; readonly segments: readonly Segment[]}
		| {readonly type: 'group-failed'; readonly request: Request}
	/** An upstream may have capacity for a queued request. */
		| {readonly type: 'dispatch-wanted'; readonly service: string}
	/** A hold is no longer needed; its release is repeated until the engine confirms. */
		| {readonly type: 'release-wanted'; readonly hold: string; readonly upstream: string}
	/** The request was sealed while it was queued and must never be sent. */
		| {readonly type: 'request-sealed'; readonly request: string}
		| {readonly type: 'request-concluded'; readonly request: Request; readonly outcome: Outcome; readonly attempt?: Attempt}
		| {readonly type: 'attempt-began'; readonly request: Request; readonly attempt: Attempt}
		| {readonly type: 'attempt-over'; readonly request: Request; readonly attempt: Attempt; readonly ending: Ending}
		| {readonly type: 'upstream-restarted'; readonly upstream: string; readonly before: string; readonly incarnation: string}
		| {readonly type: 'peer-departed'; readonly incarnation: Incarnation}
		| {readonly type: 'configuration-adopted'; readonly configuration: Configuration; readonly before?: Configuration};

export type EventOf<T extends Event['type']> = Extract<Event, {readonly type: T}>;

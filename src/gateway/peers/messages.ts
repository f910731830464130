/** Messages between hosts: handshake, heartbeats, load updates, crash reports and state. */
import {Encoder, FLOAT32_OPTIONS} from 'cbor-x';
import {z} from 'zod';
import {raise} from '../../core/index.js';
import {maxSampledUpstreams, maxStores} from '../../core/gateway/registry/fleet-identity.js';
import {createFrame, FrameReader} from '../../protocol/frames.js';
import {
	amount, audienceSchema, maxListLength, shortText,
} from './fields.js';
import {loadSchema} from './load-messages.js';
import {
	configurationMessageSchema, stateSchema, stateRequestSchema, stateSummarySchema,
} from './state.js';

const addressSchema = z.object({host: shortText.min(1), port: z.number().int().min(1).max(65_535)});

const hostSchema = z.object({
	name: shortText.min(1),
	failureDomain: shortText,
	address: addressSchema,
	/** Wall-clock start time, which distinguishes a restarted host from its former process. */
	started: amount,
	/** Processor cores that the host may use; 0 in place of what isn't a finite number, so that it costs no other part of a message. */
	capacity: z.preprocess(value => value === undefined || (typeof value === 'number' && Number.isFinite(value)) ? value : 0, amount.optional()).optional(),
});

const hostCountSchema = z.number().int().nonnegative().optional();

/** What the sender knows of its fleet, as 32-bit hashes. */
const hashSchema = z.number().int().min(0).max(0xFF_FF_FF_FF);
const fleetSchema = z.object({stores: z.array(hashSchema).max(maxStores).readonly(), upstreams: z.array(hashSchema).max(maxSampledUpstreams).readonly()});

/** A challenge, or the proof that its receiver knows a key. */
const secretSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array && value.length === 16, 'must have 16 bytes');

/** A crash of an upstream while it ran a request. */
const crashSchema = z.object({
	fingerprint: shortText, id: shortText, upstream: shortText, started: amount.optional(),
});

const messageSchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('hello'), from: hostSchema, known: z.array(hostSchema).max(maxListLength), state: stateSummarySchema.optional(),
		/** Absent from hosts that don't send it, and where hosts are authenticated by keys. */
		fleet: fleetSchema.optional(),
		/** As in heartbeats. */
		groups: z.unknown().optional(),
		hostCount: hostCountSchema,
		/** Purpose of the link; absent if it is for everything that linked hosts exchange. */
		purpose: z.literal('tunnels').optional(),
	}),
	/** First message of both hosts if keys are set. */
	z.object({type: z.literal('challenge'), nonce: secretSchema}),
	/** One proof for each key of the sender. */
	z.object({type: z.literal('proof'), proofs: z.array(secretSchema).min(1).max(2)}),
	/** The sender takes the receiver for a host of another fleet and closes the connection. */
	z.object({type: z.literal('foreign'), code: amount}),
	z.object({
		type: z.literal('heartbeat'),
		/** A sample of the hosts that the sender is linked with. */
		known: z.array(hostSchema).max(maxListLength).optional(),
		/** Hosts that the sender, a relay, knows of, whether they are alive or not. */
		others: z.array(hostSchema).max(maxListLength).optional(),
		/** Number of hosts that the sender knows; only in fleets with more than a message names. */
		hostCount: hostCountSchema,
		/** Failure domains from which the sender, a relay, receives nothing. */
		silent: z.array(shortText).max(maxListLength).optional(),
		/** Number of groups that the sender takes its failure domain to have, if it receives the short jobs of its group only. */
		groups: z.unknown().optional(),
		/** Sent for a while after the store has returned from a backup. */
		state: stateSummarySchema.optional(),
		/** Offer of tunnels, after the handshake and when it changes. */
		tunnel: z.unknown().optional(),
		/** Failure domains to which a host has lost its links, for others to check theirs. */
		linksLost: z.unknown().optional(),
	}),
	/** The sender no longer needs this link and closes it; the sender itself goes on. */
	z.object({type: z.literal('release')}),
	loadSchema,
	/** Requests the load updates that a relay holds back for batching. */
	z.object({
		type: z.literal('load-wanted'), ask: amount,
		/** Requests what the receiver knows of the use of services by organisations instead; ignored by hosts that don't know of it. */
		shares: z.boolean().optional(),
	}),
	/** Response to `load-wanted`: all updates that the relay had at the time of the request precede it. */
	z.object({
		type: z.literal('load-told'), ask: amount,
		/** Use of services by organisations. An invalid one is ignored by the receiver, which keeps the link. */
		shares: z.unknown().optional(),
	}),
	/** Failed or stopped hosts, whose jobs have ended. */
	z.object({type: z.literal('hosts-lost'), hosts: z.array(shortText).max(maxListLength), audience: audienceSchema}),
	/** `crash` is for hosts that know of whole requests only; `evidence` has the causes of the attempt. */
	z.object({type: z.literal('crash'), crash: crashSchema, evidence: z.unknown().optional()}),
	/** Withdraws suspected crashes at hosts that know of whole requests only; `evidence` is any for the others. */
	z.object({type: z.literal('acquittal'), crashes: z.array(crashSchema).max(maxListLength), evidence: z.unknown().optional()}),
	stateRequestSchema,
	configurationMessageSchema,
	stateSchema,
]);

export type Host = Readonly<z.infer<typeof hostSchema>>;
export type Message = z.infer<typeof messageSchema>;
export type LoadUpdate = Extract<Message, {readonly type: 'load'}>;
export type LoadRequest = Extract<Message, {readonly type: 'load-wanted'}>;
export type LoadResponse = Extract<Message, {readonly type: 'load-told'}>;
export type HostsLost = Extract<Message, {readonly type: 'hosts-lost'}>;
export type Heartbeat = Extract<Message, {readonly type: 'heartbeat'}>;
export type Hello = Extract<Message, {readonly type: 'hello'}>;

/** Largest handshake: it names the known hosts of a fleet of some hundred. */
export const maxHelloBytes = 65_536;

/** Leaves room for the jobs of a busy host. */
export const maxMessageBytes = 2_000_000;

/** Numbers with up to seven significant digits take five bytes. */
const codec = new Encoder({
	useRecords: true, mapsAsObjects: true, tagUint8Array: false, useFloat32: FLOAT32_OPTIONS.DECIMAL_FIT,
});

/**
 * @param message - Message.
 * @returns Frame of the message.
 */
export function encode(message: Message): Uint8Array {
	return createFrame(codec.encode(message));
}

function decode(body: Uint8Array): Message {
	let value: unknown;
	try {
		value = codec.decode(body);
	} catch {
		return raise('badPeerMessage', 'not CBOR');
	}

	const parsed = messageSchema.safeParse(value);
	return parsed.success ? parsed.data : raise('badPeerMessage', parsed.error.issues[0]?.message ?? '');
}

/**
 * @param maxBytes - Maximum length of a message in bytes.
 * @returns A reader of the messages of one connection; it throws `badPeerMessage` on invalid ones.
 */
export function createMessageReader(maxBytes = maxMessageBytes): FrameReader<Message> {
	return new FrameReader(decode, maxBytes);
}

/** Messages between hosts on the wire: a length of four bytes, big-endian, then one CBOR value. */
import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {Encoder} from 'cbor-x';
import {z, type RefinementCtx} from 'zod';
import {messageOf, raise, type PeerMessage} from '../core/index.js';
import {frame, FrameReader} from './frames.js';

/** The longest message taken: a whole configuration document and some room. */
export const longestMessage = 1_200_000;

const listLimit = 4096;

const text = z.string().max(256);
const count = z.number().int().nonnegative();
const amount = z.number().nonnegative();
const phase = z.enum(['starting', 'serving', 'leaving']);
const address = z.object({host: text.min(1), port: z.number().int().min(0).max(65_535)});
const incarnation = z.object({host: text.min(1), started: z.number()});
const member = z.object({
	incarnation,
	failureDomain: text,
	peerAddress: address,
	callerAddress: address,
});
const load = z.object({
	upstream: text, requests: count, prefill: amount, decode: amount,
});
const demand = z.object({organisation: text, requestsPerSecond: amount, tokensPerSecond: amount});
const mix = z.object({
	service: text, short: amount, middle: amount, long: amount,
});
const suspicion = z.object({
	fingerprint: text,
	crashes: z.array(text).max(listLimit),
	expires: z.number(),
});
const target = z.object({
	model: text,
	version: text,
	adapters: z.array(text).max(listLimit),
	role: z.enum(['mixed', 'prefill', 'decode']),
});
const report = z.object({
	upstream: text,
	incarnation: text,
	age: z.number(),
	ready: z.boolean(),
	running: amount,
	waiting: amount,
	queuedPrefill: amount,
	usedMemory: amount,
	memory: amount,
	current: target.optional(),
	loading: target.optional(),
	orderNumber: z.object({counter: z.number().int(), host: text}).optional(),
});
const digest = z.object({
	incarnation,
	sequence: count,
	phase,
	revision: count,
	silent: z.boolean().optional(),
	loads: z.array(load).max(listLimit),
	demands: z.array(demand).max(listLimit),
	mixes: z.array(mix).max(listLimit).optional(),
});

const relayedMessages = [
	z.object({type: z.literal('key-join'), member, digest: count}),
	z.object({
		type: z.literal('key-joined'), member, members: z.array(member).max(listLimit), ended: z.array(incarnation).max(listLimit),
	}),
	z.object({
		type: z.literal('key-claim'), id: text, minted: count, claimant: member,
	}),
	z.object({
		type: z.literal('key-answer'),
		id: text,
		claimant: incarnation,
		answer: z.discriminatedUnion('type', [
			z.object({type: z.literal('yielded')}),
			z.object({type: z.literal('unsure')}),
			z.object({type: z.literal('kept'), by: member}),
			z.object({type: z.literal('refused')}),
		]),
	}),
	z.object({
		type: z.literal('seal'), id: text, right: text, expires: z.number(), keeper: incarnation,
	}),
	z.object({
		type: z.literal('sealed'),
		id: text,
		answer: z.discriminatedUnion('type', [
			z.object({type: z.literal('sealed')}),
			z.object({type: z.literal('used')}),
		]),
	}),
] as const;

/** The document deflated last: one goes to several peers. */
let lastDeflated: {readonly text: string; readonly bytes: Uint8Array} = {text: '', bytes: new Uint8Array()};

/** Documents repeat themselves and are relayed whole. */
function deflated(text: string): Uint8Array {
	if (lastDeflated.text !== text) {
		lastDeflated = {text, bytes: deflateRawSync(Buffer.from(text))};
	}

	return lastDeflated.bytes;
}

function inflated(bytes: Uint8Array, context: RefinementCtx): string {
	try {
		return inflateRawSync(bytes, {maxOutputLength: longestMessage}).toString('utf8');
	} catch (error) {
		context.addIssue({code: 'custom', message: messageOf(error)});
		return z.NEVER;
	}
}

const messageSchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('hello'), member, phase, revision: count,
	}),
	z.object({
		type: z.literal('heartbeat'),
		sequence: count,
		phase,
		revision: count,
		digest: text,
		whole: z.boolean(),
		loads: z.array(load).max(listLimit),
		demands: z.array(demand).max(listLimit),
		mixes: z.array(mix).max(listLimit).optional(),
		suspicions: z.array(suspicion).max(listLimit),
		members: z.array(member).max(listLimit),
		relayed: z.array(digest).max(listLimit),
	}),
	z.object({type: z.literal('reports'), reports: z.array(report).max(listLimit)}),
	z.object({type: z.literal('configuration-wanted'), above: count}),
	z.object({type: z.literal('configuration'), text: z.instanceof(Uint8Array).transform((bytes, context) => inflated(bytes, context))}),
	z.object({type: z.literal('suspected'), suspicions: z.array(suspicion).max(listLimit)}),
	...relayedMessages,
	z.object({
		type: z.literal('relay'), from: text, to: text, hops: count, message: z.discriminatedUnion('type', relayedMessages),
	}),
]) satisfies z.ZodType<PeerMessage>;

// Records write the field names of a list's items once per message.
const codec = new Encoder({useRecords: true, mapsAsObjects: true, tagUint8Array: false});

/**
 * @param message - Message to send.
 * @returns Its frame.
 */
export function encodeFrame(message: PeerMessage): Uint8Array {
	const body = codec.encode(message.type === 'configuration' ? {...message, text: deflated(message.text)} : message);
	return frame(body);
}

function decodeBody(body: Uint8Array): PeerMessage {
	let value: unknown;
	try {
		value = codec.decode(body);
	} catch {
		return raise('badPeerMessage', 'not CBOR');
	}

	const parsed = messageSchema.safeParse(value);
	if (!parsed.success) {
		const issue = parsed.error.issues[0];
		return raise('badPeerMessage', `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`);
	}

	return parsed.data;
}

/** @returns A reader of the messages of one connection. */
export function messageReader(): FrameReader<PeerMessage> {
	return new FrameReader(decodeBody, longestMessage);
}

/** Encodes and decodes the messages between hosts: each is a frame that holds one CBOR value. */
import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {Encoder} from 'cbor-x';
import {z, type RefinementCtx} from 'zod';
import {messageOf, raise, type PeerMessage} from '../core/index.js';
import {createFrame, FrameReader} from './frames.js';

/** Maximum size of a message in bytes: a configuration document of the maximum size, plus overhead. */
export const maxMessageBytes = 1_200_000;

const maxListItems = 4096;

const shortText = z.string().max(256);
const count = z.number().int().nonnegative();
const amount = z.number().nonnegative();
const phase = z.enum(['starting', 'serving', 'leaving']);
const address = z.object({host: shortText.min(1), port: z.number().int().min(0).max(65_535)});
const incarnation = z.object({host: shortText.min(1), started: z.number()});
const member = z.object({
	incarnation,
	failureDomain: shortText,
	peerAddress: address,
	callerAddress: address,
});
const load = z.object({
	upstream: shortText, requests: count, prefill: amount, decode: amount,
});
const demand = z.object({organisation: shortText, requestsPerSecond: amount, tokensPerSecond: amount});
const mix = z.object({
	service: shortText, short: amount, middle: amount, long: amount,
});
const suspicion = z.object({
	fingerprint: shortText,
	crashes: z.array(shortText).max(maxListItems),
	expires: z.number(),
});
const target = z.object({
	model: shortText,
	version: shortText,
	adapters: z.array(shortText).max(maxListItems),
	role: z.enum(['mixed', 'prefill', 'decode']),
});
const report = z.object({
	upstream: shortText,
	incarnation: shortText,
	age: z.number(),
	ready: z.boolean(),
	running: amount,
	waiting: amount,
	queuedPrefill: amount,
	usedMemory: amount,
	memory: amount,
	current: target.optional(),
	loading: target.optional(),
	orderNumber: z.object({counter: z.number().int(), host: shortText}).optional(),
});
const digest = z.object({
	incarnation,
	sequence: count,
	phase,
	revision: count,
	silent: z.boolean().optional(),
	loads: z.array(load).max(maxListItems),
	demands: z.array(demand).max(maxListItems),
	mixes: z.array(mix).max(maxListItems).optional(),
});

const relayedMessageSchemas = [
	z.object({type: z.literal('key-join'), member, digest: count}),
	z.object({
		type: z.literal('key-joined'), member, members: z.array(member).max(maxListItems), ended: z.array(incarnation).max(maxListItems),
	}),
	z.object({
		type: z.literal('key-claim'), id: shortText, minted: count, claimant: member,
	}),
	z.object({
		type: z.literal('key-answer'),
		id: shortText,
		claimant: incarnation,
		answerer: incarnation.optional(),
		answer: z.discriminatedUnion('type', [
			z.object({type: z.literal('yielded')}),
			z.object({type: z.literal('unsure')}),
			z.object({type: z.literal('kept'), by: member}),
			z.object({type: z.literal('refused')}),
		]),
	}),
	z.object({
		type: z.literal('seal'), id: shortText, right: shortText, expires: z.number(), keeper: incarnation,
	}),
	z.object({
		type: z.literal('sealed'),
		id: shortText,
		answer: z.discriminatedUnion('type', [
			z.object({type: z.literal('sealed')}),
			z.object({type: z.literal('used')}),
		]),
	}),
] as const;

/** The last document that was compressed, kept because a host sends the same document to several peers. */
let lastDeflatedDocument: {readonly text: string; readonly bytes: Uint8Array} = {text: '', bytes: new Uint8Array()};

/** Configuration documents are repetitive and relayed in full, so compression reduces their size considerably. */
function deflateText(text: string): Uint8Array {
	if (lastDeflatedDocument.text !== text) {
		lastDeflatedDocument = {text, bytes: deflateRawSync(Buffer.from(text))};
	}

	return lastDeflatedDocument.bytes;
}

function inflateText(bytes: Uint8Array, context: RefinementCtx): string {
	try {
		return inflateRawSync(bytes, {maxOutputLength: maxMessageBytes}).toString('utf8');
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
		digest: shortText,
		whole: z.boolean(),
		loads: z.array(load).max(maxListItems),
		demands: z.array(demand).max(maxListItems),
		mixes: z.array(mix).max(maxListItems).optional(),
		suspicions: z.array(suspicion).max(maxListItems),
		members: z.array(member).max(maxListItems),
		relayed: z.array(digest).max(maxListItems),
	}),
	z.object({type: z.literal('reports'), reports: z.array(report).max(maxListItems)}),
	z.object({type: z.literal('configuration-wanted'), above: count}),
	z.object({type: z.literal('configuration'), text: z.instanceof(Uint8Array).transform((bytes, context) => inflateText(bytes, context))}),
	z.object({type: z.literal('suspected'), suspicions: z.array(suspicion).max(maxListItems)}),
	...relayedMessageSchemas,
	z.object({
		type: z.literal('relay'), from: shortText, to: shortText, hops: count, message: z.discriminatedUnion('type', relayedMessageSchemas),
	}),
]) satisfies z.ZodType<PeerMessage>;

// With records, the field names of list items are encoded once per message.
const codec = new Encoder({useRecords: true, mapsAsObjects: true, tagUint8Array: false});

/**
 * Encodes a message.
 *
 * @param message - Message to send.
 * @returns The frame to write to the connection.
 */
export function encodeFrame(message: PeerMessage): Uint8Array {
	const body = codec.encode(message.type === 'configuration' ? {...message, text: deflateText(message.text)} : message);
	return createFrame(body);
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

/** @returns A reader that decodes the messages of one connection. */
export function createMessageReader(): FrameReader<PeerMessage> {
	return new FrameReader(decodeBody, maxMessageBytes);
}

/**
 * Messages that open a tunnel: a connection to an upstream that another host makes, and over which bytes pass unchanged. Afterwards the host may
 * ask in the same way how the tunnel ended: the connection of a host that is killed ends like that of an upstream.
 */
import {Encoder} from 'cbor-x';
import {z} from 'zod';
import {raise} from '../../core/index.js';
import {type CarriedEnd} from '../../core/gateway/health/connection-ends.js';
import {createFrame, FrameReader} from '../../protocol/frames.js';
import {shortText} from '../peers/fields.js';

/** Bytes of the key by which a host knows that a connection comes from a host it is linked with. */
export const tunnelKeyBytes = 16;

/** Groups of upstreams that an offer may name as lost. */
export const maxLostGroups = 64;

/** Largest message of either side. */
const maxMessageBytes = 1024;

const keySchema = z.custom<Uint8Array>(value => value instanceof Uint8Array && value.length === tunnelKeyBytes, `must have ${tunnelKeyBytes} bytes`);

/** Offer of a host to the hosts that it is linked with. */
export const tunnelOfferSchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('open'), host: shortText.min(1), port: z.number().int().min(1).max(65_535), key: keySchema,
		/** Groups of upstreams that the host doesn't reach itself. */
		lost: z.array(shortText).max(maxLostGroups).optional(),
	}),
	/** It opens no more, since it is about to stop. */
	z.object({type: z.literal('closed')}),
]);

const requestSchema = z.object({
	key: keySchema,
	/** Id of the tunnel, for the logs of both hosts. */
	id: shortText.min(1),
	/** Name of the host that asks. */
	from: shortText.min(1),
	/** Id of the upstream. */
	upstream: shortText.min(1),
	/** Whether to open the tunnel, or to state how it ended; absent to open it. */
	purpose: z.enum(['open', 'end']).optional(),
});

const carriedEnds = ['proper', 'broken', 'doubtful', 'open', 'unknown'] as const satisfies readonly CarriedEnd[];

const replySchema = z.discriminatedUnion('type', [
	/** Bytes that follow come from the upstream. */
	z.object({
		type: z.literal('connected'),
		/** Tunnels that the host serves. */
		tunnels: z.number().int().nonnegative().optional(),
	}),
	/** The upstream refused the connection, or didn't respond. */
	z.object({
		type: z.literal('absent'), failure: z.enum(['refused', 'silent']),
		/** To which other upstreams the links of the host are sound; absent from a host that doesn't say. */
		scope: z.enum(['group', 'elsewhere', 'none']).optional(),
	}),
	/** The host didn't try: it doesn't reach the upstream itself either, doesn't know it, has too many tunnels, or is about to stop. */
	z.object({type: z.literal('refused'), reason: z.enum(['busy', 'cut', 'leaving', 'unknown'])}),
	/** Reply to the question how a tunnel ended. */
	z.object({type: z.literal('ended'), end: z.enum(carriedEnds)}),
]);

export type TunnelOffer = z.infer<typeof tunnelOfferSchema>;
export type OpenTunnelOffer = Extract<TunnelOffer, {readonly type: 'open'}>;
export type TunnelRequest = z.infer<typeof requestSchema>;
export type TunnelReply = z.infer<typeof replySchema>;

const codec = new Encoder({useRecords: false, tagUint8Array: false});

/**
 * @param message - Request or reply.
 * @returns Its frame.
 */
export function encodeTunnelMessage(message: TunnelReply | TunnelRequest): Uint8Array {
	return createFrame(codec.encode(message));
}

function createReader<T>(schema: z.ZodType<T>): FrameReader<T> {
	return new FrameReader(body => {
		let value: unknown;
		try {
			value = codec.decode(body);
		} catch {
			return raise('badPeerMessage', 'not CBOR');
		}

		const parsed = schema.safeParse(value);
		return parsed.success ? parsed.data : raise('badPeerMessage', parsed.error.issues[0]?.message ?? '');
	}, maxMessageBytes);
}

/** @returns A reader of the request that opens a tunnel; it throws `badPeerMessage` on an invalid one. */
export function createTunnelRequestReader(): FrameReader<TunnelRequest> {
	return createReader(requestSchema);
}

/** @returns A reader of the reply to it; it throws `badPeerMessage` on an invalid one. */
export function createTunnelReplyReader(): FrameReader<TunnelReply> {
	return createReader(replySchema);
}

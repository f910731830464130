/** What hosts tell each other: who they are, what they sent to upstreams, and which requests crash engines. */
import {Encoder} from 'cbor-x';
import {z} from 'zod';
import {raise} from '../../core/index.js';
import {type Job} from '../../core/gateway/load.js';
import {frame, FrameReader} from '../../protocol/frames.js';
import {configurationMessageSchema, stateSchema, stateWantedSchema} from './state.js';

const text = z.string().max(256);
const amount = z.number();
const listLimit = 4096;
const address = z.object({host: text.min(1), port: z.number().int().min(1).max(65_535)});

const host = z.object({
	name: text.min(1),
	failureDomain: text,
	address,
	/** Wall-clock start: a restarted host has another. */
	started: amount,
	/** Cores that it may use. */
	capacity: amount.optional(),
});

/** A job as told: times are relative to the telling, so that clocks need not agree. */
const job = z.object({
	id: text,
	/** Host that sent it, where that is not the one that tells. */
	host: text.optional(),
	upstream: text,
	helpers: z.array(text).max(64),
	prompt: amount,
	answer: amount,
	isHeld: z.boolean(),
	read: amount,
	readPerPass: amount,
	pause: amount.optional(),
	urgency: amount.optional(),
	weight: amount,
	placing: z.enum(['first', 'retry', 'unreached before']),
	age: amount,
	due: amount,
	deadline: amount,
	firstByteAge: amount.optional(),
});

/** An upstream that was found not to be there. */
const absence = z.object({upstream: text, reason: z.enum(['refused', 'replaced', 'silent']), isForAll: z.boolean()});

/** An upstream that broke down while a request ran there. */
const crash = z.object({
	fingerprint: text, id: text, upstream: text, started: amount.optional(),
});

/**
 * Whom a relay passes a message on to: the hosts of its failure domain alone, or the relays of the others as well. Absent
 * where it is meant for the receiver.
 */
const audience = z.enum(['domain', 'fleet']).optional();

const messageSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('hello'), from: host, known: z.array(host).max(listLimit)}),
	z.object({
		type: z.literal('heartbeat'),
		/** Some of the hosts that the sender is linked with. */
		known: z.array(host).max(listLimit).optional(),
		/** Failure domains that the sender, a relay, hears nothing of. */
		silent: z.array(text).max(listLimit).optional(),
	}),
	/** The sender needs this link no more and closes it; it is not gone. */
	z.object({type: z.literal('release')}),
	z.object({
		type: z.literal('load'),
		began: z.array(job).max(listLimit),
		progressed: z.array(text).max(listLimit),
		ended: z.array(text).max(listLimit),
		absences: z.array(absence).max(listLimit).optional(),
		audience,
	}),
	/** Asks a relay to send at once the news of load that it has. */
	z.object({type: z.literal('load-wanted'), ask: amount}),
	/** All that the relay knew when it was asked has been told before. */
	z.object({type: z.literal('load-told'), ask: amount}),
	/** Hosts that are gone: what they sent has ended. */
	z.object({type: z.literal('hosts-lost'), hosts: z.array(text).max(listLimit), audience}),
	z.object({type: z.literal('crash'), crash}),
	/** Crashes that were none: the request was answered, or the upstream runs on. */
	z.object({type: z.literal('acquittal'), crashes: z.array(crash).max(listLimit)}),
	stateWantedSchema,
	configurationMessageSchema,
	stateSchema,
]);

export type Host = Readonly<z.infer<typeof host>>;
export type ToldJob = Readonly<z.infer<typeof job>>;
export type Message = z.infer<typeof messageSchema>;
export type LoadNews = Extract<Message, {readonly type: 'load'}>;
export type LoadWanted = Extract<Message, {readonly type: 'load-wanted'}>;
export type LoadTold = Extract<Message, {readonly type: 'load-told'}>;
export type HostsLost = Extract<Message, {readonly type: 'hosts-lost'}>;
export type Heartbeat = Extract<Message, {readonly type: 'heartbeat'}>;
export type Hello = Extract<Message, {readonly type: 'hello'}>;

/** Bytes that a message may have: the jobs of a busy host and some room. */
export const longestMessage = 2_000_000;

const codec = new Encoder({useRecords: true, mapsAsObjects: true, tagUint8Array: false});

/**
 * @param message - Message to send.
 * @returns Its frame.
 */
export function encode(message: Message): Uint8Array {
	return frame(codec.encode(message));
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

/** @returns A reader of the messages of one connection. */
export function messageReader(): FrameReader<Message> {
	return new FrameReader(decode, longestMessage);
}

/**
 * @param job - Job.
 * @param self - Host that tells.
 * @param now - Time in milliseconds.
 * @returns The job as others are told of it.
 */
export function tell(job: Job, self: string, now: number): ToldJob {
	const {id, upstream, helpers, prompt, answer, isHeld, read, readPerPass, pause, urgency, weight, placing} = job;
	return {
		id,
		host: job.host === self ? undefined : job.host,
		upstream,
		helpers: [...helpers],
		prompt,
		answer,
		isHeld,
		read,
		readPerPass,
		pause,
		urgency,
		weight,
		placing,
		age: now - job.began,
		due: job.due - now,
		deadline: job.deadline - now,
		firstByteAge: job.firstByte === undefined ? undefined : now - job.firstByte,
	};
}

/**
 * @param told - Job as told.
 * @param from - Host that told.
 * @param now - Time in milliseconds.
 * @returns The job on this host's clock.
 */
export function heard(told: ToldJob, from: string, now: number): Job {
	const {id, upstream, helpers, prompt, answer, isHeld, read, readPerPass, pause, urgency, weight, placing, firstByteAge} = told;
	// Named one by one: a copy by rest is many times slower, and each job of the fleet comes here.
	return {
		id,
		host: told.host ?? from,
		upstream,
		helpers,
		prompt,
		answer,
		isHeld,
		read,
		readPerPass,
		pause,
		urgency,
		weight,
		placing,
		began: now - told.age,
		due: now + told.due,
		deadline: now + told.deadline,
		firstByte: firstByteAge === undefined ? undefined : now - firstByteAge,
	};
}

/** Messages between hosts: handshake, heartbeats, load updates, crash reports and state. */
import {Encoder, FLOAT32_OPTIONS} from 'cbor-x';
import {z} from 'zod';
import {assertNever, raise} from '../../core/index.js';
import {roundTo} from '../../core/utils/numbers.js';
import {maxSampledUpstreams, maxStores} from '../../core/gateway/fleet-identity.js';
import {type Job} from '../../core/gateway/engines/load.js';
import {type MemoryClaim} from '../../core/gateway/engines/memory-admission.js';
import {type PaceReport} from '../../core/gateway/engines/paces.js';
import {type ColdReport, type UpstreamStatement} from '../../core/gateway/limits/upstream-reports.js';
import {createFrame, FrameReader} from '../../protocol/frames.js';
import {
	configurationMessageSchema, stateSchema, stateRequestSchema, stateSummarySchema,
} from './state.js';

const shortText = z.string().max(256);
const amount = z.number();
const maxListLength = 4096;

/** Longest tag of an organisation, in characters. */
const maxTagLength = 16;
const addressSchema = z.object({host: shortText.min(1), port: z.number().int().min(1).max(65_535)});

const hostSchema = z.object({
	name: shortText.min(1),
	failureDomain: shortText,
	address: addressSchema,
	/** Wall-clock start time, which distinguishes a restarted host from its former process. */
	started: amount,
	/** Processor cores that the host may use. */
	capacity: amount.optional(),
});

/** What the sender knows of its fleet, as 32-bit hashes. */
const hashSchema = z.number().int().min(0).max(0xFF_FF_FF_FF);
const fleetSchema = z.object({stores: z.array(hashSchema).max(maxStores).readonly(), upstreams: z.array(hashSchema).max(maxSampledUpstreams).readonly()});

/** A challenge, or the proof that its receiver knows a key. */
const secretSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array && value.length === 16, 'must have 16 bytes');

/** A job on the wire. Its times are relative to the time of sending, so that clocks needn't agree. */
const jobSchema = z.object({
	id: shortText,
	/** Host that owns the job; absent if it is the sender. */
	host: shortText.optional(),
	upstream: shortText,
	helpers: z.array(shortText).max(64),
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
	/** Tag of an organisation. An invalid one is ignored by the receiver, which goes on with the rest of the message. */
	organisation: z.unknown().optional(),
	isDelayed: z.boolean().optional(),
});

/** An upstream that could not be reached, or that another process has replaced. */
const absenceSchema = z.object({upstream: shortText, reason: z.enum(['refused', 'replaced', 'silent']), isForAll: z.boolean()});

/** What an upstream reported about itself. Times are relative to the time of sending. */
const reportSchema = z.discriminatedUnion('type', [
	/** A rate limit; `rate` is absent if the upstream has none. */
	z.object({
		type: z.literal('rate-limit'), upstream: shortText, rate: amount.nonnegative().optional(), sentAge: amount, receivedAge: amount,
	}),
	z.object({type: z.literal('departure'), upstream: shortText, started: amount.optional()}),
]);

/** Longest remaining time that a host reports of a cold upstream, in milliseconds. */
const maxColdTimeMs = 3_600_000;

/**
 * An upstream that is cold. Not a member of the reports above: a host that doesn't know a type of report refuses the whole message, but it
 * ignores a field that it doesn't know.
 */
const coldSchema = z.object({upstream: shortText, started: amount.optional(), remaining: amount});

/** Pace of an engine, learned from its responses. Bad values are reported by the receiver, which goes on with the rest of the message. */
const paceSchema = z.object({
	host: shortText,
	upstream: shortText,
	started: amount.optional(),
	phase: z.enum(['decode', 'prefill']),
	pace: z.unknown().optional(),
	confidence: amount,
	age: amount,
});

/** Memory that is kept for a waiting request; none if it names no engines. Times are relative to the time of sending. */
const claimSchema = z.object({
	id: shortText,
	engines: z.array(shortText).max(64),
	tokens: amount.nonnegative(),
	partTokens: amount.nonnegative(),
	priority: amount,
	age: amount,
	latestStart: amount,
	expected: amount,
	expires: amount,
});

/** A crash of an upstream while it ran a request. */
const crashSchema = z.object({
	fingerprint: shortText, id: shortText, upstream: shortText, started: amount.optional(),
});

/**
 * Where a relay forwards a message: to the hosts of its failure domain only, or to the relays of the other domains as well. Absent if
 * the message is for the receiver only.
 */
const audienceSchema = z.enum(['domain', 'fleet']).optional();

const messageSchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('hello'), from: hostSchema, known: z.array(hostSchema).max(maxListLength), state: stateSummarySchema.optional(),
		/** Absent from hosts that don't send it, and where hosts are authenticated by keys. */
		fleet: fleetSchema.optional(),
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
		/** Failure domains from which the sender, a relay, receives nothing. */
		silent: z.array(shortText).max(maxListLength).optional(),
		/** Sent for a while after the store has returned from a backup. */
		state: stateSummarySchema.optional(),
	}),
	/** The sender no longer needs this link and closes it; the sender itself goes on. */
	z.object({type: z.literal('release')}),
	z.object({
		type: z.literal('load'),
		began: z.array(jobSchema).max(maxListLength),
		progressed: z.array(shortText).max(maxListLength),
		ended: z.array(shortText).max(maxListLength),
		absences: z.array(absenceSchema).max(maxListLength).optional(),
		reports: z.array(reportSchema).max(maxListLength).optional(),
		cold: z.array(coldSchema).max(maxListLength).optional(),
		paces: z.array(paceSchema).max(maxListLength).optional(),
		claims: z.array(claimSchema).max(maxListLength).optional(),
		audience: audienceSchema,
	}),
	/** Requests the load updates that a relay holds back for batching. */
	z.object({type: z.literal('load-wanted'), ask: amount}),
	/** Response to `load-wanted`: all updates that the relay had at the time of the request precede it. */
	z.object({type: z.literal('load-told'), ask: amount}),
	/** Failed or stopped hosts, whose jobs have ended. */
	z.object({type: z.literal('hosts-lost'), hosts: z.array(shortText).max(maxListLength), audience: audienceSchema}),
	z.object({type: z.literal('crash'), crash: crashSchema}),
	/** Withdraws suspected crashes: the request was answered, or the upstream still runs. */
	z.object({type: z.literal('acquittal'), crashes: z.array(crashSchema).max(maxListLength)}),
	stateRequestSchema,
	configurationMessageSchema,
	stateSchema,
]);

export type Host = Readonly<z.infer<typeof hostSchema>>;
export type WireReport = Readonly<z.infer<typeof reportSchema>>;
export type WireCold = Readonly<z.infer<typeof coldSchema>>;
export type WirePace = Readonly<z.infer<typeof paceSchema>>;
export type WireClaim = Readonly<z.infer<typeof claimSchema>>;
export type WireJob = Readonly<z.infer<typeof jobSchema>>;
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

/**
 * Rounds times to milliseconds and costs to what placement distinguishes: every host receives the jobs of all others.
 *
 * @param job - Job.
 * @param sender - Host that sends the message.
 * @param now - Time in milliseconds.
 * @returns The job as sent to peers.
 */
export function toWireJob(job: Job, sender: string, now: number): WireJob {
	const {id, upstream, helpers, prompt, answer, isHeld, read, readPerPass, pause, urgency, weight, placing} = job;
	return {
		id,
		host: job.host === sender ? undefined : job.host,
		upstream,
		helpers: [...helpers],
		prompt,
		answer,
		isHeld,
		read: roundTo(read, 2),
		readPerPass: roundTo(readPerPass, 2),
		pause,
		urgency,
		weight: roundTo(weight, 3),
		placing,
		age: Math.round(now - job.began),
		due: Math.round(job.due - now),
		deadline: Math.round(job.deadline - now),
		firstByteAge: job.firstByte === undefined ? undefined : Math.round(now - job.firstByte),
		organisation: job.organisation,
		isDelayed: job.isDelayed === true ? true : undefined,
	};
}

/**
 * @param tag - Tag of an organisation as received.
 * @returns Whether it is valid.
 */
export function isTag(tag: unknown): tag is string {
	return typeof tag === 'string' && tag.length > 0 && tag.length <= maxTagLength;
}

/**
 * @param wireJob - Job as received.
 * @param sender - Host that sent the message.
 * @param now - Time in milliseconds.
 * @returns The job, with times on this host's clock.
 */
export function fromWireJob(wireJob: WireJob, sender: string, now: number): Job {
	const {id, upstream, helpers, prompt, answer, isHeld, read, readPerPass, pause, urgency, weight, placing, firstByteAge} = wireJob;
	// Properties are copied one by one: a rest copy is many times slower, and this runs for every job of the fleet.
	return {
		id,
		host: wireJob.host ?? sender,
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
		began: now - wireJob.age,
		due: now + wireJob.due,
		deadline: now + wireJob.deadline,
		firstByte: firstByteAge === undefined ? undefined : now - firstByteAge,
		organisation: isTag(wireJob.organisation) ? wireJob.organisation : undefined,
		isDelayed: wireJob.isDelayed,
	};
}

/**
 * @param claim - Memory that is kept for a waiting request.
 * @param now - Time in milliseconds.
 * @returns The claim as sent to peers.
 */
export function toWireClaim({id, engines, tokens, partTokens, priority, arrived, latestStart, expected, expires}: MemoryClaim, now: number): WireClaim {
	return {
		id,
		engines: [...engines],
		tokens: Math.round(tokens),
		partTokens: Math.round(partTokens),
		priority,
		age: Math.round(now - arrived),
		latestStart: Math.round(latestStart - now),
		expected: Math.round(expected - now),
		expires: Math.round(expires - now),
	};
}

/**
 * @param wireClaim - Claim as received.
 * @param now - Time in milliseconds.
 * @returns The claim, with times on this host's clock.
 */
export function fromWireClaim({age, latestStart, expected, expires, ...claim}: WireClaim, now: number): MemoryClaim {
	return {
		...claim, arrived: now - age, latestStart: now + latestStart, expected: now + expected, expires: now + expires,
	};
}

/**
 * @param report - What an upstream reported about itself.
 * @param now - Time in milliseconds.
 * @returns The report as sent to peers.
 */
export function toWireReport(report: UpstreamStatement, now: number): WireReport {
	switch (report.type) {
		case 'rate-limit': {
			const {sent, received, ...limit} = report;
			return {...limit, sentAge: Math.round(now - sent), receivedAge: Math.round(now - received)};
		}

		case 'departure': {
			return report;
		}

		default: {
			return assertNever(report);
		}
	}
}

/**
 * @param wireReport - Report as received.
 * @param now - Time in milliseconds.
 * @returns The report, with times on this host's clock.
 */
export function fromWireReport(wireReport: WireReport, now: number): UpstreamStatement {
	switch (wireReport.type) {
		case 'rate-limit': {
			const {sentAge, receivedAge, ...limit} = wireReport;
			return {...limit, sent: now - sentAge, received: now - receivedAge};
		}

		case 'departure': {
			return wireReport;
		}

		default: {
			return assertNever(wireReport);
		}
	}
}

/**
 * @param report - Cold upstream.
 * @param now - Time in milliseconds.
 * @returns The report as sent to peers.
 */
export function toWireCold({upstream, started, until}: ColdReport, now: number): WireCold {
	return {upstream, started, remaining: Math.min(Math.max(Math.round(until - now), 0), maxColdTimeMs)};
}

/**
 * @param wireCold - Report of a cold upstream as received.
 * @param now - Time in milliseconds.
 * @returns The report, with times on this host's clock. A time that can't be right is replaced by the nearest that can.
 */
export function fromWireCold({upstream, started, remaining}: WireCold, now: number): ColdReport {
	return {
		type: 'cold', upstream, started, until: now + Math.min(Math.max(remaining, 0), maxColdTimeMs),
	};
}

/**
 * @param report - Pace of an engine.
 * @param now - Time in milliseconds.
 * @returns The report as sent to peers.
 */
export function toWirePace({at, pace, confidence, ...report}: PaceReport, now: number): WirePace {
	return {
		...report, pace: roundTo(pace, 3), confidence: roundTo(confidence, 1), age: Math.max(Math.round(now - at), 0),
	};
}

/**
 * @param wirePace - Report as received.
 * @param now - Time in milliseconds.
 * @returns The report, with times on this host's clock; its pace is not a number if the received one wasn't.
 */
export function fromWirePace({age, pace, ...report}: WirePace, now: number): PaceReport {
	return {...report, pace: typeof pace === 'number' ? pace : Number.NaN, at: now - Math.max(age, 0)};
}

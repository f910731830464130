/** Load updates on the wire: jobs, absences, reports of upstreams, paces and claims. Times are relative to the time of sending. */
import {z} from 'zod';
import {assertNever} from '../../core/index.js';
import {roundTo} from '../../core/utils/numbers.js';
import {type Job} from '../../core/gateway/engines/load.js';
import {type MemoryClaim} from '../../core/gateway/engines/memory-admission.js';
import {type PaceReport} from '../../core/gateway/engines/paces.js';
import {maxColdTimeMs} from '../../core/gateway/limits/cold-starts.js';
import {type JobSum} from '../../core/gateway/limits/job-sums.js';
import {type ColdReport, type UpstreamStatement} from '../../core/gateway/limits/upstream-reports.js';
import {
	amount, audienceSchema, maxListLength, shortText,
} from './fields.js';

/** Longest tag of an organisation, in characters. */
const maxTagLength = 16;

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
	isForAll: z.boolean().optional(),
});

/** An upstream that could not be reached, or that another process has replaced. */
const absenceSchema = z.object({upstream: shortText, reason: z.enum(['refused', 'replaced', 'silent']), isForAll: z.boolean()});

/** An upstream that the sender has reported as silent and that answers again. */
const returnSchema = z.object({upstream: shortText, isForAll: z.boolean()});

/** What an upstream reported about itself. Times are relative to the time of sending. */
const reportSchema = z.discriminatedUnion('type', [
	/** A rate limit; `rate` is absent if the upstream has none. */
	z.object({
		type: z.literal('rate-limit'), upstream: shortText, rate: amount.nonnegative().optional(), sentAge: amount, receivedAge: amount,
	}),
	z.object({type: z.literal('departure'), upstream: shortText, started: amount.optional()}),
]);

/**
 * An upstream that is cold. Not a member of the reports above: a host that doesn't know a type of report refuses the whole message, but it
 * ignores a field that it doesn't know.
 */
const coldSchema = z.object({
	upstream: shortText,
	started: amount.optional(),
	remaining: amount,
	/** Health check that it got, sent by a host `age` milliseconds ago. */
	check: z.object({host: shortText, age: amount}).optional(),
});

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

/** Most jobs in one sum: several times those that the largest fleet begins between two sums. */
const maxSummedJobs = 65_536;

/** Jobs that the relay leaves out of what it sends to the receiver's group. */
const sumSchema = z.object({
	service: shortText,
	organisation: z.unknown().optional(),
	count: z.number().int().positive().max(maxSummedJobs),
	delayed: z.number().int().nonnegative().max(maxSummedJobs),
	weight: amount.nonnegative(),
	requests: z.number().int().nonnegative().max(maxSummedJobs),
});

/** Changes of the jobs of a host, or of those that it forwards, and what it knows of upstreams. */
export const loadSchema = z.object({
	type: z.literal('load'),
	began: z.array(jobSchema).max(maxListLength),
	progressed: z.array(shortText).max(maxListLength),
	ended: z.array(shortText).max(maxListLength),
	absences: z.array(absenceSchema).max(maxListLength).optional(),
	/** Hosts of older versions ignore it, as they do every field that they don't know. */
	returns: z.array(returnSchema).max(maxListLength).optional(),
	reports: z.array(reportSchema).max(maxListLength).optional(),
	cold: z.array(coldSchema).max(maxListLength).optional(),
	paces: z.array(paceSchema).max(maxListLength).optional(),
	claims: z.array(claimSchema).max(maxListLength).optional(),
	/** Only sent to hosts that have announced a group. */
	sums: z.array(sumSchema).max(maxListLength).optional(),
	audience: audienceSchema,
});

export type WireReport = Readonly<z.infer<typeof reportSchema>>;
export type WireCold = Readonly<z.infer<typeof coldSchema>>;
export type WirePace = Readonly<z.infer<typeof paceSchema>>;
export type WireClaim = Readonly<z.infer<typeof claimSchema>>;
export type WireSum = Readonly<z.infer<typeof sumSchema>>;
export type WireJob = Readonly<z.infer<typeof jobSchema>>;

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
	const wireJob: WireJob = {
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
	// A field that isn't set would take bytes as well.
	return job.isForAll === true ? {...wireJob, isForAll: true} : wireJob;
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
		isForAll: wireJob.isForAll,
	};
}

/**
 * @param sum - Jobs left out of what a group receives.
 * @returns The sum as sent to its hosts.
 */
export function toWireSum({weight, organisation, ...sum}: JobSum): WireSum {
	return {...sum, weight: roundTo(weight, 3), ...(organisation === undefined ? {} : {organisation})};
}

/**
 * @param wireSum - Sum as received.
 * @returns The sum; without an organisation if its tag is invalid.
 */
export function fromWireSum({organisation, ...sum}: WireSum): JobSum {
	return {...sum, organisation: isTag(organisation) ? organisation : undefined};
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
export function toWireCold({upstream, started, until, check}: ColdReport, now: number): WireCold {
	return {
		upstream,
		started,
		remaining: Math.min(Math.max(Math.round(until - now), 0), maxColdTimeMs),
		...(check !== undefined && {check: {host: check.host, age: Math.max(Math.round(now - check.at), 0)}}),
	};
}

/**
 * @param wireCold - Report of a cold upstream as received.
 * @param now - Time in milliseconds.
 * @returns The report, with times on this host's clock. A time that can't be right is replaced by the nearest that can.
 */
export function fromWireCold({upstream, started, remaining, check}: WireCold, now: number): ColdReport {
	return {
		type: 'cold',
		upstream,
		started,
		until: now + Math.min(Math.max(remaining, 0), maxColdTimeMs),
		...(check !== undefined && {check: {host: check.host, at: now - Math.max(check.age, 0)}}),
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

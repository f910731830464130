/** Chooses the upstream of a request, and for long prompts the engines that help to read it, by what callers lose. */
import {hashText, mix} from '../utils/hashes.js';
import {footprint, reading, type Reading} from './engine.js';
import {type Health} from './health.js';
import {type Forecast, type Job, type Load} from './load.js';
import {type Eligibility} from './tries.js';
import {urgencyOf} from './urgency.js';
import {
	type Demand, type EngineModel, type GatewayUpstream, type Prompt,
} from './types.js';

/** Share of a request's worth that is lost if it is served late; 1 if it isn't served. */
export const lateLoss = 0.75;

/** Most engines that share a prompt. */
const mostParts = 16;

/** Milliseconds of prediction error, and its part that grows with the time predicted. */
const spread = 15;
const relativeSpread = 0.08;

/** Milliseconds of network and of this host that a caller sees beside the engine. */
const overhead = 12;

/** Lost by whoever finds an idle engine no more, as a share of a usual request's worth. */
const openingLoss = 0.08;

/** What crowding an engine costs when it is full, as a share of a usual request's worth; it grows with the fourth power. */
const crowdingLoss = 0.15;

/** What each engine more that shares a prompt costs: it may fail, and others may have chosen it too. */
const partLoss = 0.03;

/** What an upstream in another failure domain costs, as a share of a usual request's worth: the link may be cut. */
const distanceLoss = 0.01;

/**
 * Most that an upstream costs one host more than another, as a share of a usual request's worth. Hosts that have not heard of
 * each other's latest choices would all take the same idle engine. Played with 70 hosts, 78 engines and 113 requests a second,
 * worth served with news 8, 25 and 45 ms old: 0.987, 0.947 and 0.890 without, 0.997, 0.986 and 0.975 with it; with 6 hosts and
 * news 6 ms old 0.983 and 0.987. With 0.2 the load of one and a half times what 23 engines bear is served worse than without.
 */
const tasteLoss = 0.1;

/** Hashes are below this. */
const hashRange = 2 ** 32;

/** Chance of a pause from which on a stream is better off elsewhere. */
const likely = 0.5;

/** What a millisecond of waiting counts among engines that disturb nobody: enough to prefer the one that is free first. */
const waitLoss = 0.0001;

/** What is told to decide. */
export type Surroundings = {
	readonly load: Load;
	readonly health: Health;
	readonly host: string;
	readonly failureDomain: string;
	/** Failure domains that this host does not reach now. */
	readonly unreachable: ReadonlySet<string>;
	readonly eligibility: Eligibility;
	/** Job of this request that is looked at as if it had not been sent. */
	readonly except?: string;
	readonly now: number;
};

/** Where a request goes. */
export type Place = {
	readonly upstream: GatewayUpstream;
	readonly helpers: readonly GatewayUpstream[];
	/** Tokens to reserve at each of these engines; 0 where one engine holds the whole prompt. */
	readonly holdTokens: number;
	readonly reading: Reading;
	/** Milliseconds until the first byte, as predicted. */
	readonly firstByte: number;
	/** Rank in the queue of the engine, 0 first; undefined for plain services. */
	readonly urgency?: number;
	/** Expected loss, in requests of usual worth. */
	readonly loss: number;
};

/**
 * @param model - Engine.
 * @param prompt - Size of a request.
 * @returns What it is worth: a long document is waited for by more people than a question.
 */
export function weigh(model: EngineModel, prompt: Prompt): number {
	return 1 + (prompt.tokens / Math.max(model.usualPrompt, 1));
}

/** Chance that what is expected after `time` comes later than `limit`; both in milliseconds from now. */
function lateness(time: number, limit: number): number {
	const error = spread + (relativeSpread * Math.max(time, 0));
	return 1 / (1 + Math.exp((limit - time) / error));
}

type Option = {
	readonly upstream: GatewayUpstream;
	readonly forecast: Forecast;
	/** Loss that does not depend on how much is read there. */
	readonly fixed: number;
};

/** What those who are written or read at an engine lose if it reads so much more. */
function disturbance({forecast}: Option, read: Reading, now: number): number {
	let loss = 0;
	for (const job of forecast.writers) {
		if (job.pause !== undefined) {
			const before = forecast.pass + backlogPerPass(forecast);
			const more = lateness(before + read.perPass, job.pause) - lateness(before, job.pause);
			loss += more * job.weight * lateLoss;
		}
	}

	for (const job of forecast.readers) {
		loss += delayLoss(job, read.total, forecast.backlog, now);
	}

	return loss;
}

function backlogPerPass(forecast: Forecast): number {
	let most = 0;
	for (const job of forecast.readers) {
		most = Math.max(most, job.readPerPass);
	}

	return Math.min(most, forecast.backlog);
}

function delayLoss(job: Job, delay: number, expected: number, now: number): number {
	const limit = job.due - now - overhead;
	return (lateness(expected + delay, limit) - lateness(expected, limit)) * job.weight * lateLoss;
}

/** Milliseconds until a new prompt has been read at an engine. */
function readTime({forecast}: Option, read: Reading): number {
	// It joins at the end of the running pass and its first token comes at the end of its own.
	return forecast.placeWait + (forecast.pass * 1.5) + forecast.backlog + read.total;
}

/** Chance that the stream pauses for longer than its caller bears. */
function pauseChance({forecast}: Option, {pause}: Demand): number {
	return pause === undefined ? 0 : lateness(forecast.pass + backlogPerPass(forecast), pause);
}

/** What the request itself loses, with its first byte after so many milliseconds: late is late, by its first byte or by a pause. */
function ownLoss(first: Option, firstByte: number, demand: Demand, weight: number, now: number): number {
	const inTime = (1 - lateness(firstByte + overhead, demand.due - now)) * (1 - pauseChance(first, demand));
	const unserved = lateness(firstByte + overhead, demand.deadline - now);
	return weight * (((1 - inTime) * lateLoss) + (unserved * (1 - lateLoss)));
}

/** What it costs others later that one more is written here. */
function crowding(option: Option, model: EngineModel, demand: Demand): number {
	const {requests, writers} = option.forecast;
	const isTight = demand.pause !== undefined && demand.pause < longPause;
	const opens = isTight && !writers.some(job => job.pause !== undefined && job.pause < longPause);
	return (opens ? openingLoss : 0) + (crowdingLoss * ((requests / model.slots) ** 4));
}

/** Pauses from this length on leave room for the reading of long prompts, in milliseconds. */
const longPause = 400;

function options(upstreams: readonly GatewayUpstream[], model: EngineModel, around: Surroundings, prompt: Prompt): readonly Option[] {
	const host = hashText(around.host);
	const weight = weigh(model, prompt);
	const urgency = urgencyOf(prompt, 'in time');
	return upstreams.map(upstream => ({
		upstream,
		forecast: around.load.forecast(upstream.id, model, around.now, urgency, around.except),
		fixed: (around.health.risk(upstream.id, around.now) * weight)
			+ (upstream.failureDomain === around.failureDomain ? 0 : distanceLoss)
			+ taste(host, upstream.id),
	}));
}

/** What an upstream costs this host more than others: among equals hosts that have not heard of each other's choice differ. */
function taste(host: number, upstream: string): number {
	return mix(host, hashText(upstream)) / hashRange * tasteLoss;
}

type Sharing = {
	readonly first: Option;
	readonly helpers: readonly Option[];
	readonly holdTokens: number;
};

function assess(sharing: Sharing, demand: Demand, prompt: Prompt, model: EngineModel, now: number): Omit<Place, 'upstream' | 'helpers' | 'holdTokens'> {
	const {first, helpers} = sharing;
	const weight = weigh(model, prompt);
	const parts = helpers.length + 1;
	const read = reading(model, prompt.tokens, parts);
	let loss = first.fixed + crowding(first, model, demand) + (partLoss * helpers.length);
	let firstByte = 0;
	for (const option of [first, ...helpers]) {
		loss += disturbance(option, read, now) + (option === first ? 0 : option.fixed);
		firstByte = Math.max(firstByte, readTime(option, read));
	}

	loss += ownLoss(first, firstByte, demand, weight, now);
	const isLate = now + firstByte + overhead > demand.due;
	const urgency = urgencyOf(prompt, demand.isBegun === true ? 'begun' : (isLate ? 'late' : 'in time'));
	return {
		reading: read, firstByte, loss, urgency,
	};
}

/**
 * Streams at an engine that are about to pause for longer than their callers bear, as a long prompt will be read there.
 *
 * @param forecast - What the engine does next.
 * @returns The requests, and what each loses by staying, in requests of usual worth.
 */
export function disturbed(forecast: Forecast): ReadonlyArray<{readonly job: Job; readonly loss: number}> {
	const pass = forecast.pass + backlogPerPass(forecast);
	const found: Array<{readonly job: Job; readonly loss: number}> = [];
	for (const job of forecast.writers) {
		if (job.pause === undefined) {
			continue;
		}

		const chance = lateness(pass, job.pause) - lateness(forecast.pass, job.pause);
		if (chance > likely) {
			found.push({job, loss: chance * job.weight * lateLoss});
		}
	}

	return found;
}

/** The cheapest engines to read a part, for those who are there already. */
function ranked(choices: readonly Option[], read: Reading, now: number): readonly Option[] {
	const cost = new Map<Option, number>();
	for (const option of choices) {
		const wait = readTime(option, read) * waitLoss;
		cost.set(option, disturbance(option, read, now) + option.fixed + wait);
	}

	return choices.toSorted((a, b) => cost.get(a)! - cost.get(b)!);
}

function sharings(prompt: Prompt, model: EngineModel, choices: readonly Option[], {now, eligibility}: Surroundings): Sharing[] {
	const needed = footprint(model, prompt.tokens, prompt.answer);
	const mayAnswer = (option: Option) => eligibility.among?.has(option.upstream.id) ?? true;
	const fitting = choices.filter(option => option.forecast.free >= needed && mayAnswer(option));
	const found: Sharing[] = fitting.map(first => ({first, helpers: [], holdTokens: 0}));
	if (prompt.tokens < model.chunk * 4) {
		return found;
	}

	for (let parts = 2; parts <= Math.min(mostParts, choices.length); parts++) {
		const order = ranked(choices, reading(model, prompt.tokens, parts), now);
		const first = order.find(option => fitting.includes(option));
		if (first !== undefined) {
			found.push({first, helpers: order.filter(option => option !== first).slice(0, parts - 1), holdTokens: 0});
			continue;
		}

		const holdTokens = Math.ceil(needed / parts) + model.stride;
		const roomy = order.filter(option => option.forecast.free >= holdTokens && option.forecast.requests < model.slots);
		const answering = roomy.find(option => mayAnswer(option));
		if (roomy.length >= parts && answering !== undefined) {
			found.push({first: answering, helpers: roomy.filter(option => option !== answering).slice(0, parts - 1), holdTokens});
		}
	}

	return found;
}

function placeAtEngine(demand: Demand, prompt: Prompt, model: EngineModel, upstreams: readonly GatewayUpstream[], around: Surroundings): Place | undefined {
	const choices = options(upstreams, model, around, prompt);
	let best: Place | undefined;
	for (const sharing of sharings(prompt, model, choices, around)) {
		const place = assess(sharing, demand, prompt, model, around.now);
		if (best === undefined || place.loss < best.loss) {
			best = {
				...place,
				upstream: sharing.first.upstream,
				helpers: sharing.helpers.map(option => option.upstream),
				holdTokens: sharing.holdTokens,
			};
		}
	}

	return best;
}

const nothingRead: Reading = {total: 0, perPass: 0};

/** Fewest requests for its size; the first in order of equals, so that hosts do not agree by chance. */
function placeAtService(upstreams: readonly GatewayUpstream[], around: Surroundings): Place | undefined {
	let best: Place | undefined;
	for (const upstream of upstreams) {
		if (around.eligibility.among?.has(upstream.id) === false) {
			continue;
		}

		const requests = around.load.requests(upstream.id);
		const busy = (requests + 1) / Math.max(upstream.slots, 1);
		const distance = upstream.failureDomain === around.failureDomain ? 0 : distanceLoss;
		const loss = around.health.risk(upstream.id, around.now) + (busy * crowdingLoss) + (busy > 1 ? 1 : 0) + distance;
		if (best === undefined || loss < best.loss) {
			best = {
				upstream, helpers: [], holdTokens: 0, reading: nothingRead, firstByte: 0, loss,
			};
		}
	}

	return best;
}

/** Upstreams to choose from: those that are not left alone; all of them rather than none. */
function usable(upstreams: readonly GatewayUpstream[], around: Surroundings): readonly GatewayUpstream[] {
	const open = upstreams.filter(each => !each.isDraining && !around.eligibility.tried.has(each.id));
	const healthy = open.filter(each => !around.health.isPaused(each.id, around.now) && !around.unreachable.has(each.failureDomain));
	return healthy.length > 0 ? healthy : open;
}

/**
 * @param demand - Request.
 * @param upstreams - Upstreams of its service.
 * @param model - How the service's engines spend their time; undefined for plain services.
 * @param around - What else decides.
 * @returns Where it goes, or undefined if nothing can take it.
 */
export function place(demand: Demand, upstreams: readonly GatewayUpstream[], model: EngineModel | undefined, around: Surroundings): Place | undefined {
	const choices = usable(upstreams, around);
	return model !== undefined && demand.prompt !== undefined
		? placeAtEngine(demand, demand.prompt, model, choices, around)
		: placeAtService(choices, around);
}

/** What a request loses where it was sent, and where it could go instead. */
export type Second = {
	readonly staying: number;
	readonly best: Place | undefined;
};

/**
 * Looks again at where a request was sent a moment ago: hosts that had not heard of each other may have chosen the same engine.
 *
 * @param demand - Request.
 * @param current - Where it went.
 * @param upstreams - Upstreams of its service.
 * @param model - How the service's engines spend their time.
 * @param around - What else decides; its own job is the exception there.
 * @returns Both losses, in requests of usual worth; undefined for plain services.
 */
export function reconsider(demand: Demand, current: Place, upstreams: readonly GatewayUpstream[], model: EngineModel | undefined, around: Surroundings): Second | undefined {
	const {prompt} = demand;
	if (model === undefined || prompt === undefined) {
		return undefined;
	}

	const [first, ...helpers] = options([current.upstream, ...current.helpers], model, around, prompt);
	const {loss} = assess({first: first!, helpers, holdTokens: current.holdTokens}, demand, prompt, model, around.now);
	return {staying: loss, best: place(demand, upstreams, model, around)};
}

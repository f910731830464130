/** Chooses the upstream of a request, and for long prompts the engines that help to read it, by what callers lose. */
import {hashText, mix} from '../utils/hashes.js';
import {footprint, reading, type Reading} from './engine.js';
import {type Health} from './health.js';
import {type Load} from './load.js';
import {
	disturbance, opening, ownLoss, readTime, weigh, type Option,
} from './losses.js';
import {type Policy} from './policy.js';
import {type Eligibility} from './tries.js';
import {
	type Demand, type EngineModel, type GatewayUpstream, type Prompt,
} from './types.js';
import {urgencyOf} from './urgency.js';

/** Chunks of an engine from which on a prompt is worth sharing. */
const sharedChunks = 4;

/** What a plain service's upstream costs when all its places are taken, as a share of a request's worth: the least busy is chosen. */
const busyLoss = 0.15;

/** Hashes are below this. */
const hashRange = 2 ** 32;

/** What is told to decide. */
export type Surroundings = {
	readonly policy: Policy;
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

function options(upstreams: readonly GatewayUpstream[], model: EngineModel, around: Surroundings, prompt: Prompt): readonly Option[] {
	const {health, load, now, except, policy, failureDomain} = around;
	const host = hashText(around.host);
	const weight = weigh(model, prompt);
	const urgency = urgencyOf(prompt, false);
	return upstreams.map(upstream => ({
		upstream,
		forecast: load.forecast(upstream.id, model, now, {urgency, except}),
		fixed: (health.risk(upstream.id, now) * weight)
			+ (upstream.failureDomain === failureDomain ? 0 : policy.distanceLoss)
			+ (taste(host, upstream.id) * policy.tasteLoss),
	}));
}

/** How little a host likes an upstream, 0 to 1: among equals hosts that have not heard of each other's choice differ. */
function taste(host: number, upstream: string): number {
	return mix(host, hashText(upstream)) / hashRange;
}

type Sharing = {
	readonly first: Option;
	readonly helpers: readonly Option[];
	readonly holdTokens: number;
};

function assess({first, helpers, holdTokens}: Sharing, demand: Demand, prompt: Prompt, model: EngineModel, around: Surroundings): Place {
	const {policy, now} = around;
	const read = reading(model, prompt.tokens, helpers.length + 1);
	let loss = first.fixed + opening(first, demand, policy);
	let firstByte = 0;
	for (const option of [first, ...helpers]) {
		loss += disturbance(option, read, now) + (option === first ? 0 : option.fixed);
		firstByte = Math.max(firstByte, readTime(option, read));
	}

	loss += ownLoss(first, firstByte, demand, weigh(model, prompt), now);
	return {
		upstream: first.upstream,
		helpers: helpers.map(option => option.upstream),
		holdTokens,
		reading: read,
		firstByte,
		urgency: urgencyOf(prompt, demand.isBegun === true),
		loss,
	};
}

/** The cheapest engines to read a part, for those who are there already. */
function ranked(choices: readonly Option[], read: Reading, {now, policy}: Surroundings): readonly Option[] {
	const cost = new Map<Option, number>();
	for (const option of choices) {
		cost.set(option, disturbance(option, read, now) + option.fixed + (readTime(option, read) * policy.waitLoss));
	}

	return choices.toSorted((a, b) => cost.get(a)! - cost.get(b)!);
}

function sharings(prompt: Prompt, model: EngineModel, choices: readonly Option[], around: Surroundings): Sharing[] {
	const {eligibility, policy} = around;
	const needed = footprint(model, prompt.tokens, prompt.answer);
	const mayAnswer = (option: Option) => eligibility.among?.has(option.upstream.id) ?? true;
	const fitting = choices.filter(option => option.forecast.free >= needed && mayAnswer(option));
	const found: Sharing[] = fitting.map(first => ({first, helpers: [], holdTokens: 0}));
	if (prompt.tokens < model.chunk * sharedChunks) {
		return found;
	}

	for (let parts = 2; parts <= Math.min(policy.mostParts, choices.length); parts++) {
		const order = ranked(choices, reading(model, prompt.tokens, parts), around);
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
		const place = assess(sharing, demand, prompt, model, around);
		if (best === undefined || place.loss < best.loss) {
			best = place;
		}
	}

	return best;
}

const nothingRead: Reading = {total: 0, perPass: 0};

/** Fewest requests for its size; the first in order of equals, so that hosts do not agree by chance. */
function placeAtService(upstreams: readonly GatewayUpstream[], {eligibility, load, health, failureDomain, policy, now}: Surroundings): Place | undefined {
	let best: Place | undefined;
	for (const upstream of upstreams) {
		if (eligibility.among?.has(upstream.id) === false) {
			continue;
		}

		const busy = (load.requests(upstream.id) + 1) / Math.max(upstream.slots, 1);
		const distance = upstream.failureDomain === failureDomain ? 0 : policy.distanceLoss;
		const loss = health.risk(upstream.id, now) + (busy * busyLoss) + (busy > 1 ? 1 : 0) + distance;
		if (best === undefined || loss < best.loss) {
			best = {
				upstream, helpers: [], holdTokens: 0, reading: nothingRead, firstByte: 0, loss,
			};
		}
	}

	return best;
}

/** Upstreams to choose from: those that are not left alone; all of them rather than none. */
function usable(upstreams: readonly GatewayUpstream[], {eligibility, health, unreachable, now}: Surroundings): readonly GatewayUpstream[] {
	const open = upstreams.filter(each => !each.isDraining && !eligibility.tried.has(each.id));
	const healthy = open.filter(each => !health.isPaused(each.id, now) && !unreachable.has(each.failureDomain));
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
	const {loss} = assess({first: first!, helpers, holdTokens: current.holdTokens}, demand, prompt, model, around);
	return {staying: loss, best: place(demand, upstreams, model, around)};
}

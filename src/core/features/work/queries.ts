/** Estimates the work of requests in tokens, and its duration in milliseconds. */
import {type Upstream} from '../../types/configuration.js';
import {type Request} from '../../types/request.js';
import {type State} from '../../types/state.js';
import {assertNever} from '../../utils/common.js';
import {findService} from '../configuration/queries.js';
import {createOutputKey, type WorkEstimate} from './types.js';

/** Samples at which an organisation's own mean counts as much as the mean of the service. */
const priorSamples = 8;

/** Conservative estimates of an answer's length add this many mean deviations to the mean. */
const conservativeSpreads = 2;

/** Conservative estimates never assume less than this share of the measured prefill rate. */
const minRateShare = 0.5;

/** Assumed duration of a call to a plain service until one has been measured. */
const defaultPlainDurationMs = 50;

/** Prefill rate of an upstream that has no prefill. */
const unlimitedTokensPerSecond = 1e9;

const defaultOutputTokens = 256;

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @returns Prefill tokens per second, measured or configured; practically unlimited for an upstream that has no prefill.
 */
export function getPrefillRate(state: State, upstream: Upstream): number {
	switch (upstream.kind) {
		case 'engine': {
			return state.work.speeds.get(upstream.id)?.prefill?.value ?? upstream.prefillRate;
		}

		case 'plain':
		case 'legacy': {
			return unlimitedTokensPerSecond;
		}

		default: {
			return assertNever(upstream);
		}
	}
}

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @param tokens - Prefill tokens.
 * @returns Expected duration of the prefill, in milliseconds.
 */
export function estimatePrefillTime(state: State, upstream: Upstream, tokens: number): number {
	return tokens * 1000 / getPrefillRate(state, upstream);
}

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @param tokens - Prefill tokens.
 * @returns Conservative duration of the prefill, in milliseconds, since other prompts slow it down at times.
 */
export function estimateConservativePrefillTime(state: State, upstream: Upstream, tokens: number): number {
	const rate = getPrefillRate(state, upstream);
	const spread = state.work.speeds.get(upstream.id)?.prefill?.spread ?? 0;
	return tokens * 1000 / Math.max(rate - spread, rate * minRateShare);
}

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @param tokens - Tokens of an answer.
 * @returns Time from its first to its last token, or of the whole call at an upstream that is not an engine, in milliseconds.
 */
export function estimateDecodeTime(state: State, upstream: Upstream, tokens: number): number {
	const speed = state.work.speeds.get(upstream.id);
	return upstream.kind === 'engine'
		? tokens * (speed?.interval?.value ?? upstream.decodeInterval)
		: speed?.duration?.value ?? defaultPlainDurationMs;
}

/**
 * Estimates the length of an answer from the organisation's own answers, weighted with all answers of the service while they are few.
 *
 * @param state - Core state.
 * @param request - Request.
 * @returns Expected tokens of its answer.
 */
export function estimateOutput(state: State, request: Request): number {
	const requestedService = findService(state, request.service);
	if (requestedService?.kind === 'plain') {
		return 1;
	}

	const {outputs} = state.work;
	const serviceMean = outputs.get(createOutputKey(request.service))?.value ?? requestedService?.expectedOutput ?? defaultOutputTokens;
	const own = outputs.get(createOutputKey(request.service, request.organisation));
	const count = own?.count ?? 0;
	const expected = (((own?.value ?? 0) * count) + (serviceMean * priorSamples)) / (count + priorSamples);
	return Math.ceil(Math.min(expected, request.outputLimit ?? expected));
}

/**
 * Estimates the decode time for admission: an admitted request should finish in time, and not only on average.
 *
 * @param state - Core state.
 * @param request - Request.
 * @param upstream - Upstream.
 * @returns Conservative time from the first to the last token of its answer, in milliseconds.
 */
export function estimateConservativeDecodeTime(state: State, request: Request, upstream: Upstream): number {
	const {speeds, outputs} = state.work;
	const expected = estimateOutput(state, request);
	const longer = expected + (conservativeSpreads * (outputs.get(createOutputKey(request.service))?.spread ?? 0));
	const tokens = Math.min(longer, request.outputLimit ?? longer);
	const speed = speeds.get(upstream.id);
	return estimateDecodeTime(state, upstream, tokens)
		+ (upstream.kind === 'engine' ? tokens * (speed?.interval?.spread ?? 0) : speed?.duration?.spread ?? 0);
}

/**
 * @param state - Core state.
 * @param request - Request.
 * @param cached - Prompt tokens that the upstream is believed to cache.
 * @returns Expected work at that upstream.
 */
export function estimateWork(state: State, request: Request, cached = 0): WorkEstimate {
	return {
		prefill: Math.max(request.promptTokens - cached, 1),
		decode: estimateOutput(state, request),
	};
}

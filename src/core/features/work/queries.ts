/** Estimates work in tokens and its time in milliseconds. */
import {type Upstream} from '../../types/configuration.js';
import {type Request} from '../../types/request.js';
import {type State} from '../../types/state.js';
import {assertNever} from '../../utils/common.js';
import {service} from '../configuration/queries.js';
import {createOutputKey, type WorkEstimate} from './types.js';

/** Samples of its own that an organisation needs to count as much as all others together. */
const priorSamples = 8;

/** Spreads beyond the mean that an answer's length may well reach. */
const conservativeSpreads = 2;

/** Part of the learnt prefill rate that is counted on at least. */
const minRateShare = 0.5;

/** Time assumed for a call of a plain service until one has been seen, in milliseconds. */
const defaultPlainDurationMs = 50;

/** Prefill rate of an upstream that has no prefill, in tokens per second. */
const unlimitedTokensPerSecond = 1e9;

const defaultOutputTokens = 256;

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @returns Prefill tokens per second; very high for a plain service, which has no prefill.
 */
export function prefillRate(state: State, upstream: Upstream): number {
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
 * @returns Time to work on them, in milliseconds.
 */
export function prefillTime(state: State, upstream: Upstream, tokens: number): number {
	return tokens * 1000 / prefillRate(state, upstream);
}

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @param tokens - Prefill tokens.
 * @returns Time that the work may well take, in milliseconds; other prompts slow it down at times.
 */
export function cautiousPrefillTime(state: State, upstream: Upstream, tokens: number): number {
	const rate = prefillRate(state, upstream);
	const spread = state.work.speeds.get(upstream.id)?.prefill?.spread ?? 0;
	return tokens * 1000 / Math.max(rate - spread, rate * minRateShare);
}

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @param tokens - Tokens of an answer.
 * @returns Time from its first to its last token, or of the whole call at a plain service, in milliseconds.
 */
export function decodeTime(state: State, upstream: Upstream, tokens: number): number {
	const speed = state.work.speeds.get(upstream.id);
	return upstream.kind === 'engine'
		? tokens * (speed?.interval?.value ?? upstream.decodeInterval)
		: speed?.duration?.value ?? defaultPlainDurationMs;
}

/**
 * Answer length from the organisation's own answers, drawn towards all answers of the service while they are few.
 *
 * @param state - Core state.
 * @param request - Request.
 * @returns Expected tokens of its answer.
 */
export function estimateOutput(state: State, request: Request): number {
	const requestedService = service(state, request.service);
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
 * What admission counts on: a request that is admitted should finish in time, not only on the average.
 *
 * @param state - Core state.
 * @param request - Request.
 * @param upstream - Upstream.
 * @returns Time that its answer may well take from the first token to the last, in milliseconds.
 */
export function cautiousDecodeTime(state: State, request: Request, upstream: Upstream): number {
	const {speeds, outputs} = state.work;
	const expected = estimateOutput(state, request);
	const longer = expected + (conservativeSpreads * (outputs.get(createOutputKey(request.service))?.spread ?? 0));
	const tokens = Math.min(longer, request.outputLimit ?? longer);
	const speed = speeds.get(upstream.id);
	return decodeTime(state, upstream, tokens)
		+ (upstream.kind === 'engine' ? tokens * (speed?.interval?.spread ?? 0) : speed?.duration?.spread ?? 0);
}

/**
 * @param state - Core state.
 * @param request - Request.
 * @param cached - Prompt tokens that the upstream is believed to hold.
 * @returns Work at that upstream.
 */
export function estimate(state: State, request: Request, cached = 0): WorkEstimate {
	return {
		prefill: Math.max(request.promptTokens - cached, 1),
		decode: estimateOutput(state, request),
	};
}

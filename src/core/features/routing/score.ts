/** Scores upstreams for a request: estimated cost in milliseconds, lower is better. */
import {type ModelService, type Service, type Upstream} from '../../types/configuration.js';
import {type LengthClass} from '../../types/request.js';
import {type State} from '../../types/state.js';
import {assertNever} from '../../utils/common.js';
import {estimateOutstanding, getView} from '../upstreams/queries.js';
import {type UpstreamView, type Work} from '../upstreams/types.js';
import {estimateDecodeTime, getPrefillRate} from '../work/queries.js';

/**
 * Size of the chunks in which engines prefill a prompt; a chunk is not interrupted. An engine is sent more work while it has
 * at most this much prefill queued: enough to keep it busy between two decisions of this host. Further requests wait in
 * the host's queue, where they can still be reordered.
 */
const prefillChunkTokens = 1024;

/** The state of an upstream as it matters to one request. */
export type Assessment = {
	readonly upstream: Upstream;
	readonly known: UpstreamView;
	/** Outstanding work of all hosts. */
	readonly work: Work;
	/** Prompt tokens that it is believed to cache, and those that it would have to prefill. */
	readonly cached: number;
	readonly prefill: number;
	readonly length: LengthClass;
	/** Prefill tokens per second. */
	readonly rate: number;
};

/** The properties of a request's prompt that matter for scoring. */
export type Prompt = {
	readonly tokens: number;
	readonly length: LengthClass;
	/** Tokens believed to be cached, by upstream. */
	readonly cached: ReadonlyMap<string, number>;
};

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @param prompt - Prompt of the request.
 * @param now - Time in milliseconds.
 * @returns The assessment of the upstream for this prompt.
 */
export function assessUpstream(state: State, upstream: Upstream, prompt: Prompt, now: number): Assessment {
	const rate = getPrefillRate(state, upstream);
	const known = getView(state, upstream.id);
	const cached = prompt.cached.get(upstream.id) ?? 0;
	return {
		upstream,
		known,
		work: estimateOutstanding(known, now, rate),
		cached,
		prefill: Math.max(prompt.tokens - cached, 1),
		length: prompt.length,
		rate,
	};
}

/**
 * Counts the prefill queued before a request. Engines honour priorities, and short prompts have precedence over longer
 * ones: of the longer prompts, a short one waits only for the chunk that has started.
 *
 * @param assessment - Upstream, assessed for the request.
 * @returns Prefill tokens that the upstream processes before the request's own.
 */
export function countTokensAhead(assessment: Assessment): number {
	const {work, length} = assessment;
	return length === 'short'
		? work.urgent + Math.min(Math.max(work.prefill - work.urgent, 0), prefillChunkTokens)
		: work.prefill;
}

/**
 * @param assessment - Upstream, assessed for the request.
 * @param footprint - KV memory that the request needs, in tokens.
 * @returns Whether the upstream would start the request at once or almost at once.
 */
export function hasRoom(assessment: Assessment, footprint: number): boolean {
	const {upstream, known, work} = assessment;
	const queued = assessment.length === 'short' ? work.urgent : work.prefill;
	switch (upstream.kind) {
		case 'engine': {
			const used = Math.max(known.footprint, known.report?.usedMemory ?? 0);
			return work.requests < upstream.batch
				&& (work.requests === 0 || used + footprint <= upstream.memory)
				&& queued <= prefillChunkTokens;
		}

		case 'plain':
		case 'legacy': {
			return work.requests < upstream.concurrent;
		}

		default: {
			return assertNever(upstream);
		}
	}
}

/**
 * @param assessment - Upstream, assessed for a request.
 * @returns Whether no prefill is outstanding there.
 */
export function isIdle(assessment: Assessment): boolean {
	return assessment.work.prefill === 0;
}

function scoreEngine(state: State, assessment: Assessment, requestedService: ModelService): number {
	const {work, known, prefill, rate, upstream} = assessment;
	const wait = countTokensAhead(assessment) * 1000 / rate;
	const ownPrefillTime = prefill * 1000 / rate;
	const interference = ownPrefillTime * known.waiting;
	const batchDelay = work.requests * estimateDecodeTime(state, upstream, 1);
	return (requestedService.weights.firstToken * (wait + ownPrefillTime)) + (requestedService.weights.slowdown * interference) + wait + batchDelay;
}

/**
 * Sums the time to the first token and the delay that the request causes to others, weighted as the service configures, plus a
 * small cost for each request in the batch.
 *
 * @param state - Core state.
 * @param assessment - Upstream, assessed for the request.
 * @param requestedService - Service, for its weights.
 * @returns The score in milliseconds; lower is better.
 */
export function scoreUpstream(state: State, assessment: Assessment, requestedService: Service): number {
	return requestedService.kind === 'model'
		? scoreEngine(state, assessment, requestedService)
		: assessment.work.requests * estimateDecodeTime(state, assessment.upstream, 1);
}

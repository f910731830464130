/** Scores an upstream for a request: lower is better, in milliseconds. */
import {type ModelService, type Service, type Upstream} from '../../types/configuration.js';
import {type LengthClass} from '../../types/request.js';
import {type State} from '../../types/state.js';
import {assertNever} from '../../utils/common.js';
import {outstanding, view} from '../upstreams/queries.js';
import {type UpstreamView, type Work} from '../upstreams/types.js';
import {decodeTime, prefillRate} from '../work/queries.js';

/**
 * Prefill that an engine does not interrupt, in tokens: engines batch a chunk of a prompt at a time. It may have so much
 * before it while it is given more: enough to keep it at work between two of this host's decisions. Everything beyond
 * waits in the host's queue, where order can still change.
 */
const prefillChunkTokens = 1024;

/** An upstream as one request finds it. */
export type Assessment = {
	readonly upstream: Upstream;
	readonly known: UpstreamView;
	/** Everyone's work there. */
	readonly work: Work;
	/** Prompt tokens of the request that it is believed to hold, and those it would have to work on. */
	readonly cached: number;
	readonly prefill: number;
	readonly length: LengthClass;
	/** Prefill tokens per second. */
	readonly rate: number;
};

/** What of a request matters to an upstream. */
export type Prompt = {
	readonly tokens: number;
	readonly length: LengthClass;
	/** Tokens believed to be held, by upstream. */
	readonly cached: ReadonlyMap<string, number>;
};

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @param prompt - Prompt of the request.
 * @param now - Time in milliseconds.
 * @returns The upstream as the request finds it.
 */
export function assessUpstream(state: State, upstream: Upstream, prompt: Prompt, now: number): Assessment {
	const rate = prefillRate(state, upstream);
	const known = view(state, upstream.id);
	const cached = prompt.cached.get(upstream.id) ?? 0;
	return {
		upstream,
		known,
		work: outstanding(known, now, rate),
		cached,
		prefill: Math.max(prompt.tokens - cached, 1),
		length: prompt.length,
		rate,
	};
}

/**
 * Engines honour priorities, and a short prompt has a better one than any longer: of longer prompts it waits for no
 * more than what the engine has just begun.
 *
 * @param assessment - Upstream as a request finds it.
 * @returns Prefill tokens that are worked on before the request's own.
 */
export function countTokensAhead(assessment: Assessment): number {
	const {work, length} = assessment;
	return length === 'short'
		? work.urgent + Math.min(Math.max(work.prefill - work.urgent, 0), prefillChunkTokens)
		: work.prefill;
}

/**
 * @param assessment - Upstream as a request finds it.
 * @param footprint - KV memory that the request needs, in tokens.
 * @returns Whether it would be worked on at once or nearly so.
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
 * @param assessment - Upstream.
 * @returns Whether no prefill is under way there.
 */
export function isIdle(assessment: Assessment): boolean {
	return assessment.work.prefill === 0;
}

function scoreEngine(state: State, assessment: Assessment, requestedService: ModelService): number {
	const {work, known, prefill, rate, upstream} = assessment;
	const wait = countTokensAhead(assessment) * 1000 / rate;
	const ownPrefillTime = prefill * 1000 / rate;
	const interference = ownPrefillTime * known.waiting;
	const batchDelay = work.requests * decodeTime(state, upstream, 1);
	return (requestedService.weights.firstToken * (wait + ownPrefillTime)) + (requestedService.weights.slowdown * interference) + wait + batchDelay;
}

/**
 * Time to the first token, the delay given to others, and a little for a full batch; weighed as the service says.
 *
 * @param state - Core state.
 * @param assessment - Upstream as a request finds it.
 * @param requestedService - Service.
 * @returns The score.
 */
export function scoreUpstream(state: State, assessment: Assessment, requestedService: Service): number {
	return requestedService.kind === 'model'
		? scoreEngine(state, assessment, requestedService)
		: assessment.work.requests * decodeTime(state, assessment.upstream, 1);
}

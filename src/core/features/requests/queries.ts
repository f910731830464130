/** Reads requests, and chooses upstreams for them. */
import {type Upstream} from '../../types/configuration.js';
import {type Candidate} from '../../types/effect.js';
import {type Request} from '../../types/request.js';
import {type Context, type State} from '../../types/state.js';
import {ownUpstreams} from '../configuration/queries.js';
import {view} from '../upstreams/queries.js';
import {type Admission} from './types.js';

export type Choice = {
	readonly upstream: Upstream;
	readonly candidates: readonly Candidate[];
	readonly reason: string;
};

/**
 * @param state - Core state.
 * @returns Whether no request is left at this host.
 */
export function isIdle(state: State): boolean {
	return state.requests.admissions.isEmpty();
}

/**
 * @param state - Core state.
 * @param attempt - Attempt.
 * @returns The admitted request it runs for, if it is still wanted.
 */
export function admissionOf(state: State, attempt: string): Admission | undefined {
	const request = state.requests.attempts.get(attempt);
	return request === undefined ? undefined : state.requests.admissions.get(request);
}

function candidate(state: State, upstream: Upstream): Candidate {
	const {prefill, decode, requests} = view(state, upstream.id);
	return {upstream: upstream.id, score: upstream.kind === 'engine' ? prefill + decode : requests};
}

/**
 * Power of two choices by this host's own work in flight.
 *
 * @param state - Core state.
 * @param request - Request to route.
 * @param context - Time and random source.
 * @returns The upstream chosen, or undefined if there is none.
 */
export function choose(state: State, request: Request, context: Context): Choice | undefined {
	const reachable = ownUpstreams(state, request.service).filter(each => view(state, each.id).reachable);
	const first = reachable[context.random.integer(0, Math.max(reachable.length - 1, 0))];
	const second = reachable[context.random.integer(0, Math.max(reachable.length - 1, 0))];
	if (first === undefined || second === undefined) {
		return undefined;
	}

	const candidates = [candidate(state, first), candidate(state, second)];
	const isFirst = candidates[0]!.score <= candidates[1]!.score;
	return {upstream: isFirst ? first : second, candidates, reason: 'less work of two'};
}

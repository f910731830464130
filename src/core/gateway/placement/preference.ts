/** Prefers some engines of a service for a request; others are considered if these can't serve it in time. */
import {computeWeight, lateLoss} from '../engines/losses.js';
import {type EngineModel, type GatewayUpstream, type Prompt} from '../types.js';

/** Why some engines are preferred: the others belong to other groups, or are left to requests that may crash them. */
export type PreferenceReason = 'group' | 'suspicion';

/** Engines that a request prefers. */
export type Preference = {
	readonly reason: PreferenceReason;
	readonly prefers: (upstream: string) => boolean;
};

/** How a preference was applied: the engines that it prefers can serve the request in time, or all engines were considered. */
export type PreferenceResult = {
	readonly reason: PreferenceReason;
	readonly isMet: boolean;
};

/** Largest expected loss of a placement in time, as a share of what is lost if the request is late: it is more likely in time than late. */
const maxLossShare = 0.5;

/**
 * @param upstreams - Upstreams that accept the request.
 * @param preference - Preference of the request.
 * @returns Those that it prefers; undefined if these are none or all.
 */
export function findPreferred(upstreams: readonly GatewayUpstream[], {prefers}: Preference): readonly GatewayUpstream[] | undefined {
	const preferred = upstreams.filter(each => prefers(each.id));
	return preferred.length === 0 || preferred.length === upstreams.length ? undefined : preferred;
}

/**
 * @param loss - Expected loss of a placement, of the request itself and of those that it disrupts, in requests of usual weight.
 * @param prompt - Prompt of the request.
 * @param model - Performance model of the engines.
 * @returns Whether it is expected to be served in time without making others late.
 */
export function isServedInTime(loss: number, prompt: Prompt, model: EngineModel): boolean {
	return loss <= computeWeight(model, prompt) * lateLoss * maxLossShare;
}

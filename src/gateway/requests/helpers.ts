/** Lists the engines that help with the prefill of a prompt, as they are sent to the upstream. */
import {type Placement} from '../../core/gateway/placement/placement.js';
import {type Helper} from '../platform-adapter.js';
import {type Hold} from './holds.js';

/**
 * @param placement - Placement of the request.
 * @param hold - Memory reserved for it at several engines, if any.
 * @returns The helper engines; with a hold, also the engine that answers, because it holds memory too.
 */
export function listHelpers(placement: Placement, hold: Hold | undefined): readonly Helper[] {
	const helpers = placement.helpers.map(({address}) => ({address, hold: hold?.name}));
	return hold === undefined ? helpers : [{address: placement.upstream.address, hold: hold.name}, ...helpers];
}

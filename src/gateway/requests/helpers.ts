/** Lists the engines that help with the prefill of a prompt, as they are sent to the upstream. */
import {type Placement} from '../../core/gateway/placement/placement.js';
import {type Helper} from '../platform-adapter.js';
import {type Hold} from './holds.js';

/**
 * @param placement - Placement of the request.
 * @param hold - Memory reserved for it, if any.
 * @returns The helper engines. With a hold, the engine that answers is the first, because it holds memory too; helpers that hold none only prefill.
 */
export function listHelpers(placement: Placement, hold: Hold | undefined): readonly Helper[] {
	const helpers = placement.helpers.map(({id, address}) => ({address, hold: hold?.hasPart(id) === true ? hold.name : undefined}));
	return hold === undefined ? helpers : [{address: placement.upstream.address, hold: hold.name}, ...helpers];
}

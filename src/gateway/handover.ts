/** What an upstream is told beside what the caller sent, as far as it is decided here. */
import {type Place} from '../core/gateway/placement.js';
import {type Helper} from './dialect.js';
import {type Hold} from './holds.js';

/**
 * @param place - Where the request goes.
 * @param hold - Memory held for it at several engines, if any.
 * @returns The engines that read parts of the prompt; the one that answers is among them where it holds memory too.
 */
export function helpersOf(place: Place, hold: Hold | undefined): readonly Helper[] {
	const helpers = place.helpers.map(({address}) => ({address, hold: hold?.name}));
	return hold === undefined ? helpers : [{address: place.upstream.address, hold: hold.name}, ...helpers];
}

/** What an upstream is told beside what the caller sent, as far as it is decided here. */
import {type Place} from '../core/gateway/placement.js';
import {type Demand} from '../core/gateway/types.js';
import {type Helper} from './dialect.js';
import {type Hold} from './holds.js';

/** Tokens up to which prompts go first at an engine, and from which on they go last. */
const urgentTokens = 16_000;
const patientTokens = 80_000;
const urgencies = {urgent: 2, usual: 4, patient: 5} as const;

/**
 * @param demand - Request.
 * @returns Its rank in an engine's queue, 0 first; undefined for plain services.
 */
export function urgencyOf({prompt}: Demand): number | undefined {
	if (prompt === undefined) {
		return undefined;
	}

	if (prompt.tokens <= urgentTokens) {
		return urgencies.urgent;
	}

	return prompt.tokens < patientTokens ? urgencies.usual : urgencies.patient;
}

/**
 * @param place - Where the request goes.
 * @param hold - Memory held for it at several engines, if any.
 * @returns The engines that read parts of the prompt; the one that answers is among them where it holds memory too.
 */
export function helpersOf(place: Place, hold: Hold | undefined): readonly Helper[] {
	const helpers = place.helpers.map(({address}) => ({address, hold: hold?.name}));
	return hold === undefined ? helpers : [{address: place.upstream.address, hold: hold.name}, ...helpers];
}

/** Measured speeds of upstreams and lengths of answers. */
import {Map as Table} from 'immutable';
import {type Mean} from '../../utils/rates.js';

/** Measured speed of one upstream; a member without samples is absent. */
export type Speed = {
	/** Prefill tokens per second, counting the prefill queued before each attempt. */
	readonly prefill?: Mean;
	/** Milliseconds between two tokens of an answer. */
	readonly interval?: Mean;
	/** Milliseconds from sending to the end of the answer, for answers without frames. */
	readonly duration?: Mean;
};

export type WorkState = {
	/** By upstream. */
	readonly speeds: Table<string, Speed>;
	/** Answer length in tokens by service and organisation, and by service alone. */
	readonly outputs: Table<string, Mean>;
};

export const initialWork: WorkState = {speeds: Table(), outputs: Table()};

/** Work of a request at one upstream, in tokens. */
export type WorkEstimate = {
	readonly prefill: number;
	readonly decode: number;
};

/**
 * @param service - Service.
 * @param organisation - Organisation; absent for all organisations.
 * @returns The key of their answer length. It is unique, as names contain no slash.
 */
export function createOutputKey(service: string, organisation = ''): string {
	return `${service}/${organisation}`;
}

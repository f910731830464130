/** What this host has learnt of speeds and answer lengths. */
import {Map as Table} from 'immutable';
import {type Mean} from '../../utils/rates.js';

/** Speed of one upstream, as far as it has been seen. */
export type Speed = {
	/** Tokens of prefill per second, work that was before it included. */
	readonly prefill?: Mean;
	/** Milliseconds between two tokens of an answer. */
	readonly interval?: Mean;
	/** Milliseconds from sending to the end, at a plain service. */
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
 * @param organisation - Organisation, or nothing for all of them.
 * @returns The key of their answer length; names have no slash.
 */
export function createOutputKey(service: string, organisation = ''): string {
	return `${service}/${organisation}`;
}

/** Groups of engines, each of which holds a segment of one prompt's KV cache. */
import {Map as Table} from 'immutable';
import {type Request} from '../../types/request.js';

/** Memory that a group needs at one engine. */
export type GroupPart = {
	readonly upstream: string;
	readonly hold: string;
	/** Tokens to reserve: the segment, and the answer at the engine that decodes. */
	readonly tokens: number;
	/** Range of prompt tokens, the end excluded. */
	readonly from: number;
	readonly to: number;
};

/** Progress of a group: its parts are requested one after another, in the order of the engines' ids. */
export type GroupProgress
	= | {
		readonly type: 'asking';
		/** Index of the part that is requested; those before it are held. */
		readonly index: number;
		/** Time at which this part was first requested, in milliseconds. */
		readonly since: number;
		/** Time of the next request for it, in milliseconds; undefined while an answer is pending. */
		readonly retryAt?: number;
	}
	| {readonly type: 'held'};

export type Group = {
	readonly request: Request;
	readonly parts: readonly GroupPart[];
	readonly progress: GroupProgress;
	/** Time at which its leases were last renewed, in milliseconds. */
	readonly renewedAt: number;
};

export type GroupsState = {
	/** By request. */
	readonly groups: Table<string, Group>;
	/** Time until which no other group is formed, in milliseconds, by service. */
	readonly backoffDeadlines: Table<string, number>;
	/** Groups attempted so far; makes the ids of holds unique. */
	readonly attempts: number;
};

export const initialGroups: GroupsState = {groups: Table(), backoffDeadlines: Table(), attempts: 0};

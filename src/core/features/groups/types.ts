/** Engines that hold one prompt together, each a segment of its KV cache. */
import {Map as Table} from 'immutable';
import {type Request} from '../../types/request.js';

/** Memory wanted at one engine. */
export type GroupPart = {
	readonly upstream: string;
	readonly hold: string;
	/** Tokens to hold: the segment, and the answer where it is decoded. */
	readonly tokens: number;
	/** Range of prompt tokens, the end excluded. */
	readonly from: number;
	readonly to: number;
};

/** What a group waits for; its engines are asked one after another, in the order of their names. */
export type GroupProgress
	= | {
		readonly type: 'asking';
		/** The part that is asked for; those before it are held. */
		readonly index: number;
		/** Since when this part is asked for, in milliseconds. */
		readonly since: number;
		/** When to ask again; undefined while an answer is awaited. */
		readonly retryAt?: number;
	}
	| {readonly type: 'held'};

export type Group = {
	readonly request: Request;
	readonly parts: readonly GroupPart[];
	readonly progress: GroupProgress;
	/** When its leases were last renewed, in milliseconds. */
	readonly renewedAt: number;
};

export type GroupsState = {
	/** By request. */
	readonly groups: Table<string, Group>;
	/** Time before which a service tries no other group, in milliseconds. */
	readonly backoffDeadlines: Table<string, number>;
	/** Groups tried so far; part of each hold's name. */
	readonly attempts: number;
};

export const initialGroups: GroupsState = {groups: Table(), backoffDeadlines: Table(), attempts: 0};

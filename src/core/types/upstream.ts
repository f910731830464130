/** What upstreams publish: reports, cache events and holds. All of it arrives late and may be missing. */
import {type Incarnation} from './request.js';
import {type Target} from './configuration.js';

/** A fencing number: the counter first, then the host breaks a tie. */
export type OrderNumber = {
	readonly counter: number;
	readonly host: string;
};

/** An engine's own account of its load. */
export type Report = {
	readonly upstream: string;
	/** Changes when the engine restarts. */
	readonly incarnation: string;
	/** Age of the figures when they were sent, in milliseconds. */
	readonly age: number;
	readonly ready: boolean;
	readonly running: number;
	readonly waiting: number;
	/** Prefill tokens not yet worked on. */
	readonly queuedPrefill: number;
	/** Tokens of KV memory in use by running requests and holds, and in all. */
	readonly usedMemory: number;
	readonly memory: number;
	/** What the engine holds now, and what it is loading. */
	readonly current?: Target;
	readonly loading?: Target;
	readonly orderNumber?: OrderNumber;
};

export type CacheChange = {
	readonly sequence: number;
	readonly type: 'stored' | 'evicted' | 'cleared';
	readonly blocks: readonly string[];
};

/** KV memory reserved at an engine for one owner. */
export type Hold = {
	readonly id: string;
	readonly upstream: string;
	readonly owner: Incarnation;
	readonly tokens: number;
	/** Wall-clock time in milliseconds since 1970. */
	readonly deadline: number;
};

/** An order to an engine. */
export type Order
	= | {readonly type: 'load'; readonly number: OrderNumber; readonly target: Target}
		| {readonly type: 'seal'; readonly number: OrderNumber};

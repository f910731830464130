/** Data published by upstreams: reports, cache events and holds. It arrives with a delay and may be incomplete. */
import {type Incarnation} from './request.js';
import {type Target} from './configuration.js';

/** Fencing number of an order. Compared by counter, then by host. */
export type OrderNumber = {
	readonly counter: number;
	readonly host: string;
};

/** Load of an upstream, as reported by the upstream itself. */
export type LoadReport = {
	readonly upstream: string;
	/** Changes when the engine restarts. */
	readonly incarnation: string;
	/** Age of the report when it was sent, in milliseconds. */
	readonly age: number;
	readonly ready: boolean;
	readonly running: number;
	readonly waiting: number;
	/** Prefill tokens not yet processed. */
	readonly queuedPrefill: number;
	/** KV memory in tokens: used by running requests and holds, and in total. */
	readonly usedMemory: number;
	readonly memory: number;
	/** Target that the engine serves now, and the one that it is loading. */
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

/** Order to an engine: to load a target, or only to refuse orders with a lower number. */
export type Order
	= | {readonly type: 'load'; readonly number: OrderNumber; readonly target: Target}
		| {readonly type: 'seal'; readonly number: OrderNumber};

/** What happened in a run, as an outside observer sees it; the invariants are checked on it. */
import {type Outcome} from '../../src/core/index.js';

/** One thing that a caller wants done, under whatever rights it is sent. */
export type Operation = {
	readonly id: string;
	readonly idempotent: boolean;
	/** Whether it crashes each upstream that runs it. */
	readonly kills: boolean;
};

export type Execution = {
	readonly operation: string;
	readonly right: string;
	readonly upstream: string;
	readonly at: number;
	/** When its ticket expired, on the world's clock; the ticket as the caller has it. */
	readonly expires?: number;
};

/** What a caller was told for one sending. */
export type Told = {
	readonly operation: string;
	readonly right: string;
	readonly outcome: Outcome;
	/** Operation whose result the answer carried, if it was done. */
	readonly payload?: string;
	/** When the host that decided the outcome did so; others pass it on. */
	readonly decidedAt: number;
	readonly at: number;
};

/** A request at one host, answered or not. */
export type Visit = {
	readonly host: string;
	readonly request: string;
	readonly deadline: number;
	answeredAt?: number;
	/** The host died or stopped, was paused, or its caller left. */
	excused: boolean;
};

/** An upstream that ended because of what it ran. */
export type Crash = {
	readonly upstream: string;
	readonly failureDomain: string;
	readonly operation: string;
	/** Run of the host that had sent it. */
	readonly sender: string;
	/** When that host sent it. */
	readonly sentAt: number;
	readonly at: number;
};

export type HoldEnd = {
	readonly hold: string;
	readonly owner: string;
	/** Whether the owner lived and the deadline, with its grace, lay ahead. */
	readonly wasLive: boolean;
	readonly at: number;
};

export class Ledger {
	readonly operations = new Map<string, Operation>();
	readonly executions: Execution[] = [];
	readonly told: Told[] = [];
	readonly visits: Visit[] = [];
	readonly crashes: Crash[] = [];
	/** Times at which a host's process started in place of one that had ended. */
	readonly restarts: number[] = [];
	readonly holdEnds: HoldEnd[] = [];
	/** Upstreams of one failure domain that a request may crash: two, and a third when it is sent through two hosts at once. */
	crashLimit = 3;
	/** Holds that nobody gave back in time. */
	readonly leftHolds: string[] = [];
	/** Tables of hosts that should be empty at the end but are not. */
	readonly leftovers: string[] = [];
	steps = 0;
}

/** Records what an outside observer sees of a run; the invariants are checked on it. */
import {type Outcome} from '../../src/core/index.js';

/** Work that a caller wants done once, under one or several rights. */
export type Operation = {
	readonly id: string;
	readonly idempotent: boolean;
	/** Whether it crashes each upstream that runs it. */
	readonly isPoison: boolean;
};

export type Execution = {
	readonly operation: string;
	/** Ticket or key that it was sent under. */
	readonly right: string;
	readonly upstream: string;
	readonly at: number;
	/** When the ticket that the caller holds expires, in simulation time. */
	readonly expires?: number;
};

/** An answer that a caller received to one request. */
export type ReceivedAnswer = {
	readonly operation: string;
	readonly right: string;
	readonly outcome: Outcome;
	/** Operation whose result the answer carried, if it was done. */
	readonly payload?: string;
	/** When the outcome was decided, by this host or by the one that the request was forwarded to. */
	readonly decidedAt: number;
	readonly at: number;
};

/** A request at one host, answered or not. */
export type HostRequest = {
	readonly host: string;
	readonly request: string;
	readonly deadline: number;
	answeredAt?: number;
	/** Whether it needs no answer: the host died, stopped or paused, or the caller left. */
	isExempt: boolean;
};

/** An upstream that crashed because of a request. */
export type Crash = {
	readonly upstream: string;
	readonly failureDomain: string;
	readonly operation: string;
	/** Incarnation of the host that sent it. */
	readonly sender: string;
	/** When that host sent it. */
	readonly sentAt: number;
	readonly at: number;
};

export type HoldRelease = {
	readonly hold: string;
	readonly owner: string;
	/** Whether another host released it while the owner was alive and the deadline had not passed. */
	readonly isPremature: boolean;
	readonly at: number;
};

export class Ledger {
	readonly operations = new Map<string, Operation>();
	readonly executions: Execution[] = [];
	readonly receivedAnswers: ReceivedAnswer[] = [];
	readonly hostRequests: HostRequest[] = [];
	readonly crashes: Crash[] = [];
	/** Times at which a host's process was restarted. */
	readonly restarts: number[] = [];
	readonly holdReleases: HoldRelease[] = [];
	/** Upstreams of one failure domain that a request may crash: two, and a third when it is sent through two hosts at once. */
	crashLimit = 3;
	/** Holds that no host released in time. */
	readonly unreleasedHolds: string[] = [];
	/** Tables of hosts that should be empty at the end but are not. */
	readonly nonEmptyTables: string[] = [];
	steps = 0;
}

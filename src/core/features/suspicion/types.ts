/** Requests that are believed to crash the upstreams that run them. */
import {Map as Table} from 'immutable';

/** Distinct crashes after which a request is refused. */
export const convictionThreshold = 2;

/** Upstreams a suspect may run at. */
export const suspectUpstreamLimit = 2;

/** Time a crash is held against a request: seen only as a broken connection, and confirmed, in milliseconds. */
export const unconfirmedCrashLifetimeMs = 30_000;
export const confirmedCrashLifetimeMs = 600_000;

export const suspectLimit = 1000;

/** An attempt that is at an upstream now. */
export type RunningAttempt = {
	readonly fingerprint: string;
	readonly upstream: string;
	readonly incarnation?: string;
	/** On the core's clock, in milliseconds. */
	readonly began: number;
};

/** An upstream that ended, or seemed to, while a request ran there. */
export type Crash = {
	/** Equal for all who saw the same crash. */
	readonly id: string;
	readonly upstream: string;
	readonly incarnation?: string;
	/** When it was noticed, on the core's clock. */
	readonly at: number;
	/** Wall-clock time in milliseconds since 1970. */
	readonly expires: number;
};

/** What peers hold against a request. */
export type PeerSuspicion = {
	readonly crashes: readonly string[];
	/** Wall-clock time in milliseconds since 1970. */
	readonly expires: number;
};

export type SuspicionState = {
	/** By attempt. */
	readonly runningAttempts: Table<string, RunningAttempt>;
	/** Crashes seen here, by fingerprint. */
	readonly crashes: Table<string, readonly Crash[]>;
	/** By fingerprint. */
	readonly peerSuspicions: Table<string, PeerSuspicion>;
};

export const initialSuspicion: SuspicionState = {runningAttempts: Table(), crashes: Table(), peerSuspicions: Table()};

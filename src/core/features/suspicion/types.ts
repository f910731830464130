/** State of the detection of poison requests, which crash the upstreams that run them. */
import {Map as Table} from 'immutable';

/** Distinct crashes after which a request is convicted and refused. */
export const convictionThreshold = 2;

/** Upstreams that a suspect may run at, at most. */
export const suspectUpstreamLimit = 2;

/** Time for which a crash is held against a request: one seen only as a broken connection, and one confirmed by a restart. */
export const unconfirmedCrashLifetimeMs = 30_000;
export const confirmedCrashLifetimeMs = 600_000;

/** Suspects that are tracked at most; those reported by peers are counted separately. */
export const suspectLimit = 1000;

/** An attempt that is running at an upstream. */
export type RunningAttempt = {
	readonly fingerprint: string;
	readonly upstream: string;
	readonly incarnation?: string;
	/** Monotonic time in milliseconds. */
	readonly began: number;
};

/** A crash of an upstream, or what seemed to be one, while a request ran there. */
export type Crash = {
	/** The same for all requests and hosts that saw the crash. */
	readonly id: string;
	readonly upstream: string;
	readonly incarnation?: string;
	/** Monotonic time in milliseconds at which it was noticed. */
	readonly at: number;
	/** Wall-clock time in milliseconds since 1970. */
	readonly expires: number;
};

/** Crashes that peers hold against a request. */
export type PeerSuspicion = {
	readonly crashes: readonly string[];
	/** Wall-clock time in milliseconds since 1970. */
	readonly expires: number;
};

export type SuspicionState = {
	/** By attempt id. */
	readonly runningAttempts: Table<string, RunningAttempt>;
	/** Crashes noticed by this host, by fingerprint. */
	readonly crashes: Table<string, readonly Crash[]>;
	/** Suspicions received from peers, by fingerprint. */
	readonly peerSuspicions: Table<string, PeerSuspicion>;
};

export const initialSuspicion: SuspicionState = {runningAttempts: Table(), crashes: Table(), peerSuspicions: Table()};

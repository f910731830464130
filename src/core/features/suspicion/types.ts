/** Requests that are believed to crash the upstreams that run them. */
import {Map as Table} from 'immutable';

/** Distinct crashes after which a request is refused. */
export const convictingCrashes = 2;

/** Upstreams a suspect may run at. */
export const suspectChoices = 2;

/** Time a crash is held against a request: seen only as a broken connection, and confirmed, in milliseconds. */
export const unconfirmedLife = 30_000;
export const confirmedLife = 600_000;

export const suspectLimit = 1000;

/** An attempt that is at an upstream now. */
export type Flight = {
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
export type Hearsay = {
	readonly crashes: readonly string[];
	/** Wall-clock time in milliseconds since 1970. */
	readonly expires: number;
};

export type SuspicionState = {
	/** By attempt. */
	readonly flights: Table<string, Flight>;
	/** Crashes seen here, by fingerprint. */
	readonly crashes: Table<string, readonly Crash[]>;
	/** By fingerprint. */
	readonly heard: Table<string, Hearsay>;
};

export const initialSuspicion: SuspicionState = {flights: Table(), crashes: Table(), heard: Table()};

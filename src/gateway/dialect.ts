/** What the gateway asks of the adapter that knows how callers and upstreams name things in their headers. */
import {type IncomingHttpHeaders} from 'node:http';
import {type Address} from '../core/index.js';
import {type Prompt} from '../core/gateway/types.js';

/** What a caller says of its request. */
export type CallerFacts = {
	readonly id: string;
	/** Milliseconds that the caller will wait, if it says. */
	readonly patience?: number;
	readonly key?: string;
	readonly prompt?: Prompt;
	/** The last event that the caller has of a stream it resumes. */
	readonly lastEvent?: string;
};

/** An engine that reads a part of the prompt, and the hold there that keeps its memory. */
export type Helper = {
	readonly address: Address;
	readonly hold?: string;
};

/** What an upstream is told beside what the caller sent. */
export type Handover = {
	/** Milliseconds that are left. */
	readonly left: number;
	/** The upstream that is meant; any other one refuses. */
	readonly upstream: string;
	readonly organisation?: string;
	/** 0 goes first; undefined for plain services. */
	readonly urgency?: number;
	readonly helpers: readonly Helper[];
	readonly lastEvent?: string;
};

/** What an answer's head says. */
export type ReplyFacts = {
	/** The request it answers. */
	readonly request?: string;
	/** Whether the upstream signed it as its own. */
	readonly isSigned: boolean;
	/** Whether the upstream states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether the upstream that answered is not the one that was meant. */
	readonly isMisdirected: boolean;
	/** The engine at fault, where one that helps is. */
	readonly culprit?: string;
};

/** Headers of callers and upstreams. */
export type Dialect = {
	/** @returns What the caller says; undefined if its request has no id. */
	readonly readCaller: (headers: IncomingHttpHeaders) => CallerFacts | undefined;
	/** @returns Names and values in turn, for the upstream. */
	readonly forUpstream: (raw: readonly string[], handover: Handover) => readonly string[];
	readonly readReply: (status: number, headers: IncomingHttpHeaders) => ReplyFacts;
};

/** Orders that engines take from the gateway. */
export type Orders = {
	/**
	 * @param address - Engine.
	 * @param hold - Name of the hold; renewed if the engine has it.
	 * @param tokens - Memory.
	 * @param lease - Milliseconds it is held.
	 * @returns Whether the engine holds the memory now.
	 */
	readonly reserve: (address: Address, hold: string, tokens: number, lease: number) => Promise<boolean>;
	readonly release: (address: Address, hold: string) => Promise<void>;
};

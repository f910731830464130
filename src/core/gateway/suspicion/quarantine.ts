/**
 * Keeps suspected requests at few engines, apart from others. Every host computes the same engine for a cause, so that requests with it that
 * come to different hosts cost one engine at most.
 */
import {hashText, rank} from '../../utils/hashes.js';
import {type GatewayUpstream} from '../types.js';
import {type Cause} from './causes.js';

/** Crashes under a cause from which on others avoid its engine: most engines that crash once do so for other reasons. */
const avoidingCrashes = 2;

/** The same for requests that a crash has interrupted: they must not meet with the next one. */
const avoidingCrashesIfInterrupted = 1;

/** Time in milliseconds after the last crash for which others avoid the engine. */
const avoidingMs = 3000;

/** Largest share of the engines that others avoid, and that interrupted requests do. */
const maxAvoidedShare = 0.25;
const maxAvoidedShareIfInterrupted = 0.5;

/**
 * @param cause - Suspected cause.
 * @param upstreams - Upstreams that accept the request.
 * @returns The same upstreams, the one for requests with this cause first.
 */
export function rankForCause(cause: Cause, upstreams: readonly GatewayUpstream[]): readonly GatewayUpstream[] {
	const members = upstreams.map(upstream => ({upstream, hash: hashText(upstream.id)}));
	return rank(hashText(cause), members).map(({upstream}) => upstream);
}

/** A suspected cause. */
export type Suspect = {
	readonly cause: Cause;
	readonly crashes: number;
	/** Time of the last crash. */
	readonly last: number;
};

/**
 * @param suspects - Suspected causes.
 * @param upstreams - Upstreams of their service that didn't crash lately.
 * @param now - Time.
 * @param isInterrupted - Whether the request was sent before.
 * @returns Ids of the upstreams that requests without these causes avoid.
 */
export function listAvoided(suspects: readonly Suspect[], upstreams: readonly GatewayUpstream[], now: number, isInterrupted = false): ReadonlySet<string> {
	const threshold = isInterrupted ? avoidingCrashesIfInterrupted : avoidingCrashes;
	const recent = suspects
		.filter(({crashes, last}) => crashes >= threshold && now - last < avoidingMs)
		.toSorted((a, b) => b.crashes - a.crashes || (a.cause < b.cause ? -1 : 1));
	const limit = Math.floor(upstreams.length * (isInterrupted ? maxAvoidedShareIfInterrupted : maxAvoidedShare));
	const avoided = new Set<string>();
	for (const {cause} of recent) {
		if (avoided.size < limit) {
			avoided.add(rankForCause(cause, upstreams)[0]!.id);
		}
	}

	return avoided;
}

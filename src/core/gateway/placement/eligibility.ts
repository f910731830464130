/** Which upstreams a request may be sent to at present, and why the others accept none. */
import {assertNever} from '../../utils/common.js';
import {type GatewayUpstream} from '../types.js';
import {type Eligibility} from './attempts.js';

/** Why an upstream accepts no new request of this host at present. Waits are in milliseconds until it accepts the next one. */
export type Obstacle
	/** It is draining, or has stated that it leaves. */
	= | {readonly type: 'departure'}
	/** The operator has evacuated its failure domain. */
		| {readonly type: 'evacuation'}
	/** It has refused a request of this host and wants no other for a while. */
		| {readonly type: 'pause'; readonly wait: number}
	/** It gets as many requests from all hosts as its rate limit allows. */
		| {readonly type: 'rate-limit'; readonly wait: number}
	/** It is cold, and gets as many requests from all hosts as it takes meanwhile. */
		| {readonly type: 'cold-start'; readonly wait: number};

/** Returns why an upstream accepts no request at present; undefined if it accepts one. */
export type ObstacleFinder = (upstream: GatewayUpstream) => Obstacle | undefined;

/**
 * @param obstacle - Why an upstream accepts no request.
 * @returns Milliseconds until it accepts one; undefined if that is unknown.
 */
export function waitOf(obstacle: Obstacle): number | undefined {
	switch (obstacle.type) {
		case 'departure':
		case 'evacuation': {
			return undefined;
		}

		case 'pause':
		case 'rate-limit':
		case 'cold-start': {
			return obstacle.wait;
		}

		default: {
			return assertNever(obstacle);
		}
	}
}

/**
 * @param a - An obstacle of an upstream, if there is one.
 * @param b - Another one.
 * @returns The one that lasts longer; one without a known end lasts longest.
 */
export function selectLonger(a: Obstacle | undefined, b: Obstacle | undefined): Obstacle | undefined {
	if (a === undefined || b === undefined) {
		return a ?? b;
	}

	return (waitOf(a) ?? Number.POSITIVE_INFINITY) >= (waitOf(b) ?? Number.POSITIVE_INFINITY) ? a : b;
}

/**
 * @param upstreams - Upstreams of a service.
 * @param eligibility - Upstreams that the request may still be sent to.
 * @param findObstacle - Finds what keeps an upstream from accepting a request.
 * @returns Those that accept the request now. Some may be allowed to help with it, but not to answer.
 */
export function findAccepting(upstreams: readonly GatewayUpstream[], {excluded}: Eligibility, findObstacle: ObstacleFinder): readonly GatewayUpstream[] {
	return upstreams.filter(each => !excluded.has(each.id) && findObstacle(each) === undefined);
}

/**
 * @param upstreams - Upstreams of a service.
 * @param eligibility - Upstreams that the request may still be sent to.
 * @param findObstacle - Finds what keeps an upstream from accepting a request.
 * @returns Milliseconds until one of them that may answer accepts a request; undefined if none is known to do so at some time.
 */
export function computeShortestWait(upstreams: readonly GatewayUpstream[], {excluded, permitted}: Eligibility, findObstacle: ObstacleFinder): number | undefined {
	let shortest: number | undefined;
	for (const upstream of upstreams) {
		if (excluded.has(upstream.id) || permitted?.has(upstream.id) === false) {
			continue;
		}

		const obstacle = findObstacle(upstream);
		const wait = obstacle === undefined ? 0 : waitOf(obstacle);
		if (wait !== undefined && (shortest === undefined || wait < shortest)) {
			shortest = wait;
		}
	}

	return shortest;
}

/**
 * @param upstreams - Upstreams of a service.
 * @param findObstacle - Finds what keeps an upstream from accepting a request.
 * @returns Number of upstreams by what keeps them from accepting a request, for the log.
 */
export function countObstacles(upstreams: readonly GatewayUpstream[], findObstacle: ObstacleFinder): Readonly<Partial<Record<Obstacle['type'], number>>> {
	const counts: Partial<Record<Obstacle['type'], number>> = {};
	for (const upstream of upstreams) {
		const type = findObstacle(upstream)?.type;
		if (type !== undefined) {
			counts[type] = (counts[type] ?? 0) + 1;
		}
	}

	return counts;
}

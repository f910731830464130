/**
 * Decides whether a response that ended with its connection is whole. The connection of a process that is killed ends in the same way, and so
 * does one that another host carries if that host is killed: only who has outlived the end can tell.
 */
import {assertNever} from '../../utils/common.js';
import {type GatewayUpstream} from '../types.js';

/** How the connection of an upstream ended that a host carried for another one. */
export type CarriedEnd
	/** Without a reset. */
	= | 'proper'
	/** By a reset, while the links of the host to other upstreams were sound. */
		| 'broken'
	/** By a reset, perhaps as the host has lost its own link. */
		| 'doubtful'
	/** It hasn't ended. */
		| 'open'
	/** The host doesn't remember the tunnel, or doesn't read it at present. */
		| 'unknown';

/** What the host that carried a tunnel says of its end. */
export type StatedEnd = CarriedEnd
	/** The same process of the host runs, but doesn't state ends: an earlier release, which resets tunnels unless they ended properly. */
	| 'unstated'
	/** Its process gave no reply: it may have been killed. */
	| 'none';

/** Whether the process of an upstream that began a response has outlived its end. */
export type ProcessState = 'ended' | 'running' | 'unknown';

/** State of the process that accepted a connection; `silent` if it holds the connection and doesn't answer. */
export type WitnessState = ProcessState | 'silent';

/** What a second connection to an upstream, its witness, shows after a response of the upstream has ended. Times are in milliseconds. */
export type Testimony = {
	readonly establishedAt: number;
	readonly state: WitnessState;
};

/** Times in milliseconds of a response that has ended with its connection. */
export type ResponseTimes = {
	/** When the head was read. */
	readonly headAt: number;
	/** Last time at which its connection is known not to have ended. */
	readonly openAt: number;
	/** When its end was read. */
	readonly endAt: number;
	/** Whether this host stood still since it sent the request, so that the end may be older than it seems. */
	readonly hasStalled: boolean;
};

/** Time in milliseconds after the end of a response within which an upstream that was killed isn't back yet. */
const promptMs = 25;

/** Length in milliseconds of a response that may be over before a witness has been found. */
const shortResponseMs = 250;

/** Time in milliseconds by which the registration of an upstream that is back is in the store. */
const registrationMs = 250;

/**
 * @param end - What the host that carried a connection says of its end.
 * @returns Whether the upstream ended it, and without a reset.
 */
export function isProperEnd(end: StatedEnd): boolean {
	switch (end) {
		case 'proper':
		case 'unstated': {
			return true;
		}

		case 'broken':
		case 'doubtful':
		case 'open':
		case 'unknown':
		case 'none': {
			return false;
		}

		default: {
			return assertNever(end);
		}
	}
}

/**
 * @param end - What the host that carried a connection says of its end.
 * @returns Whether the upstream ended it before its response was complete, rather than a link or the host.
 */
export function isUpstreamsEnd(end: StatedEnd): boolean {
	return end === 'proper' || end === 'broken';
}

/**
 * @param testimony - What a witness shows.
 * @param times - Times of the response.
 * @returns State of the process that began the response; `unconfirmed` if the upstream runs, but perhaps as another process.
 */
export function judgeTestimony(testimony: Testimony, times: ResponseTimes): ProcessState | 'unconfirmed' {
	const isSameProcess = testimony.establishedAt <= times.openAt;
	switch (testimony.state) {
		case 'running': {
			return isSameProcess || isPrompt(testimony, times) ? 'running' : 'unconfirmed';
		}

		// Something between may accept connections and pass nothing.
		case 'silent': {
			return isSameProcess ? 'running' : 'unknown';
		}

		case 'ended':
		case 'unknown': {
			return testimony.state;
		}

		default: {
			return assertNever(testimony.state);
		}
	}
}

/** Whether no other process can have accepted a late connection than the one that sent the response. */
function isPrompt({establishedAt}: Testimony, {headAt, endAt, hasStalled}: ResponseTimes): boolean {
	return !hasStalled && endAt - headAt <= shortResponseMs && establishedAt - endAt <= promptMs;
}

/**
 * Decides whether an upstream that runs under its id is still the process that began a response.
 *
 * @param upstream - Upstream as it was registered when the request was sent.
 * @param registered - Its present registration.
 * @param since - Milliseconds from the end of the response to the last time at which the registrations were confirmed.
 * @returns State of the process that began the response; undefined as long as another one may not have registered yet.
 */
export function findRegisteredState(upstream: GatewayUpstream, registered: GatewayUpstream | undefined, since: number): ProcessState | undefined {
	if (registered === undefined || registered.started !== upstream.started) {
		return 'ended';
	}

	if (upstream.started === undefined) {
		return 'unknown';
	}

	return since >= registrationMs ? 'running' : undefined;
}

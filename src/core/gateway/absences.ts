/**
 * What hosts tell each other of upstreams that are not there. Answers crashes of many engines at once before hundreds of hosts: an engine
 * that has crashed looks idle, and each host would find each of them by a request of its own.
 */
import {assertNever} from '../utils/common.js';
import {type Verdict} from './health.js';

/** How an upstream was found absent. */
export type AbsenceReason
	/** Nothing listens at its address. */
	= | 'refused'
	/** Another process answers at its address. */
		| 'replaced'
	/** Nothing came from it. */
		| 'silent';

export type Absence = {
	readonly upstream: string;
	readonly reason: AbsenceReason;
	/** Whether it holds seen from any failure domain, not just from that of the host that tells. */
	readonly isForAll: boolean;
};

/**
 * Where links between failure domains are cut, connections are refused or silent though the upstream lives. Whoever reaches another process
 * there has reached its address.
 *
 * @param upstream - Upstream that was found absent.
 * @param reason - How.
 * @param upstreamDomain - Its failure domain, if it is known.
 * @param hostDomain - Failure domain of the host that found it so.
 * @returns What that host tells.
 */
export function absenceOf(upstream: string, reason: AbsenceReason, upstreamDomain: string | undefined, hostDomain: string): Absence {
	return {upstream, reason, isForAll: reason === 'replaced' || upstreamDomain === hostDomain};
}

/**
 * @param absence - What a host was told.
 * @param senderDomain - Failure domain of the host that told it.
 * @param hostDomain - Its own failure domain.
 * @returns Whether it holds there too.
 */
export function holdsAt({isForAll}: Absence, senderDomain: string, hostDomain: string): boolean {
	return isForAll || senderDomain === hostDomain;
}

/**
 * @param reason - How a peer found an upstream absent.
 * @returns What that says of the upstream here: silence may be due to the peer's own link or a lost packet, and counts less.
 */
export function verdictFrom(reason: AbsenceReason): Verdict {
	switch (reason) {
		case 'refused': {
			return 'unreachable';
		}

		case 'replaced': {
			return 'replaced';
		}

		case 'silent': {
			return 'broken';
		}

		default: {
			return assertNever(reason);
		}
	}
}

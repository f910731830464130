/**
 * Absences: reports between hosts about upstreams that are not there. A crashed engine looks idle, so without these reports each of hundreds
 * of hosts would lose a request to find each crashed engine.
 */
import {assertNever} from '../../utils/common.js';
import {type Verdict} from './health.js';

/** How a host found an upstream absent. */
export type AbsenceReason
	/** Nothing listens at its address. */
	= | 'refused'
	/** Another process answers at its address. */
		| 'replaced'
	/** It did not respond. */
		| 'silent';

export type Absence = {
	readonly upstream: string;
	readonly reason: AbsenceReason;
	/** Whether it applies in all failure domains, not only in that of the host that reports it. */
	readonly isForAll: boolean;
};

/**
 * Creates the report of an absence. A refusal or silence seen from another failure domain does not apply in all of them: the link may be cut
 * while the upstream is alive. `replaced` applies in all of them: another process answered at the address, so the link works.
 *
 * @param upstream - Upstream that was found absent.
 * @param reason - How it was found absent.
 * @param upstreamDomain - Failure domain of the upstream, if known.
 * @param hostDomain - Failure domain of the host that found it absent.
 * @returns The absence to report.
 */
export function createAbsence(upstream: string, reason: AbsenceReason, upstreamDomain: string | undefined, hostDomain: string): Absence {
	return {upstream, reason, isForAll: reason === 'replaced' || upstreamDomain === hostDomain};
}

/** An upstream that a host has reported as silent answers again. */
export type UpstreamReturn = Omit<Absence, 'reason'>;

/**
 * @param report - Absence or return that a peer reported.
 * @param senderDomain - Failure domain of the peer.
 * @param hostDomain - Failure domain of the receiving host.
 * @returns Whether it applies to the receiving host.
 */
export function appliesIn({isForAll}: Pick<Absence, 'isForAll'>, senderDomain: string, hostDomain: string): boolean {
	return isForAll || senderDomain === hostDomain;
}

/**
 * @param reason - How a peer found an upstream absent, unless it was silent.
 * @returns Verdict for this host.
 */
export function absenceToVerdict(reason: Exclude<AbsenceReason, 'silent'>): Verdict {
	switch (reason) {
		case 'refused': {
			return 'unreachable';
		}

		case 'replaced': {
			return 'replaced';
		}

		default: {
			return assertNever(reason);
		}
	}
}

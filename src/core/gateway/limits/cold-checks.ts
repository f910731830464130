/**
 * Decides which health checks a host sends to learn of cold upstreams. Registrations state that an upstream is cold, but a host whose view of
 * them isn't confirmed doesn't learn of it. Each upstream is checked at most once a second by one host of each failure domain, as checks cost
 * the upstream work. Times are monotonic, in milliseconds.
 */
import {hashText, mixHashes, selectTopRanked} from '../../utils/hashes.js';
import {type Obstacle} from '../placement/eligibility.js';

/** Age above which the view of the registrations isn't confirmed. */
export const maxConfirmedAgeMs = 2000;

/** Least time between two checks of an upstream by the hosts of one failure domain. */
const minCheckIntervalMs = 1000;

/** Most checks that a host sends a second: 30 take 2% of a core. A host that more upstreams are assigned to checks each less often. */
const maxChecksPerSecond = 30;
const msPerSecond = 1000;

/**
 * Time for which a host must have been selected before it checks an upstream that another one checked. Until the hosts of a large fleet are
 * linked with the successor of a lost relay, 1.8 to 2.4 s after the loss, each of them takes itself for the successor.
 */
const takeoverDelayMs = 3000;

/** Time after a suspension or stall in which the registrations may not have been confirmed yet. */
const resumeDelayMs = 1000;

/** Longest time between two updates of a host that was neither suspended nor stalled; several times the usual one. */
const maxGapMs = 700;

/**
 * Time before the end of a known cold time from which the upstream is checked again, as it may have become cold anew. An earlier check would
 * change nothing, and take a request of its rate from callers.
 */
const recheckLeadMs = 2000;

/** What a host knows of its own situation. */
export type CheckSituation = {
	readonly now: number;
	/** Time since the view of the registrations was last confirmed. */
	readonly confirmedAge: number;
	/** Hosts of this failure domain that may check, as far as they are linked; the same at all of them while no link is lost. */
	readonly hosts: readonly string[];
};

/** Upstream that may be checked. */
export type CheckTarget = {
	readonly upstream: string;
	/** End of its cold time; undefined if it isn't known to be cold. */
	readonly coldUntil?: number;
	/** What keeps it from accepting a request at present. */
	readonly obstacle?: Obstacle;
	/** Whether its failure domain can be reached. */
	readonly isReachable: boolean;
};

/** Checks that are due. */
export type DueChecks = {
	/** Upstreams to check now. */
	readonly sent: readonly string[];
	/** Upstreams that accept no request now, so that their check is skipped. */
	readonly skipped: readonly string[];
};

type Member = {readonly name: string; readonly hash: number};

/** Whether the result of a check matters: an upstream that has left or is evacuated gets no requests. */
function isUseful({coldUntil, obstacle, isReachable}: CheckTarget, now: number): boolean {
	const isKnownCold = coldUntil !== undefined && coldUntil - now > recheckLeadMs;
	return isReachable && !isKnownCold && obstacle?.type !== 'departure' && obstacle?.type !== 'evacuation';
}

function isSame(a: readonly Member[], b: readonly Member[]): boolean {
	return a.length === b.length && a.every(({name}, index) => name === b[index]?.name);
}

export class ColdChecks {
	readonly #self: string;
	readonly #domainHash: number;
	#members: readonly Member[] = [];
	#changedAt = Number.NEGATIVE_INFINITY;
	/** Members before the last changes, if they were the same for the time after which a host takes over. */
	#previous: readonly Member[] = [];
	#updatedAt = Number.NEGATIVE_INFINITY;
	#resumedAt = Number.NEGATIVE_INFINITY;
	#isUnconfirmed = false;
	/** When each upstream is due for its next check, by upstream. */
	readonly #nextAt = new Map<string, number>();

	/**
	 * @param self - Name of this host.
	 * @param failureDomain - Its failure domain.
	 */
	constructor(self: string, failureDomain: string) {
		this.#self = self;
		this.#domainHash = hashText(failureDomain);
	}

	/** Whether the view of the registrations isn't confirmed, so that upstreams are checked. */
	get isUnconfirmed(): boolean {
		return this.#isUnconfirmed;
	}

	/**
	 * Records the situation of this host; to be called several times a second. After a suspension or stall the host has had no chance to
	 * confirm its registrations, and checks nothing for a second.
	 *
	 * @param situation - Present situation.
	 */
	update({now, confirmedAge, hosts}: CheckSituation): void {
		const members = hosts.map(name => ({name, hash: hashText(name)})).toSorted((a, b) => a.hash - b.hash);
		if (now - this.#updatedAt > maxGapMs) {
			this.#resumedAt = now;
		}

		if (!isSame(members, this.#members)) {
			this.#previous = this.#isSettled(now) ? this.#members : this.#previous;
			this.#members = members;
			this.#changedAt = now;
		}

		this.#updatedAt = now;
		this.#isUnconfirmed = confirmedAge > maxConfirmedAgeMs && now - this.#resumedAt >= resumeDelayMs;
	}

	/**
	 * @param upstream - Upstream.
	 * @returns Whether this host is the one of its failure domain that checks the upstream.
	 */
	isAssigned(upstream: string): boolean {
		return this.#isSelected(upstream, this.#members) && (this.#isSettled(this.#updatedAt) || this.#isSelected(upstream, this.#previous));
	}

	/**
	 * Selects the checks that are due, and counts them as made.
	 *
	 * @param targets - Upstreams that are assigned to this host and have no check under way.
	 * @returns The checks; none while the view of the registrations is confirmed.
	 */
	takeDue(targets: readonly CheckTarget[]): DueChecks {
		const now = this.#updatedAt;
		const interval = Math.max(minCheckIntervalMs, targets.length * msPerSecond / maxChecksPerSecond);
		const due = this.#isUnconfirmed ? targets.filter(target => isUseful(target, now) && this.#isDue(target.upstream, now, interval)) : [];
		for (const {upstream} of due) {
			this.#nextAt.set(upstream, now + interval);
		}

		return {
			sent: due.filter(({obstacle}) => obstacle === undefined).map(({upstream}) => upstream),
			skipped: due.filter(({obstacle}) => obstacle !== undefined).map(({upstream}) => upstream),
		};
	}

	/** Removes what has no effect any more: upstreams whose next check has been due for a while, as they are not assigned to this host now. */
	removeEnded(): void {
		for (const [upstream, nextAt] of this.#nextAt) {
			if (this.#updatedAt - nextAt > minCheckIntervalMs) {
				this.#nextAt.delete(upstream);
			}
		}
	}

	#isSettled(now: number): boolean {
		return now - this.#changedAt >= takeoverDelayMs;
	}

	#isSelected(upstream: string, members: readonly Member[]): boolean {
		return selectTopRanked(hashText(upstream), members, 1)[0]?.name === this.#self;
	}

	/** The first checks are spread over an interval, differently in each failure domain. */
	#isDue(upstream: string, now: number, interval: number): boolean {
		const nextAt = this.#nextAt.get(upstream) ?? now + (mixHashes(this.#domainHash, hashText(upstream)) % interval);
		this.#nextAt.set(upstream, nextAt);
		return nextAt <= now;
	}
}

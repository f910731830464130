/**
 * Remembers upstreams that fell silent until they send something again. Silence is no crash: an upstream that answers has its usual share at
 * once, at all hosts, unless it falls silent again and again.
 */
import {dropOldest} from '../../utils/bounded.js';

/** Half-life of what silence counts, in milliseconds. */
const halfLifeMs = 2500;

/** Backoff after silence that this host has met, in milliseconds; doubles each time up to the maximum. */
const minBackoffMs = 250;
const maxBackoffMs = 2000;

/** Most failed attempts that silence counts as. */
const maxWeight = 4;

/** Time in milliseconds within which reports of peers, or checks without an answer, count once: the silence is the same. */
const sameSilenceMs = 500;

/** Time in milliseconds between two reports to peers while an upstream stays silent. */
const reportIntervalMs = 1000;

/** Time in milliseconds after a return in which reports of the silence that it has ended arrive. */
const settleMs = 800;

/** Time in milliseconds within which an upstream that falls silent again isn't trusted as before when it returns. */
const flapMs = 10_000;

/** Time in milliseconds between two checks by the first host that met the silence, at the beginning and later, by others, and while an answer is awaited. */
const firstIntervalMs = 250;
const laterIntervalMs = 500;
const otherIntervalMs = 1500;
const awaitedIntervalMs = 1000;
const beginningMs = 5000;

/** Time in milliseconds after the last unanswered attempt for which an upstream is checked, and most that are checked. */
const checkedMs = 30_000;
const maxChecked = 8;

/** Upstreams that are kept. */
const maxUpstreams = 256;

/** By what a silence has ended. */
export type SilenceEnd
	/** This host had met it, and has told peers. */
	= | 'met'
	/** Only peers have reported it. */
		| 'reported';

/** Evidence of silence; `weight` is the number of failed attempts that it counted as at `at`. */
type Evidence = {
	readonly weight: number;
	readonly at: number;
};

type Encounter = Evidence & {
	/** Unanswered attempts. */
	readonly count: number;
	readonly metAt: number;
	readonly backedOffUntil: number;
	/** Whether no peer had reported the silence before. */
	readonly isFirst: boolean;
	/** Times of the last check and of the next one. */
	readonly checkedAt: number;
	readonly checkAt: number;
	readonly reportedAt: number;
};

type Silence = {
	readonly since: number;
	/** What this host has met. */
	readonly encounter?: Encounter;
	/** What peers have reported. */
	readonly report?: Evidence;
};

type Return = {
	readonly at: number;
	/** Silences before, each soon after the return from the previous one. */
	readonly flaps: number;
};

const nothing: Evidence = {weight: 0, at: 0};

function decay({weight, at}: Evidence, now: number): number {
	return weight * (0.5 ** (Math.max(now - at, 0) / halfLifeMs));
}

/** Counts one more failed attempt, once for evidence of the same moment. */
function addOnce(evidence: Evidence | undefined, now: number): Evidence {
	if (evidence !== undefined && now - evidence.at < sameSilenceMs) {
		return evidence;
	}

	return {weight: Math.min(decay(evidence ?? nothing, now) + 1, maxWeight), at: now};
}

/** Silent upstreams. Times are monotonic, in milliseconds. */
export class SilentUpstreams {
	readonly #silences = new Map<string, Silence>();
	readonly #returns = new Map<string, Return>();

	/**
	 * Records that an attempt of this host found an upstream silent.
	 *
	 * @param upstream - Upstream.
	 * @param now - Time.
	 */
	meet(upstream: string, now: number): void {
		const silence = this.#silences.get(upstream);
		const {encounter, report} = silence ?? {};
		const count = encounter?.count ?? 0;
		const isFirst = encounter?.isFirst ?? (report === undefined || now - report.at >= otherIntervalMs);
		this.#set(upstream, {
			since: now,
			...silence,
			encounter: {
				weight: Math.min(decay(encounter ?? nothing, now) + 1, maxWeight),
				at: now,
				count: count + 1,
				metAt: now,
				backedOffUntil: now + Math.min(minBackoffMs * (2 ** count), maxBackoffMs),
				isFirst,
				checkedAt: encounter?.checkedAt ?? Number.NEGATIVE_INFINITY,
				checkAt: encounter?.checkAt ?? now + (isFirst ? firstIntervalMs : otherIntervalMs),
				reportedAt: now,
			},
		});
	}

	/**
	 * Records that a peer reports an upstream as silent; ignored just after its return.
	 *
	 * @param upstream - Upstream.
	 * @param now - Time.
	 * @returns Whether the silence wasn't known.
	 */
	recordReport(upstream: string, now: number): boolean {
		const silence = this.#silences.get(upstream);
		if (silence === undefined && now - (this.#returns.get(upstream)?.at ?? Number.NEGATIVE_INFINITY) < settleMs) {
			return false;
		}

		this.#set(upstream, {since: now, ...silence, report: addOnce(silence?.report, now)});
		return silence === undefined;
	}

	/**
	 * Records that an upstream has sent something to this host.
	 *
	 * @param upstream - Upstream.
	 * @param now - Time.
	 * @returns By what its silence was known that has ended; undefined if it wasn't.
	 */
	recordLife(upstream: string, now: number): SilenceEnd | undefined {
		const silence = this.#silences.get(upstream);
		if (silence === undefined) {
			return undefined;
		}

		this.#end(upstream, silence, now);
		return silence.encounter === undefined ? 'reported' : 'met';
	}

	/**
	 * Records that a peer reports the return of an upstream. What this host has met itself isn't forgotten on a peer's word, but checked now.
	 *
	 * @param upstream - Upstream.
	 * @param now - Time.
	 * @returns Whether a silence has ended.
	 */
	recordReturn(upstream: string, now: number): boolean {
		const silence = this.#silences.get(upstream);
		if (silence === undefined) {
			return false;
		}

		const {since, encounter} = silence;
		if (encounter === undefined) {
			this.#end(upstream, silence, now);
			return true;
		}

		const earliest = Math.max(now, encounter.checkedAt + firstIntervalMs);
		this.#silences.set(upstream, {since, encounter: {...encounter, checkAt: Math.min(encounter.checkAt, earliest)}});
		return false;
	}

	/**
	 * @param now - Time.
	 * @param isAwaited - Returns whether a request waits for an upstream, whose answer would show its return.
	 * @returns Upstreams that this host is to check now.
	 */
	listDue(now: number, isAwaited: (upstream: string) => boolean): readonly string[] {
		return [...this.#silences]
			.flatMap(([upstream, {since, encounter}]) => encounter !== undefined && now - encounter.metAt < checkedMs ? [{upstream, since, encounter}] : [])
			.slice(0, maxChecked)
			.filter(({upstream, since, encounter: {checkAt, checkedAt}}) => now >= checkAt && (now - Math.max(since, checkedAt) >= awaitedIntervalMs || !isAwaited(upstream)))
			.map(({upstream}) => upstream);
	}

	/**
	 * @param upstream - Upstream that is checked now.
	 * @param now - Time.
	 */
	noteCheck(upstream: string, now: number): void {
		this.#change(upstream, (encounter, {since}) => {
			const interval = now - since < beginningMs ? firstIntervalMs : laterIntervalMs;
			return {...encounter, checkedAt: now, checkAt: now + (encounter.isFirst ? interval : otherIntervalMs)};
		});
	}

	/**
	 * Records that an upstream has not answered a check.
	 *
	 * @param upstream - Upstream.
	 * @param now - Time.
	 * @returns Whether peers are to be told that it is still silent.
	 */
	recordUnanswered(upstream: string, now: number): boolean {
		const {encounter} = this.#silences.get(upstream) ?? {};
		if (encounter === undefined) {
			return false;
		}

		const isReported = now - encounter.reportedAt >= reportIntervalMs;
		this.#change(upstream, () => ({...encounter, ...addOnce(encounter, now), reportedAt: isReported ? now : encounter.reportedAt}));
		return isReported;
	}

	/**
	 * @param upstream - Upstream.
	 * @param now - Time.
	 * @returns Failed attempts that its silence counts as, and those before its return if it has fallen silent again and again.
	 */
	computeWeight(upstream: string, now: number): number {
		const {encounter, report} = this.#silences.get(upstream) ?? {};
		const last = this.#returns.get(upstream);
		return Math.max(decay(encounter ?? nothing, now), decay(report ?? nothing, now), last === undefined ? 0 : decay({weight: last.flaps, at: last.at}, now));
	}

	/**
	 * @param upstream - Upstream.
	 * @param now - Time.
	 * @returns Whether it is backed off, as this host has met its silence.
	 */
	isBackedOff(upstream: string, now: number): boolean {
		return (this.#silences.get(upstream)?.encounter?.backedOffUntil ?? Number.NEGATIVE_INFINITY) > now;
	}

	/**
	 * @param upstream - Upstream that has restarted, is no longer registered, or whose link was to blame.
	 */
	forget(upstream: string): void {
		this.#silences.delete(upstream);
		this.#returns.delete(upstream);
	}

	#end(upstream: string, {since}: Silence, now: number): void {
		const previous = this.#returns.get(upstream);
		const pause = previous === undefined ? Number.POSITIVE_INFINITY : since - previous.at;
		const flaps = pause < settleMs ? previous!.flaps : (pause < flapMs ? Math.min(previous!.flaps + 1, maxWeight) : 0);
		this.#silences.delete(upstream);
		this.#returns.delete(upstream);
		this.#returns.set(upstream, {at: now, flaps});
		dropOldest(this.#returns, maxUpstreams);
	}

	#set(upstream: string, silence: Silence): void {
		this.#silences.delete(upstream);
		this.#silences.set(upstream, silence);
		dropOldest(this.#silences, maxUpstreams);
	}

	#change(upstream: string, change: (encounter: Encounter, silence: Silence) => Encounter): void {
		const silence = this.#silences.get(upstream);
		if (silence?.encounter !== undefined) {
			this.#silences.set(upstream, {...silence, encounter: change(silence.encounter, silence)});
		}
	}
}

/**
 * Learns how fast each engine is, relative to the speed that its configuration states. Answers the load of a fleet in which some engines
 * are several times slower than others for seconds: their queues and iterations are then predicted too short.
 */

/** Phase of a request at an engine. */
export type Phase = 'decode' | 'prefill';

/** Speed of an engine in each phase; 1 is the speed that the configuration states, 0.25 is four times slower. */
export type Pace = Readonly<Record<Phase, number>>;

/** Pace of an engine of which nothing else is known. */
export const configuredPace: Pace = {decode: 1, prefill: 1};

/** Finds the pace of an engine at a monotonic time in milliseconds. */
export type PaceFinder = (upstream: string, now: number) => Pace;

/** A measured duration. */
export type PaceSample = {
	readonly upstream: string;
	readonly phase: Phase;
	/** Milliseconds at the speed that the configuration states. */
	readonly configured: number;
	/** Milliseconds measured. */
	readonly measured: number;
	/** Monotonic time in milliseconds. */
	readonly at: number;
	/** Whether the measured time is an estimate, so that a long sample counts no more than a short one. */
	readonly isEstimate?: boolean;
};

/** Pace that a peer has learned. */
export type PaceReport = {
	/** Host that has learned it. */
	readonly host: string;
	readonly upstream: string;
	/** Start of the process that was measured, as in its registration. */
	readonly started?: number;
	readonly phase: Phase;
	readonly pace: number;
	/** Weight of the samples behind it. */
	readonly confidence: number;
	/** Monotonic time of the latest sample in milliseconds. */
	readonly at: number;
};

type Evidence = {
	/** Logarithm of the pace. */
	readonly logarithm: number;
	readonly weight: number;
	readonly at: number;
	/** Host that reported it; undefined for a sample of this host. */
	readonly host?: string;
	/** When this host has measured it. */
	readonly span?: Span;
	/** Whether the engine may have been silent then. */
	readonly isGap?: boolean;
};

type Span = {
	readonly from: number;
	readonly to: number;
};

type EngineEvidence = Record<Phase, Evidence[]> & {
	readonly sharedAt: Record<Phase, number>;
};

/** Slowest and fastest pace; values beyond are clamped. */
const minPace = 1 / 16;
export const maxPace = 4;

/** Paces within this factor of 1 count as 1: the prefill of a prompt that is not known here yet lengthens single iterations as much. */
const clearFactor = 1.6;

/** Weight from which the evidence counts, that of a long measurement, and the most that a report has. */
const minWeight = 2;
const strongWeight = 2;
const maxReportWeight = 6;

/** Share of the evidence that has to agree: after a stall of this host, a long time between events is followed by short ones. */
const agreeingShare = 0.51;

/** Configured duration, in milliseconds, from which a sample counts as much as several short ones. */
const strongSampleMs = 300;

/** Evidence keeps its weight for this long, then loses half of it in each half-life; both in milliseconds. */
const freshMs = 2000;
const halfLifeMs = 700;
const maxAgeMs = 6000;

/**
 * Time between two events, in milliseconds beyond the configured one, that may be silence of the engine: all streams show the same silence,
 * which counts once and says nothing of prefills. An engine that is slow shows it again with the next events.
 */
const gapMs = 800;

/** Bounds of what is kept. */
const maxEvidence = 9;
const maxEngines = 2048;

/** Shortest time between two reports on one engine in milliseconds. */
const shareIntervalMs = 1000;

/**
 * @param pace - Pace from a message.
 * @returns Whether it can be a pace: a finite number above zero.
 */
export function isPace(pace: number): boolean {
	return Number.isFinite(pace) && pace > 0;
}

/** Whether most of a measured time is a gap. */
function isWithin({from, to}: Span, gap: Span): boolean {
	return Math.min(to, gap.to) - Math.max(from, gap.from) > Math.max(gapMs, (to - from) / 2);
}

function clampedLogarithm(pace: number): number {
	return Math.log(Math.min(Math.max(pace, minPace), maxPace));
}

function fade(age: number): number {
	return age > maxAgeMs ? 0 : 0.5 ** (Math.max(age - freshMs, 0) / halfLifeMs);
}

type Estimate = {
	readonly logarithm: number;
	readonly weight: number;
	/** Time of the latest evidence. */
	readonly at: number;
};

/** Returns what most of the evidence agrees on; undefined if it is too weak. */
function estimate(evidence: readonly Evidence[], now: number): Estimate | undefined {
	const weighted = evidence.map(({logarithm, weight, at}) => ({logarithm, weight: weight * fade(now - at)})).toSorted((a, b) => a.logarithm - b.logarithm);
	let total = 0;
	for (const {weight} of weighted) {
		total += weight;
	}

	let latest = Number.NEGATIVE_INFINITY;
	for (const {at} of evidence) {
		latest = Math.max(latest, at);
	}

	// The evidence has to suffice when the latest arrives; it may then fade, which moves the pace toward 1 instead of ending it at once.
	let initial = 0;
	for (const {weight, at} of evidence) {
		initial += weight * fade(latest - at);
	}

	if (total === 0 || initial < minWeight) {
		return undefined;
	}

	const logarithm = findAgreed(weighted, total) * fade(now - latest);
	return {logarithm, weight: total, at: latest};
}

/** Returns the least deviation from 1 that the agreeing share of the evidence exceeds in the same direction; 0 if there is none. */
function findAgreed(sorted: ReadonlyArray<Pick<Evidence, 'logarithm' | 'weight'>>, total: number): number {
	let below = 0;
	for (const {logarithm, weight} of sorted) {
		const agreeing = logarithm < 0 ? below + weight : total - below;
		if (logarithm !== 0 && agreeing >= total * agreeingShare) {
			return logarithm;
		}

		below += weight;
	}

	return 0;
}

function toPace(logarithm: number): number {
	return Math.abs(logarithm) < Math.log(clearFactor) ? 1 : Math.exp(logarithm);
}

/** Returns the pace that the evidence shows; undefined if it is too weak. */
function computePace(evidence: readonly Evidence[], now: number): number | undefined {
	const known = evidence.length === 0 ? undefined : estimate(evidence, now);
	return known === undefined ? undefined : toPace(known.logarithm);
}

/** Paces of engines, from this host's samples and its peers' reports. Times are monotonic, in milliseconds. */
export class Paces {
	/** Engines with evidence, the longest unused first. */
	readonly #engines = new Map<string, EngineEvidence>();

	/**
	 * Engines whose pace differs clearly from 1 at present.
	 *
	 * @param now - Time.
	 * @returns Their paces, by id.
	 */
	findUneven(now: number): ReadonlyMap<string, Pace> {
		const uneven = new Map<string, Pace>();
		for (const upstream of this.#engines.keys()) {
			const pace = this.get(upstream, now);
			if (pace !== configuredPace) {
				uneven.set(upstream, pace);
			}
		}

		return uneven;
	}

	/**
	 * @param upstream - Engine.
	 * @param now - Time.
	 * @returns Its pace.
	 */
	get(upstream: string, now: number): Pace {
		const known = this.#engines.get(upstream);
		if (known === undefined) {
			return configuredPace;
		}

		const decode = computePace(known.decode, now) ?? 1;
		// An engine is mostly slow in both phases, and few prompts are long enough to derive the pace of prefills from.
		const prefill = computePace(known.prefill, now) ?? decode;
		return decode === 1 && prefill === 1 ? configuredPace : {decode, prefill};
	}

	/**
	 * @param sample - Measured duration; ignored if it isn't above zero.
	 */
	recordSample({upstream, phase, configured, measured, at, isEstimate = false}: PaceSample): void {
		const pace = configured / measured;
		if (!isPace(pace) || !isPace(measured)) {
			return;
		}

		const span = {from: at - measured, to: at};
		if (this.#engines.get(upstream)?.decode.some(each => each.isGap === true && isWithin(span, each.span!)) === true) {
			return;
		}

		const isGap = phase === 'decode' && measured - configured > gapMs;
		const isStrong = configured >= strongSampleMs && !isEstimate && !isGap;
		this.#add(upstream, phase, {
			logarithm: clampedLogarithm(pace), weight: isStrong ? strongWeight : 1, at, span, isGap,
		});
		if (isGap) {
			const {prefill} = this.#engines.get(upstream)!;
			prefill.splice(0, prefill.length, ...prefill.filter(each => each.span === undefined || !isWithin(each.span, span)));
		}
	}

	/**
	 * @param report - Valid report of a peer; replaces an earlier one of the same host.
	 */
	recordReport({host, upstream, phase, pace, confidence, at}: PaceReport): void {
		this.#add(upstream, phase, {
			logarithm: clampedLogarithm(pace), weight: Math.min(Math.max(confidence, 0), maxReportWeight), at, host,
		});
	}

	/**
	 * Takes the report on an engine that peers are to get now: its pace differs clearly from 1 by this host's own samples, or peers report a
	 * pace that these contradict. Peers' reports are not repeated, so that a pace ends with the evidence for it.
	 *
	 * @param upstream - Engine.
	 * @param phase - Phase.
	 * @param now - Time.
	 * @returns The report, or undefined if there is nothing to report yet.
	 */
	takeReport(upstream: string, phase: Phase, now: number): Omit<PaceReport, 'host'> | undefined {
		const known = this.#engines.get(upstream);
		if (known === undefined || now - known.sharedAt[phase] < shareIntervalMs) {
			return undefined;
		}

		const own = estimate(known[phase].filter(each => each.host === undefined), now);
		if (own === undefined || (toPace(own.logarithm) === 1 && (computePace(known[phase].filter(each => each.host !== undefined), now) ?? 1) === 1)) {
			return undefined;
		}

		known.sharedAt[phase] = now;
		return {
			upstream, phase, pace: Math.exp(own.logarithm), confidence: own.weight, at: own.at,
		};
	}

	/**
	 * @param upstream - Engine that has restarted or is gone.
	 */
	forget(upstream: string): void {
		this.#engines.delete(upstream);
	}

	#add(upstream: string, phase: Phase, evidence: Evidence): void {
		const known = this.#engines.get(upstream) ?? {decode: [], prefill: [], sharedAt: {decode: Number.NEGATIVE_INFINITY, prefill: Number.NEGATIVE_INFINITY}};
		this.#engines.delete(upstream);
		this.#engines.set(upstream, known);
		// Reports may arrive twice, over two paths.
		const previous = known[phase].findIndex(({host}) => host !== undefined && host === evidence.host);
		if (previous !== -1) {
			known[phase].splice(previous, 1);
		}

		known[phase].push(evidence);
		if (known[phase].length > maxEvidence) {
			known[phase].shift();
		}

		if (this.#engines.size > maxEngines) {
			this.#engines.delete(this.#engines.keys().next().value!);
		}
	}
}

/**
 * Infers from crashes which causes are to blame. A crash ends everything that ran at its engine, so that most attempts which ended with it
 * are innocent: a cause is convicted if engines crashed again and again under it, nothing with it was ever answered, and no other cause
 * explains the same crashes better.
 */
import {type Cause} from './causes.js';
import {type Crash, type CrashReport} from './crashes.js';

/** Crashes that convict a cause: two may be a coincidence if engines fail in groups. */
const convictingCrashes = 3;

/** The same for a cause that was answered before, and crashes engines only sometimes. */
const convictingCrashesIfAnswered = 6;

/** Crashes under a cause that was answered before from which on it is suspected. */
const suspectingCrashesIfAnswered = 3;

/** Largest number of causes that were never answered and are likelier to crash engines together than one that was answered before. */
const maxLikelierCauses = 2;

/** How long an answer speaks for a cause. */
const trustMs = 600_000;

/** What is known of causes besides crashes. */
export type CauseKnowledge = {
	/** Returns when a request with the cause was last answered by engines of this version; undefined if it never was. */
	readonly findAnswer: (cause: Cause) => number | undefined;
	/** Returns whether an answer to a request with the cause has begun at engines of this version. */
	readonly hasBegun: (cause: Cause) => boolean;
	/** Returns the time up to which crashes don't count, as an operator has lifted the conviction since. */
	readonly findPardon: (cause: Cause) => number | undefined;
	/** Returns whether it crashed engines of another version, or had been convicted before it was pardoned. */
	readonly hasRecord: (cause: Cause) => boolean;
};

/** Causes that are to blame together, as no request that crashed had only some of them. */
export type Blame = {
	/** Requests with all of them crash engines. */
	readonly causes: readonly Cause[];
	readonly crashes: readonly Crash[];
};

/** Crashes that speak against a cause and that no convicted one explains. */
export type Suspicion = {
	readonly crashes: number;
	/** Time of the last one. */
	readonly last: number;
};

export type Findings = {
	readonly blames: readonly Blame[];
	readonly suspicions: ReadonlyMap<Cause, Suspicion>;
};

type Charge = {
	readonly cause: Cause;
	readonly reports: Map<Crash, CrashReport[]>;
	readonly isTrusted: boolean;
};

/** Returns whether crashes under a cause count, and if so, whether an earlier answer speaks for it. */
function judge(cause: Cause, crash: Crash, knowledge: CauseKnowledge): 'counted' | 'cleared' | 'trusted' {
	const answer = knowledge.findAnswer(cause);
	const pardon = knowledge.findPardon(cause);
	if ((answer !== undefined && answer >= crash.at) || (pardon !== undefined && pardon >= crash.at)) {
		return 'cleared';
	}

	return answer !== undefined && crash.at - answer < trustMs ? 'trusted' : 'counted';
}

/** Adds what one crash says against causes: those with which answers have begun are blamed only if there is nothing else to blame. */
function addCrash(charges: Map<Cause, Charge>, crash: Crash, hasBegun: (cause: Cause) => boolean, knowledge: CauseKnowledge): void {
	for (const isBegun of [false, true]) {
		let isBlamed = false;
		for (const report of crash.reports) {
			for (const cause of report.causes) {
				const verdict = judge(cause, crash, knowledge);
				if (verdict === 'cleared' || (report.hasBegun || hasBegun(cause)) !== isBegun) {
					continue;
				}

				const isTrusted = verdict === 'trusted';
				// Complete answers say more than broken ones.
				if (isTrusted && isBegun) {
					continue;
				}

				isBlamed ||= !isTrusted;
				const charge = charges.get(cause) ?? {cause, reports: new Map<Crash, CrashReport[]>(), isTrusted};
				charge.reports.set(crash, [...charge.reports.get(crash) ?? [], report]);
				charges.set(cause, charge);
			}
		}

		if (isBlamed) {
			return;
		}
	}
}

function listUnexplained({reports}: Charge, explained: ReadonlySet<Crash>): readonly Crash[] {
	return [...reports.keys()].filter(crash => !explained.has(crash));
}

/** Whether one of the attempts was sent after an engine had crashed under the cause: engines that fail in a group do so at once. */
function hasRepetition({reports}: Charge, crashes: readonly Crash[]): boolean {
	const first = Math.min(...crashes.map(({at}) => at));
	return crashes.some(crash => reports.get(crash)!.some(({sent}) => sent > first));
}

function isConvicting(charge: Charge, crashes: readonly Crash[], knowledge: CauseKnowledge): boolean {
	if (!charge.isTrusted && knowledge.hasRecord(charge.cause)) {
		return crashes.length > 0;
	}

	return crashes.length >= (charge.isTrusted ? convictingCrashesIfAnswered : convictingCrashes) && hasRepetition(charge, crashes);
}

/** Whether all of the crashes happened under a few of the given charges. */
function isCovered(crashes: readonly Crash[], charges: readonly Charge[], most: number): boolean {
	const [first] = crashes;
	return first === undefined || (most > 0 && charges.some(({reports}) => reports.has(first) && isCovered(crashes.filter(crash => !reports.has(crash)), charges, most - 1)));
}

/** Returns the charges that may convict; of those against answered causes, the ones whose crashes a few causes don't explain that were never answered. */
function listConvictable(charges: readonly Charge[], knowledge: CauseKnowledge): readonly Charge[] {
	const convicting = charges.filter(charge => isConvicting(charge, [...charge.reports.keys()], knowledge));
	const likelier = convicting.filter(({isTrusted}) => !isTrusted);
	return convicting.filter(({isTrusted, reports}) => !isTrusted || !isCovered([...reports.keys()], likelier, maxLikelierCauses));
}

/** Returns the causes that all attempts with a given one had in common, and that are as likely to blame. */
function findCompanions(charge: Charge, crashes: readonly Crash[], charges: ReadonlyMap<Cause, Charge>, {hasRecord}: CauseKnowledge): readonly Cause[] {
	const reports = crashes.flatMap(crash => charge.reports.get(crash)!);
	return reports[0]!.causes.filter(cause => {
		const other = charges.get(cause);
		return other?.isTrusted === charge.isTrusted
			&& (hasRecord(cause) || !hasRecord(charge.cause))
			&& reports.every(report => report.causes.includes(cause));
	});
}

/**
 * @param crashes - Crashes of engines of one service and version.
 * @param knowledge - What else is known of causes.
 * @returns Which causes are to blame, and which may be.
 */
export function infer(crashes: Iterable<Crash>, knowledge: CauseKnowledge): Findings {
	const charges = new Map<Cause, Charge>();
	const all = [...crashes];
	const begun = new Set(all.flatMap(({reports}) => reports.filter(({hasBegun}) => hasBegun).flatMap(({causes}) => causes)));
	for (const crash of all) {
		addCrash(charges, crash, cause => begun.has(cause) || knowledge.hasBegun(cause), knowledge);
	}

	const explained = new Set<Crash>();
	const blames = new Map<string, Blame>();
	const convictable = listConvictable([...charges.values()], knowledge);
	for (;;) {
		const convicted = convictable
			.map(charge => ({charge, unexplained: listUnexplained(charge, explained)}))
			.filter(({charge, unexplained}) => isConvicting(charge, unexplained, knowledge));
		if (convicted.length === 0) {
			break;
		}

		// Those with most crashes explain them to the others.
		const most = Math.max(...convicted.map(({unexplained}) => unexplained.length));
		const equal = new Map<string, Blame>();
		for (const {charge, unexplained} of convicted.filter(each => each.unexplained.length === most)) {
			const causes = findCompanions(charge, unexplained, charges, knowledge);
			equal.set(causes.toSorted().join(' '), {causes, crashes: unexplained});
		}

		dropCovered(equal);
		for (const [key, blame] of equal) {
			blames.set(key, blame);
			for (const crash of blame.crashes) {
				explained.add(crash);
			}
		}
	}

	const least = listLeast([...blames.values()]);
	return {blames: least, suspicions: listSuspicions(charges, explained, least)};
}

/** Drops blames for crashes all of which others explain that are needed anyway: a cause may have come with several that crash engines. */
function dropCovered(blames: Map<string, Blame>): void {
	const counts = new Map<Crash, number>();
	for (const crash of [...blames.values()].flatMap(({crashes}) => crashes)) {
		counts.set(crash, (counts.get(crash) ?? 0) + 1);
	}

	const needed = [...blames.values()].filter(({crashes}) => crashes.some(crash => counts.get(crash) === 1));
	for (const [key, blame] of blames) {
		if (!needed.includes(blame) && blame.crashes.every(crash => needed.some(({crashes}) => crashes.includes(crash)))) {
			blames.delete(key);
		}
	}
}

/** Leaves out blames for causes of which another blame needs only some. */
function listLeast(blames: readonly Blame[]): readonly Blame[] {
	return blames.filter(({causes}) => !blames.some(other => other.causes.length < causes.length && other.causes.every(cause => causes.includes(cause))));
}

function listSuspicions(charges: ReadonlyMap<Cause, Charge>, explained: ReadonlySet<Crash>, blames: Iterable<Blame>): ReadonlyMap<Cause, Suspicion> {
	const suspicions = new Map<Cause, Suspicion>();
	for (const {causes, crashes} of blames) {
		for (const cause of causes) {
			suspicions.set(cause, {crashes: crashes.length, last: Math.max(...crashes.map(({at}) => at))});
		}
	}

	for (const charge of charges.values()) {
		const unexplained = listUnexplained(charge, explained);
		if (unexplained.length >= (charge.isTrusted ? suspectingCrashesIfAnswered : 1)) {
			suspicions.set(charge.cause, {crashes: unexplained.length, last: Math.max(...unexplained.map(({at}) => at))});
		}
	}

	return suspicions;
}

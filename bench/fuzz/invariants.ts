/** The invariants that every scenario and fuzz run is checked against. */
import {assertNever} from '../../src/core/index.js';
import {retryableKeyCodes} from './retryable-key-codes.js';
import {type Crash, type Ledger, type ReceivedAnswer} from './ledger.js';

export const checks = ['at-most-once', 'true-not-run', 'own-answer', 'answered-in-time', 'bounded-tables', 'expired-not-run', 'holds-freed', 'live-holds-kept', 'few-crashes'] as const;

export type Check = (typeof checks)[number];

export type Violation = {
	readonly check: Check;
	readonly detail: string;
};

/** How long after its deadline a request may be answered: a few ticks. */
const deadlineSlackMs = 250;

/** Largest difference between a host's clock and the simulation's. */
const maxClockErrorMs = 400;

/**
 * Upstreams that one incarnation of a host may lose to a request before it convicts the request: two, and a third that had
 * received it already as it was sent twice at once, or whose crash was attributed to another request. A restart loses the record.
 */
const maxCrashesPerSender = 3;

/**
 * Time that a refusal may take through other hosts. A refusal that leaves its key retryable covers the time before the decision:
 * the key may be sent again and start to run meanwhile.
 */
const maxForwardingMs = 60;

function countBy<T>(all: readonly T[], getKey: (value: T) => string): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (const each of all) {
		counts.set(getKey(each), (counts.get(getKey(each)) ?? 0) + 1);
	}

	return counts;
}

function findRepeatedExecutions({operations, executions}: Ledger): readonly string[] {
	const once = executions.filter(each => operations.get(each.operation)?.idempotent === false);
	return [...countBy(once, each => each.operation)]
		.filter(([, count]) => count > 1)
		.map(([operation, count]) => `${operation} ran ${count} times`);
}

function isRetryable(answer: ReceivedAnswer): boolean {
	return answer.outcome.type === 'not-run' && answer.right.startsWith('k') && retryableKeyCodes.has(answer.outcome.code);
}

/** Returns the time up to which a refusal states that its key has not run; infinite if the key may not run later either. */
function getNotRunUntil(answer: ReceivedAnswer): number {
	if (!isRetryable(answer)) {
		return Number.POSITIVE_INFINITY;
	}

	return answer.at - answer.decidedAt > maxForwardingMs ? answer.at : answer.decidedAt;
}

function findFalseNotRuns(ledger: Ledger): readonly string[] {
	const wrong = ledger.receivedAnswers.filter(each => each.outcome.type === 'not-run'
		&& ledger.operations.get(each.operation)?.idempotent === false
		&& ledger.executions.some(ran => ran.right === each.right && ran.at < getNotRunUntil(each)));
	return wrong.map(each => `${each.operation} under ${each.right}: ${JSON.stringify(each.outcome)} at ${each.at}`);
}

function findForeignAnswers({receivedAnswers: answers, executions}: Ledger): readonly string[] {
	const ran = new Set(executions.map(each => each.operation));
	return answers
		.filter(each => each.outcome.type === 'done' && (each.payload !== each.operation || !ran.has(each.operation)))
		.map(each => `${each.operation} got the answer of ${each.payload ?? 'nobody'}`);
}

function findLateAnswers({hostRequests}: Ledger): readonly string[] {
	return hostRequests
		.filter(each => !each.isExempt && (each.answeredAt ?? Number.POSITIVE_INFINITY) > each.deadline + deadlineSlackMs)
		.map(each => `${each.request} at ${each.host}, due ${each.deadline}: ${each.answeredAt ?? 'never'}`);
}

function findExpiredExecutions({executions}: Ledger): readonly string[] {
	return executions
		.filter(each => each.expires !== undefined && each.at > each.expires + deadlineSlackMs + maxClockErrorMs)
		.map(each => `${each.operation} at ${each.at}, expired ${each.expires}`);
}

/** Finds host incarnations that kept sending a request although they had seen it crash upstreams of the failure domain. */
function findExcessCrashesBySender({crashes}: Ledger): readonly string[] {
	return [...countBy(crashes, each => `${each.operation} in ${each.failureDomain} sent by ${each.sender}`)]
		.filter(([, count]) => count > maxCrashesPerSender)
		.map(([what, count]) => `${what} crashed ${count} upstreams`);
}

/** Leaves out the third crash by a host incarnation that had sent the request there before its second crash: it was sent twice at once. */
function excludeUnavoidableCrashes(crashes: readonly Crash[]): readonly Crash[] {
	const second = new Map<string, number>();
	const counts = new Map<string, number>();
	return crashes.filter(crash => {
		const sender = `${crash.operation} in ${crash.failureDomain} sent by ${crash.sender}`;
		const count = (counts.get(sender) ?? 0) + 1;
		counts.set(sender, count);
		if (count === 2) {
			second.set(sender, crash.at);
		}

		return count !== maxCrashesPerSender || crash.sentAt > second.get(sender)!;
	});
}

function findExcessCrashes({crashes, restarts, crashLimit}: Ledger): readonly string[] {
	const groups = new Map<string, Crash[]>();
	for (const crash of excludeUnavoidableCrashes(crashes)) {
		const what = `${crash.operation} in ${crash.failureDomain}`;
		groups.set(what, [...groups.get(what) ?? [], crash]);
	}

	return [...groups].flatMap(([what, each]) => {
		const restartCount = restarts.filter(at => at > each[0]!.at && at < each.at(-1)!.at).length;
		return each.length > crashLimit + (restartCount * maxCrashesPerSender) ? [`${what} crashed ${each.length} upstreams`] : [];
	});
}

function findFailures(ledger: Ledger, check: Check): readonly string[] {
	switch (check) {
		case 'at-most-once': {
			return findRepeatedExecutions(ledger);
		}

		case 'true-not-run': {
			return findFalseNotRuns(ledger);
		}

		case 'own-answer': {
			return findForeignAnswers(ledger);
		}

		case 'answered-in-time': {
			return findLateAnswers(ledger);
		}

		case 'bounded-tables': {
			return ledger.nonEmptyTables;
		}

		case 'expired-not-run': {
			return findExpiredExecutions(ledger);
		}

		case 'holds-freed': {
			return ledger.unreleasedHolds;
		}

		case 'live-holds-kept': {
			return ledger.holdReleases.filter(each => each.isPremature).map(each => `${each.hold} of ${each.owner} at ${each.at}`);
		}

		case 'few-crashes': {
			return [...findExcessCrashesBySender(ledger), ...findExcessCrashes(ledger)];
		}

		default: {
			return assertNever(check);
		}
	}
}

/**
 * @param ledger - What was observed.
 * @returns Every violation of an invariant.
 */
export function findViolations(ledger: Ledger): readonly Violation[] {
	return checks.flatMap(check => findFailures(ledger, check).map(detail => ({check, detail})));
}

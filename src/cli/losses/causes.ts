/** Attributes each request that was not served in full and in time to one cause, from log lines alone. */
import {assertNever} from '../../core/index.js';
import {lateLoss} from '../../core/gateway/engines/losses.js';
import {
	gatewayLineSchema, type AttemptEndedLine, type EndedLine, type GatewayLine, type NotPlacedLine, type PlacedLine,
} from '../gateway-lines.js';
import {type LogEntry} from '../log-lines.js';

/** A caller that disconnects after longer silence gave up waiting; after less, it no longer wanted the answer. */
const abandonmentSilenceMs = 1900;

/** A failure domain that is found unreachable up to this long after the end of a request explains a pause of it. */
const cutDetectionWindowMs = 3000;

/** A prompt at the same engine that is more than this many times as long as a request's own explains a pause of it. */
const longPromptRatio = 4;

/** Why a request was not served in full and in time. */
export type Cause
	= | 'all engines busy'
		| 'slower than predicted'
		| 'new attempt'
		| 'moved'
		| 'no connection'
		| 'pause beside a long prompt'
		| 'pause while a domain was out of reach'
		| 'pause'
		| 'refused'
		| 'time over'
		| 'broken off'
		| 'outcome unknown'
		| 'failed by the upstream'
		| 'given up by the caller';

export type Loss = {
	readonly request: string;
	/** Milliseconds since 1970 of its first placement, or of its refusal. */
	readonly at: number;
	readonly host: string;
	readonly upstream: string;
	readonly tokens: number;
	readonly cause: Cause;
	/** In requests of usual weight. */
	readonly lost: number;
	/** Milliseconds until its first event: predicted at the first placement, and measured. */
	readonly predicted: number;
	readonly firstByte?: number;
};

export type LossReport = {
	/** Total weight of all requests, served or not. */
	readonly asked: number;
	readonly losses: readonly Loss[];
};

type LoggedLine<Line> = {readonly at: number; readonly host: string; readonly line: Line};

/** Log lines of one request. */
type History = {
	readonly placed: Array<LoggedLine<PlacedLine>>;
	readonly endings: AttemptEndedLine[];
	refused?: LoggedLine<NotPlacedLine>;
	ended?: LoggedLine<EndedLine>;
};

/** Events at engines and failure domains that may explain a pause. */
type Context = {
	/** Requests placed at each engine, as upstream or as helper. */
	readonly byEngine: ReadonlyMap<string, ReadonlyArray<LoggedLine<PlacedLine>>>;
	/** Times at which a failure domain was found unreachable. */
	readonly cuts: readonly number[];
};

function collectHistories(entries: readonly LogEntry[]): ReadonlyMap<string, History> {
	const histories = new Map<string, History>();
	for (const {decision, host, time} of entries) {
		const parsed = gatewayLineSchema.safeParse(decision);
		if (parsed.success && typeof decision.request === 'string') {
			const history: History = histories.get(decision.request) ?? {placed: [], endings: []};
			histories.set(decision.request, history);
			addLine(history, {at: time, host, line: parsed.data});
		}
	}

	return histories;
}

function addLine(history: History, {at, host, line}: LoggedLine<GatewayLine>): void {
	switch (line.type) {
		case 'placed': {
			history.placed.push({at, host, line});
			return;
		}

		case 'attempt-ended': {
			history.endings.push(line);
			return;
		}

		case 'ended': {
			history.ended ??= {at, host, line};
			return;
		}

		case 'not-placed': {
			history.refused = {at, host, line};
			return;
		}

		case 'not-accepted':
		case 'hold-refused':
		case 'hold-unused':
		case 'domain-evacuated':
		case 'domain-evacuation-ended':
		case 'hold-replaced':
		case 'memory-wait':
		case 'memory-granted':
		case 'memory-refused':
		case 'placed-apart':
		case 'conviction-tested':
		case 'refused-as-convicted':
		case 'retry-denied':
		case 'successor-sent':
		case 'successor-missing': {
			return;
		}

		default: {
			assertNever(line);
		}
	}
}

function createContext(entries: readonly LogEntry[], histories: Iterable<History>): Context {
	const byEngine = new Map<string, Array<LoggedLine<PlacedLine>>>();
	for (const each of [...histories].flatMap(({placed}) => placed)) {
		for (const engine of [each.line.upstream, ...each.line.helpers]) {
			const sent = byEngine.get(engine) ?? [];
			sent.push(each);
			byEngine.set(engine, sent);
		}
	}

	const cuts = entries.filter(({decision}) => decision.type === 'domain-unreachable').map(({time}) => time);
	return {byEngine, cuts};
}

/** Why the first attempt was followed by another. */
function findCauseOfRetry(history: History): Cause | undefined {
	// An attempt that was outrun has changed nothing.
	const first = history.endings.find(({reason}) => reason !== 'outrun');
	if (history.placed.length < 2 || first === undefined) {
		return undefined;
	}

	if (first.ending === 'cancelled' && first.reason === 'moved') {
		return 'moved';
	}

	if (first.ending === 'answered') {
		return undefined;
	}

	return first.ending === 'not-run' && first.reason?.startsWith('refused') !== true ? 'no connection' : 'new attempt';
}

function findCauseOfPause(history: History, ended: LoggedLine<EndedLine>, {byEngine, cuts}: Context): Cause {
	const retryCause = findCauseOfRetry(history);
	if (retryCause !== undefined) {
		return retryCause;
	}

	const [first] = history.placed;
	const {upstream, tokens} = first!.line;
	if (cuts.some(at => at > first!.at && at < ended.at + cutDetectionWindowMs)) {
		return 'pause while a domain was out of reach';
	}

	const hasLongPrompt = byEngine.get(upstream)?.some(({at, line}) => at > first!.at && at < ended.at && line.tokens > tokens * longPromptRatio);
	return hasLongPrompt === true ? 'pause beside a long prompt' : 'pause';
}

function findCauseOfDelay(history: History, objective: number): Cause {
	return findCauseOfRetry(history) ?? (history.placed[0]!.line.predicted > objective ? 'all engines busy' : 'slower than predicted');
}

function findCause(history: History, ended: LoggedLine<EndedLine>, context: Context): Cause | undefined {
	const {outcome, firstByte = 0, longestPause = 0, objective = Number.POSITIVE_INFINITY, pause = Number.POSITIVE_INFINITY, silentFor = 0} = ended.line;
	switch (outcome) {
		case 'answered': {
			if (firstByte > objective) {
				return findCauseOfDelay(history, objective);
			}

			return longestPause > pause ? findCauseOfPause(history, ended, context) : undefined;
		}

		case 'caller left': {
			return silentFor > abandonmentSilenceMs ? 'given up by the caller' : undefined;
		}

		case 'failed': {
			return 'failed by the upstream';
		}

		case 'broken off': {
			return 'broken off';
		}

		case 'outcomeUnknown': {
			return 'outcome unknown';
		}

		case 'deadlinePassed':
		case 'deadlineBeforeStart': {
			return 'time over';
		}

		default: {
			return 'refused';
		}
	}
}

/**
 * @param entries - Log entries of all hosts, oldest first.
 * @returns The total weight of requests, and each request that was not served in full and in time. Requests still running don't count.
 */
export function createLossReport(entries: readonly LogEntry[]): LossReport {
	const histories = collectHistories(entries);
	const context = createContext(entries, histories.values());
	const losses: Loss[] = [];
	let asked = 0;
	for (const [request, history] of histories) {
		const first = history.placed[0] ?? history.refused;
		if (first === undefined || history.ended === undefined) {
			continue;
		}

		const {weight = 1, tokens, upstream, predicted} = first.line;
		asked += weight;
		const cause = findCause(history, history.ended, context);
		if (cause !== undefined) {
			const lost = history.ended.line.outcome === 'answered' ? weight * lateLoss : weight;
			losses.push({
				request, at: first.at, host: first.host, upstream, tokens, cause, lost, predicted, firstByte: history.ended.line.firstByte,
			});
		}
	}

	return {asked, losses};
}

/** Puts each request that callers did not get in full and in time to one cause, from log lines alone. */
import {assertNever} from '../../core/index.js';
import {lateLoss} from '../../core/gateway/losses.js';
import {
	gatewaySchema, type AttemptEnded, type Ended, type GatewayLine, type NotPlaced, type Placed,
} from '../gateway-lines.js';
import {type LogEntry} from '../log-lines.js';

/** Milliseconds of silence after which a caller that left is taken to have given up a stream, and not to have changed its mind. */
const givenUpAfter = 1900;

/** Milliseconds for which a failure domain that was found out of reach explains a pause before. */
const cutMemory = 3000;

/** Times as long as a stream's own prompt from which on another prompt at its engine explains a pause. */
const longBeside = 4;

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
	/** Milliseconds since 1970 of its sending. */
	readonly at: number;
	readonly host: string;
	readonly upstream: string;
	readonly tokens: number;
	readonly cause: Cause;
	/** In requests of usual worth. */
	readonly lost: number;
	/** Milliseconds until its first event as predicted when it was sent first, and as it was. */
	readonly predicted: number;
	readonly firstByte?: number;
};

export type Account = {
	/** Worth of all requests that were sent, served or not. */
	readonly asked: number;
	readonly losses: readonly Loss[];
};

type At<Line> = {readonly at: number; readonly host: string; readonly line: Line};

/** What the log says of one request. */
type Story = {
	readonly placed: Array<At<Placed>>;
	readonly endings: AttemptEnded[];
	refused?: At<NotPlaced>;
	ended?: At<Ended>;
};

/** What ran where, to tell what a stream met. */
type Context = {
	/** What was sent to each engine, to answer or to help. */
	readonly byEngine: ReadonlyMap<string, ReadonlyArray<At<Placed>>>;
	/** Times at which a failure domain was found out of reach. */
	readonly cuts: readonly number[];
};

function storiesOf(entries: readonly LogEntry[]): ReadonlyMap<string, Story> {
	const stories = new Map<string, Story>();
	for (const {decision, host, time} of entries) {
		const parsed = gatewaySchema.safeParse(decision);
		if (parsed.success && typeof decision.request === 'string') {
			const story: Story = stories.get(decision.request) ?? {placed: [], endings: []};
			stories.set(decision.request, story);
			addLine(story, {at: time, host, line: parsed.data});
		}
	}

	return stories;
}

function addLine(story: Story, {at, host, line}: At<GatewayLine>): void {
	switch (line.type) {
		case 'placed': {
			story.placed.push({at, host, line});
			return;
		}

		case 'attempt-ended': {
			story.endings.push(line);
			return;
		}

		case 'ended': {
			story.ended ??= {at, host, line};
			return;
		}

		case 'not-placed': {
			story.refused = {at, host, line};
			return;
		}

		case 'hold-refused':
		case 'retry-denied': {
			return;
		}

		default: {
			assertNever(line);
		}
	}
}

function contextOf(entries: readonly LogEntry[], stories: Iterable<Story>): Context {
	const byEngine = new Map<string, Array<At<Placed>>>();
	for (const each of [...stories].flatMap(({placed}) => placed)) {
		for (const engine of [each.line.upstream, ...each.line.helpers]) {
			const sent = byEngine.get(engine) ?? [];
			sent.push(each);
			byEngine.set(engine, sent);
		}
	}

	const cuts = entries.filter(({decision}) => decision.type === 'domain-unreachable').map(({time}) => time);
	return {byEngine, cuts};
}

/** Why another attempt was made. */
function causeOfFirst(story: Story): Cause | undefined {
	const [first] = story.endings;
	if (story.placed.length < 2 || first === undefined) {
		return undefined;
	}

	if (first.ending === 'cancelled' && first.reason === 'moved') {
		return 'moved';
	}

	return first.ending === 'not-run' && first.reason?.startsWith('refused') !== true ? 'no connection' : 'new attempt';
}

function causeOfPause(story: Story, ended: At<Ended>, {byEngine, cuts}: Context): Cause {
	const again = causeOfFirst(story);
	if (again !== undefined) {
		return again;
	}

	const [first] = story.placed;
	const {upstream, tokens} = first!.line;
	if (cuts.some(at => at > first!.at && at < ended.at + cutMemory)) {
		return 'pause while a domain was out of reach';
	}

	const isBeside = byEngine.get(upstream)?.some(({at, line}) => at > first!.at && at < ended.at && line.tokens > tokens * longBeside);
	return isBeside === true ? 'pause beside a long prompt' : 'pause';
}

function causeOfLateness(story: Story, objective: number): Cause {
	return causeOfFirst(story) ?? (story.placed[0]!.line.predicted > objective ? 'all engines busy' : 'slower than predicted');
}

function causeOf(story: Story, ended: At<Ended>, context: Context): Cause | undefined {
	const {outcome, firstByte = 0, longestPause = 0, objective = Number.POSITIVE_INFINITY, pause = Number.POSITIVE_INFINITY, silentFor = 0} = ended.line;
	switch (outcome) {
		case 'answered': {
			if (firstByte > objective) {
				return causeOfLateness(story, objective);
			}

			return longestPause > pause ? causeOfPause(story, ended, context) : undefined;
		}

		case 'caller left': {
			return silentFor > givenUpAfter ? 'given up by the caller' : undefined;
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
 * @param entries - Log lines of all hosts, by time.
 * @returns What was asked, and each request that was not served in full and in time.
 */
export function accountOf(entries: readonly LogEntry[]): Account {
	const stories = storiesOf(entries);
	const context = contextOf(entries, stories.values());
	const losses: Loss[] = [];
	let asked = 0;
	for (const [request, story] of stories) {
		const first = story.placed[0] ?? story.refused;
		if (first === undefined || story.ended === undefined) {
			continue;
		}

		const {weight = 1, tokens, upstream, predicted} = first.line;
		asked += weight;
		const cause = causeOf(story, story.ended, context);
		if (cause !== undefined) {
			const lost = story.ended.line.outcome === 'answered' ? weight * lateLoss : weight;
			losses.push({
				request, at: first.at, host: first.host, upstream, tokens, cause, lost, predicted, firstByte: story.ended.line.firstByte,
			});
		}
	}

	return {asked, losses};
}

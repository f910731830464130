/** Histograms and counts of a run. */
import {build, type Histogram} from 'hdr-histogram-js';
import {codes} from '../../src/core/index.js';
import {cutCode, type Ending} from './client.js';
import {type Planned} from './trace.js';

/** Milliseconds at some percentiles. */
export type Summary = {
	readonly count: number;
	readonly mean: number;
	readonly p50: number;
	readonly p90: number;
	readonly p95: number;
	readonly p99: number;
	readonly p999: number;
	readonly max: number;
};

export type ClassResult = {
	readonly sent: number;
	readonly done: number;
	readonly firstToken: Summary;
	readonly total: Summary;
};

export type OrganisationResult = {
	readonly sent: number;
	readonly done: number;
	/** Prompt and answer tokens of finished requests. */
	readonly tokens: number;
};

export type Result = {
	readonly sent: number;
	/** By result code; -1 stands for answers that were cut. */
	readonly outcomes: Readonly<Record<string, number>>;
	readonly classes: Readonly<Record<string, ClassResult>>;
	readonly organisations: Readonly<Record<string, OrganisationResult>>;
	/** Finished requests whose answer was not whole or not their own. */
	readonly wrongAnswers: number;
	/** Some answers that ended without a result code. */
	readonly cuts: readonly Cut[];
	/** Finished requests that took longer than their time. */
	readonly late: number;
	/** Time until a request was told that it was not run. */
	readonly refusal: Summary;
	/** How late requests were sent; part of every latency. */
	readonly sendingLag: Summary;
	/** Prompt and answer tokens of finished requests, and how many of them finished within the time of sending. */
	readonly tokens: number;
	readonly tokensPerSecond: number;
};

/** An answer that ended without a result code. */
export type Cut = {
	readonly index: number;
	readonly promptTokens: number;
	/** Milliseconds after the intended time, and characters received by then. */
	readonly after: number;
	readonly received: number;
	readonly detail: string;
};

const mostCuts = 20;
const microseconds = 1000;
const firstNotRun = 2000;
const firstFailed = 3000;

function histogram(): Histogram {
	return build({highestTrackableValue: 3_600_000_000, numberOfSignificantValueDigits: 3});
}

function record(into: Histogram, milliseconds: number): void {
	into.recordValue(Math.max(Math.round(milliseconds * microseconds), 0));
}

function summary(of: Histogram): Summary {
	const at = (percentile: number) => of.getValueAtPercentile(percentile) / microseconds;
	return {
		count: of.totalCount,
		mean: of.totalCount === 0 ? 0 : of.mean / microseconds,
		p50: at(50),
		p90: at(90),
		p95: at(95),
		p99: at(99),
		p999: at(99.9),
		max: of.totalCount === 0 ? 0 : of.maxValue / microseconds,
	};
}

/** One finished request as it is counted. */
export type Observation = {
	readonly planned: Planned;
	readonly ending: Ending;
	/** Monotonic times in milliseconds. */
	readonly intendedAt: number;
	readonly sentAt: number;
	readonly isWhole: boolean;
	/** Milliseconds that the request was given. */
	readonly timeout: number;
};

class ClassRecorder {
	sent = 0;
	done = 0;
	readonly firstToken = histogram();
	readonly total = histogram();

	get result(): ClassResult {
		return {
			sent: this.sent, done: this.done, firstToken: summary(this.firstToken), total: summary(this.total),
		};
	}
}

class OrganisationRecorder {
	sent = 0;
	done = 0;
	tokens = 0;

	get result(): OrganisationResult {
		return {sent: this.sent, done: this.done, tokens: this.tokens};
	}
}

export class Recorder {
	readonly #classes = new Map<string, ClassRecorder>();
	readonly #organisations = new Map<string, OrganisationRecorder>();
	readonly #outcomes = new Map<number, number>();
	readonly #cuts: Cut[] = [];
	readonly #refusal = histogram();
	readonly #sendingLag = histogram();
	#sent = 0;
	#wrongAnswers = 0;
	#late = 0;
	#tokens = 0;

	/**
	 * @param observation - A request that is over.
	 */
	add(observation: Observation): void {
		const {planned, ending, intendedAt, sentAt} = observation;
		this.#sent++;
		this.#outcomes.set(ending.code, (this.#outcomes.get(ending.code) ?? 0) + 1);
		record(this.#sendingLag, sentAt - intendedAt);
		this.#classOf(planned).sent++;
		this.#organisationOf(planned).sent++;
		if (ending.code === codes.done) {
			this.#addDone(observation);
		} else if (ending.code === cutCode && this.#cuts.length < mostCuts) {
			const {index, promptTokens} = planned;
			const {detail, content, endedAt} = ending;
			this.#cuts.push({
				index, promptTokens, after: endedAt - intendedAt, received: content.length, detail,
			});
		} else if (ending.code >= firstNotRun && ending.code < firstFailed) {
			record(this.#refusal, ending.endedAt - sentAt);
		}
	}

	/**
	 * @param seconds - Length of the counted part of the run.
	 * @returns What was recorded.
	 */
	result(seconds: number): Result {
		return {
			sent: this.#sent,
			outcomes: Object.fromEntries([...this.#outcomes].map(([code, count]) => [String(code), count])),
			classes: Object.fromEntries([...this.#classes].map(([name, each]) => [name, each.result])),
			organisations: Object.fromEntries([...this.#organisations].map(([id, each]) => [id, each.result])),
			wrongAnswers: this.#wrongAnswers,
			cuts: this.#cuts,
			late: this.#late,
			refusal: summary(this.#refusal),
			sendingLag: summary(this.#sendingLag),
			tokens: this.#tokens,
			tokensPerSecond: this.#tokens / seconds,
		};
	}

	#addDone({planned, ending, intendedAt, isWhole, timeout}: Observation): void {
		const recorder = this.#classOf(planned);
		const total = ending.endedAt - intendedAt;
		recorder.done++;
		record(recorder.firstToken, (ending.firstTokenAt ?? ending.endedAt) - intendedAt);
		record(recorder.total, total);
		this.#wrongAnswers += isWhole ? 0 : 1;
		this.#late += total > timeout ? 1 : 0;
		const tokens = planned.promptTokens + planned.output;
		this.#tokens += tokens;
		const organisation = this.#organisationOf(planned);
		organisation.done++;
		organisation.tokens += tokens;
	}

	#classOf({promptClass}: Planned): ClassRecorder {
		const found = this.#classes.get(promptClass.name) ?? new ClassRecorder();
		this.#classes.set(promptClass.name, found);
		return found;
	}

	#organisationOf({organisation}: Planned): OrganisationRecorder {
		const found = this.#organisations.get(organisation.id) ?? new OrganisationRecorder();
		this.#organisations.set(organisation.id, found);
		return found;
	}
}

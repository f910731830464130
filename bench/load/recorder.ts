/** Records the histograms and counts of a run. */
import {build, type Histogram} from 'hdr-histogram-js';
import {codes} from '../../src/core/index.js';
import {cutCode, type Ending} from './client.js';
import {type PlannedRequest} from './trace.js';

/** Summary of a histogram, in milliseconds. */
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

export type LoadResult = {
	readonly sent: number;
	/** Requests by result code; -1 for answers that ended without one. */
	readonly outcomes: Readonly<Record<string, number>>;
	readonly classes: Readonly<Record<string, ClassResult>>;
	readonly organisations: Readonly<Record<string, OrganisationResult>>;
	/** Finished requests whose answer was incomplete or belonged to another request. */
	readonly wrongAnswers: number;
	/** Answers that ended without a result code; only the first ones are kept. */
	readonly cuts: readonly Cut[];
	/** Finished requests that took longer than their timeout. */
	readonly late: number;
	/** Time until a request was answered as not run. */
	readonly refusal: Summary;
	/** Delay between the intended and the actual time of sending; included in every latency. */
	readonly sendingLag: Summary;
	/** Prompt and answer tokens of finished requests. */
	readonly tokens: number;
	/** Those tokens divided by the counted duration of the scenario. */
	readonly tokensPerSecond: number;
};

/** An answer that ended without a result code. */
export type Cut = {
	readonly index: number;
	readonly promptTokens: number;
	/** Milliseconds after the intended time of sending. */
	readonly after: number;
	/** Characters received. */
	readonly received: number;
	readonly detail: string;
};

const maxCuts = 20;
const microsecondsPerMillisecond = 1000;
const firstNotRunCode = 2000;
const firstFailedCode = 3000;

function createHistogram(): Histogram {
	return build({highestTrackableValue: 3_600_000_000, numberOfSignificantValueDigits: 3});
}

function recordTime(histogram: Histogram, milliseconds: number): void {
	histogram.recordValue(Math.max(Math.round(milliseconds * microsecondsPerMillisecond), 0));
}

function summarize(histogram: Histogram): Summary {
	const at = (percentile: number) => histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
	return {
		count: histogram.totalCount,
		mean: histogram.totalCount === 0 ? 0 : histogram.mean / microsecondsPerMillisecond,
		p50: at(50),
		p90: at(90),
		p95: at(95),
		p99: at(99),
		p999: at(99.9),
		max: histogram.totalCount === 0 ? 0 : histogram.maxValue / microsecondsPerMillisecond,
	};
}

/** One request that has ended, with what is counted of it. */
export type Observation = {
	readonly planned: PlannedRequest;
	readonly ending: Ending;
	/** Monotonic times in milliseconds. */
	readonly intendedAt: number;
	readonly sentAt: number;
	/** Whether the answer is complete and belongs to the request. */
	readonly isCorrect: boolean;
	/** Timeout of the request in milliseconds. */
	readonly timeout: number;
};

class ClassRecorder {
	sent = 0;
	done = 0;
	readonly firstToken = createHistogram();
	readonly total = createHistogram();

	get result(): ClassResult {
		return {
			sent: this.sent, done: this.done, firstToken: summarize(this.firstToken), total: summarize(this.total),
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
	readonly #refusal = createHistogram();
	readonly #sendingLag = createHistogram();
	#sent = 0;
	#wrongAnswers = 0;
	#late = 0;
	#tokens = 0;

	/**
	 * @param observation - A request that has ended.
	 */
	add(observation: Observation): void {
		const {planned, ending, intendedAt, sentAt} = observation;
		this.#sent++;
		this.#outcomes.set(ending.code, (this.#outcomes.get(ending.code) ?? 0) + 1);
		recordTime(this.#sendingLag, sentAt - intendedAt);
		this.#getClassRecorder(planned).sent++;
		this.#getOrganisationRecorder(planned).sent++;
		if (ending.code === codes.done) {
			this.#addDone(observation);
		} else if (ending.code === cutCode && this.#cuts.length < maxCuts) {
			const {index, promptTokens} = planned;
			const {detail, content, endedAt} = ending;
			this.#cuts.push({
				index, promptTokens, after: endedAt - intendedAt, received: content.length, detail,
			});
		} else if (ending.code >= firstNotRunCode && ending.code < firstFailedCode) {
			recordTime(this.#refusal, ending.endedAt - sentAt);
		}
	}

	/**
	 * @param seconds - Duration of the counted part of the run.
	 * @returns The recorded values.
	 */
	result(seconds: number): LoadResult {
		return {
			sent: this.#sent,
			outcomes: Object.fromEntries([...this.#outcomes].map(([code, count]) => [String(code), count])),
			classes: Object.fromEntries([...this.#classes].map(([name, each]) => [name, each.result])),
			organisations: Object.fromEntries([...this.#organisations].map(([id, each]) => [id, each.result])),
			wrongAnswers: this.#wrongAnswers,
			cuts: this.#cuts,
			late: this.#late,
			refusal: summarize(this.#refusal),
			sendingLag: summarize(this.#sendingLag),
			tokens: this.#tokens,
			tokensPerSecond: this.#tokens / seconds,
		};
	}

	#addDone({planned, ending, intendedAt, isCorrect, timeout}: Observation): void {
		const recorder = this.#getClassRecorder(planned);
		const total = ending.endedAt - intendedAt;
		recorder.done++;
		recordTime(recorder.firstToken, (ending.firstTokenAt ?? ending.endedAt) - intendedAt);
		recordTime(recorder.total, total);
		this.#wrongAnswers += isCorrect ? 0 : 1;
		this.#late += total > timeout ? 1 : 0;
		const tokens = planned.promptTokens + planned.output;
		this.#tokens += tokens;
		const organisation = this.#getOrganisationRecorder(planned);
		organisation.done++;
		organisation.tokens += tokens;
	}

	#getClassRecorder({promptClass}: PlannedRequest): ClassRecorder {
		const found = this.#classes.get(promptClass.name) ?? new ClassRecorder();
		this.#classes.set(promptClass.name, found);
		return found;
	}

	#getOrganisationRecorder({organisation}: PlannedRequest): OrganisationRecorder {
		const found = this.#organisations.get(organisation.id) ?? new OrganisationRecorder();
		this.#organisations.set(organisation.id, found);
		return found;
	}
}

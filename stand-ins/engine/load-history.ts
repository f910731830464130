/** Keeps recent load figures, so that they can be reported with a delay. */
import {performance} from 'node:perf_hooks';
import {type EngineLoad} from '../../src/upstream/protocol.js';

type LoadFigures = Omit<EngineLoad, 'age'>;
type Sample = {readonly at: number; readonly figures: LoadFigures};

const samplesPerLag = 4;
const minSampleIntervalMs = 5;

export class LoadHistory implements Disposable {
	readonly #lag: number;
	readonly #measure: () => LoadFigures;
	readonly #timer: NodeJS.Timeout;
	#samples: readonly Sample[];

	/**
	 * @param lag - Minimum age of reported figures in real milliseconds.
	 * @param measure - Returns the current figures.
	 */
	constructor(lag: number, measure: () => LoadFigures) {
		this.#lag = lag;
		this.#measure = measure;
		this.#samples = [{at: performance.now(), figures: measure()}];
		this.#timer = setInterval(() => {
			this.#addSample();
		}, Math.max(lag / samplesPerLag, minSampleIntervalMs)).unref();
	}

	/** Returns the newest figures that are at least as old as the lag, or the oldest if none are. */
	read(): EngineLoad {
		const now = performance.now();
		if (this.#lag === 0) {
			return {...this.#measure(), age: 0};
		}

		const sample = this.#samples.findLast(each => now - each.at >= this.#lag) ?? this.#samples[0]!;
		return {...sample.figures, age: now - sample.at};
	}

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
	}

	#addSample(): void {
		const now = performance.now();
		const firstKept = this.#samples.findLastIndex(each => now - each.at >= this.#lag);
		this.#samples = [...this.#samples.slice(Math.max(firstKept, 0)), {at: now, figures: this.#measure()}];
	}
}

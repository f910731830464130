/** Keeps load figures for a while, so that they can be reported late. */
import {performance} from 'node:perf_hooks';
import {type EngineLoad} from '../../src/upstream/protocol.js';

type Figures = Omit<EngineLoad, 'age'>;
type Sample = {readonly at: number; readonly figures: Figures};

const samplesPerLag = 4;
const shortestInterval = 5;

export class LoadHistory implements Disposable {
	readonly #lag: number;
	readonly #read: () => Figures;
	readonly #timer: NodeJS.Timeout;
	#samples: readonly Sample[];

	/**
	 * @param lag - Age of reported figures in real milliseconds.
	 * @param read - Reads the figures of now.
	 */
	constructor(lag: number, read: () => Figures) {
		this.#lag = lag;
		this.#read = read;
		this.#samples = [{at: performance.now(), figures: read()}];
		this.#timer = setInterval(() => {
			this.#sample();
		}, Math.max(lag / samplesPerLag, shortestInterval)).unref();
	}

	/** The newest figures that are old enough; the first ones where none are yet. */
	read(): EngineLoad {
		const now = performance.now();
		if (this.#lag === 0) {
			return {...this.#read(), age: 0};
		}

		const sample = this.#samples.findLast(each => now - each.at >= this.#lag) ?? this.#samples[0]!;
		return {...sample.figures, age: now - sample.at};
	}

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
	}

	#sample(): void {
		const now = performance.now();
		const kept = this.#samples.findLastIndex(each => now - each.at >= this.#lag);
		this.#samples = [...this.#samples.slice(Math.max(kept, 0)), {at: now, figures: this.#read()}];
	}
}

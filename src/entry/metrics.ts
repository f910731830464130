/** Metrics over StatsD. */
import {StatsD} from 'hot-shots';
import {ignore} from './ignore.js';
import {type Settings} from './settings.js';

export type Tags = Readonly<Record<string, string>>;

/** Sends counters, gauges and timings; sends nothing where no StatsD address is set. */
export class Metrics implements AsyncDisposable {
	readonly #client: StatsD;

	/**
	 * @param settings - Settings of the daemon.
	 */
	constructor(settings: Settings) {
		this.#client = new StatsD({
			host: settings.statsd?.host ?? '127.0.0.1',
			port: settings.statsd?.port ?? 8125,
			prefix: settings.statsd?.prefix ?? 'cranberrytide.',
			mock: settings.statsd === undefined,
			globalTags: {host: settings.host, domain: settings.failureDomain},
			// A lost metric is no reason to stop serving.
			errorHandler: ignore,
		});
	}

	/**
	 * @param name - Counter.
	 * @param value - Added to it.
	 * @param tags - Dimensions.
	 */
	count(name: string, value: number, tags: Tags = {}): void {
		this.#client.increment(name, value, tags);
	}

	/**
	 * @param name - Gauge.
	 * @param value - Its value now.
	 * @param tags - Dimensions.
	 */
	gauge(name: string, value: number, tags: Tags = {}): void {
		this.#client.gauge(name, value, tags);
	}

	/**
	 * @param name - Timing.
	 * @param milliseconds - Time taken.
	 * @param tags - Dimensions.
	 */
	timing(name: string, milliseconds: number, tags: Tags = {}): void {
		this.#client.timing(name, milliseconds, tags);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await new Promise<void>(resolve => {
			this.#client.close(() => {
				resolve();
			});
		});
	}
}

/** Sends metrics over StatsD. */
import {StatsD} from 'hot-shots';
import {ignore} from './ignore.js';
import {type Settings} from './settings.js';

export type Tags = Readonly<Record<string, string>>;

/** Sends counters, gauges and timings; sends nothing if the settings have no StatsD address. */
export class Metrics implements AsyncDisposable {
	readonly #client: StatsD;

	constructor(settings: Settings) {
		this.#client = new StatsD({
			host: settings.statsd?.host ?? '127.0.0.1',
			port: settings.statsd?.port ?? 8125,
			prefix: settings.statsd?.prefix ?? 'cranberrytide.',
			mock: settings.statsd === undefined,
			globalTags: {host: settings.host, domain: settings.failureDomain},
			// A lost metric must not interrupt serving.
			errorHandler: ignore,
		});
	}

	/**
	 * Increments a counter.
	 *
	 * @param name - Name of the counter.
	 * @param value - Amount to add.
	 * @param tags - Dimensions.
	 */
	count(name: string, value: number, tags: Tags = {}): void {
		this.#client.increment(name, value, tags);
	}

	/**
	 * Sets a gauge.
	 *
	 * @param name - Name of the gauge.
	 * @param value - Current value.
	 * @param tags - Dimensions.
	 */
	gauge(name: string, value: number, tags: Tags = {}): void {
		this.#client.gauge(name, value, tags);
	}

	/**
	 * Records a duration.
	 *
	 * @param name - Name of the timing.
	 * @param milliseconds - Duration in milliseconds.
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

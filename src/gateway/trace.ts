/** What is told of one request in the log and the metrics. */
import {messageOf} from '../core/index.js';
import {type Tries} from '../core/gateway/tries.js';
import {type Route} from '../core/gateway/types.js';
import {type CallerFacts} from './dialect.js';
import {lengthClass} from './metrics.js';
import {type Parts} from './parts.js';

/** Times are in milliseconds. */
export class Trace {
	/** When the head of the request came, on the monotonic clock. */
	readonly arrived: number;
	facts: CallerFacts | undefined;
	route: Route | undefined;
	service = 'none';
	tries: Tries | undefined;
	readonly #parts: Parts;
	#firstByte: number | undefined;
	#lastHeard: number | undefined;
	#longestPause = 0;
	#isFinished = false;

	/**
	 * @param parts - Log, metrics and clock.
	 */
	constructor(parts: Parts) {
		this.#parts = parts;
		this.arrived = parts.clock.now();
	}

	/** When the last events of a stream came, on the monotonic clock. */
	get lastHeard(): number | undefined {
		return this.#lastHeard;
	}

	/** The longest time between two events so far. */
	get longestPause(): number {
		return this.#longestPause;
	}

	/** The first byte of an answer has come. */
	noteFirstByte(): void {
		this.#firstByte ??= this.#parts.clock.now();
	}

	/** Events of a stream have come. */
	noteEvents(): void {
		const now = this.#parts.clock.now();
		this.#longestPause = Math.max(this.#longestPause, now - (this.#lastHeard ?? now));
		this.#lastHeard = now;
	}

	/**
	 * @param event - What happened.
	 * @param fields - Inputs that decided it and how it ended.
	 */
	write(event: string, fields: Readonly<Record<string, unknown>>): void {
		try {
			this.#parts.log.write({event, request: this.facts?.id, ...fields});
		} catch (error) {
			this.#parts.log.write({event: 'log-failed', detail: messageOf(error)}, 'error');
		}
	}

	/**
	 * The request is over; what comes after its first end, as a caller that leaves a stream that was broken off, is no news.
	 *
	 * @param outcome - How it ended.
	 */
	finish(outcome: string): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		const {metrics, clock, gateway} = this.#parts;
		const now = clock.now();
		const labels = {service: this.service, length: lengthClass(this.facts?.prompt?.tokens)};
		metrics.requests.inc({
			service: labels.service, kind: this.route?.kind ?? 'none', length: labels.length, outcome,
		});
		metrics.total.observe(labels, now - this.arrived);
		if (this.#firstByte !== undefined) {
			metrics.firstByte.observe(labels, this.#firstByte - this.arrived);
		}

		this.write('ended', {
			outcome,
			route: this.route?.name,
			attempts: this.tries?.sent ?? 0,
			firstByte: this.#firstByte === undefined ? undefined : Math.round(this.#firstByte - this.arrived),
			longestPause: this.#lastHeard === undefined ? undefined : Math.round(this.#longestPause),
			silentFor: Math.round(now - (this.#lastHeard ?? this.arrived)),
			objective: this.route?.objective,
			pause: this.route?.pause,
			took: Math.round(now - this.arrived),
			version: gateway.directory?.configuration.version,
			confirmedAge: Math.round(gateway.confirmedAge),
		});
	}
}

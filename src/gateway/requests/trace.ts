/** Records the course of one request in the log and the metrics. */
import {messageOf} from '../../core/index.js';
import {type Attempts} from '../../core/gateway/placement/attempts.js';
import {type Route} from '../../core/gateway/types.js';
import {type RequestMetadata} from '../platform-adapter.js';
import {classifyLength} from '../metrics.js';
import {type GatewayServices} from '../services.js';

/** Times are in milliseconds. */
export class RequestTrace {
	/** When the head of the request arrived, on the monotonic clock. */
	readonly arrived: number;
	metadata: RequestMetadata | undefined;
	route: Route | undefined;
	service = 'none';
	attempts: Attempts | undefined;
	readonly #services: GatewayServices;
	#firstByteAt: number | undefined;
	#lastEventAt: number | undefined;
	#longestPause = 0;
	#isFinished = false;

	/**
	 * @param services - Services shared by all requests.
	 */
	constructor(services: GatewayServices) {
		this.#services = services;
		this.arrived = services.clock.now();
	}

	/** When the last events of a stream arrived, on the monotonic clock. */
	get lastEventAt(): number | undefined {
		return this.#lastEventAt;
	}

	/** Longest time between two events until now. */
	get longestPause(): number {
		return this.#longestPause;
	}

	/** Notes that the first byte of an answer has arrived. */
	noteFirstByte(): void {
		this.#firstByteAt ??= this.#services.clock.now();
	}

	/** Notes that events of a stream have arrived. */
	noteEvents(): void {
		const now = this.#services.clock.now();
		this.#longestPause = Math.max(this.#longestPause, now - (this.#lastEventAt ?? now));
		this.#lastEventAt = now;
	}

	/**
	 * @param event - Name of the event.
	 * @param fields - Inputs and result of the decision.
	 */
	write(event: string, fields: Readonly<Record<string, unknown>>): void {
		try {
			this.#services.log.write({event, request: this.metadata?.id, ...fields});
		} catch (error) {
			this.#services.log.write({event: 'log-failed', detail: messageOf(error)}, 'error');
		}
	}

	/**
	 * Records the end of the request. Later calls are ignored, for example when a caller leaves after its stream was broken off.
	 *
	 * @param outcome - How the request ended.
	 */
	finish(outcome: string): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		const {metrics, clock, gateway} = this.#services;
		const now = clock.now();
		const labels = {service: this.service, length: classifyLength(this.metadata?.prompt?.tokens)};
		metrics.requests.inc({
			service: labels.service, kind: this.route?.kind ?? 'none', length: labels.length, outcome,
		});
		metrics.total.observe(labels, now - this.arrived);
		if (this.#firstByteAt !== undefined) {
			metrics.firstByte.observe(labels, this.#firstByteAt - this.arrived);
		}

		this.write('ended', {
			outcome,
			route: this.route?.name,
			attempts: this.attempts?.sent ?? 0,
			firstByte: this.#firstByteAt === undefined ? undefined : Math.round(this.#firstByteAt - this.arrived),
			longestPause: this.#lastEventAt === undefined ? undefined : Math.round(this.#longestPause),
			silentFor: Math.round(now - (this.#lastEventAt ?? this.arrived)),
			objective: this.route?.objective,
			pause: this.route?.pause,
			took: Math.round(now - this.arrived),
			version: gateway.directory?.configuration.version,
			confirmedAge: Math.round(gateway.confirmedAge),
		});
	}
}

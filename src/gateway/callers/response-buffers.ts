/** Holds the responses of slow callers within the memory of this host, so that upstreams are read meanwhile. */
import {ResponseBuffers as Decision} from '../../core/gateway/limits/response-buffers.js';
import {type Clock} from '../../entry/clock.js';
import {type GatewayMetrics} from '../metrics.js';
import {type ResponseBuffer} from './response-buffer.js';

export type ResponseBuffersOptions = {
	/** Bytes that all responses may hold; without it, a response is read as fast as its caller reads it. */
	readonly budget: number | undefined;
	readonly clock: Pick<Clock, 'now'>;
	readonly metrics: Pick<GatewayMetrics, 'responsesStopped' | 'responsesEnded'>;
};

/** An attempt that isn't read until its response has space. */
type Wait = {
	readonly response: ResponseBuffer;
	readonly resume: () => void;
};

/** The unsent bytes of all responses of this host. */
export class ResponseBuffers {
	readonly #clock: Pick<Clock, 'now'>;
	readonly #metrics: ResponseBuffersOptions['metrics'];
	readonly #budget: number | undefined;
	readonly #decision: Decision<ResponseBuffer>;
	/** Attempts that aren't read at present; a response may have one that is being replaced, and the one that replaces it. */
	readonly #waits = new Set<Wait>();

	/**
	 * @param options - Budget, and what observes it.
	 */
	constructor({budget, clock, metrics}: ResponseBuffersOptions) {
		this.#budget = budget;
		this.#clock = clock;
		this.#metrics = metrics;
		this.#decision = new Decision(budget ?? Number.POSITIVE_INFINITY);
	}

	/** Whether responses are held for slow callers. */
	get isEnabled(): boolean {
		return this.#budget !== undefined;
	}

	/** Bytes that are held for callers. */
	get held(): number {
		return this.#decision.total;
	}

	/** Responses that aren't read at present. */
	get stoppedCount(): number {
		return new Set([...this.#waits].map(({response}) => response)).size;
	}

	/**
	 * @param response - Response.
	 * @returns Milliseconds for which none of its bytes were sent.
	 */
	stalledFor(response: ResponseBuffer): number {
		return this.#decision.stalledFor(response, this.#clock.now());
	}

	/**
	 * @param response - Response.
	 * @returns Whether it may go on being read.
	 */
	mayRead(response: ResponseBuffer): boolean {
		return this.#decision.mayRead(response, this.#clock.now());
	}

	/**
	 * Counts bytes, and ends the responses that the budget has no space for.
	 *
	 * @param response - Response that holds them.
	 * @param bytes - Number of bytes.
	 */
	add(response: ResponseBuffer, bytes: number): void {
		const now = this.#clock.now();
		this.#decision.add(response, bytes, now);
		for (const excessive of this.#decision.findExcess(now)) {
			this.end(excessive, 'space');
		}
	}

	/**
	 * Counts bytes that were sent or dropped, and resumes responses that have space now.
	 *
	 * @param response - Response that held them.
	 * @param bytes - Number of bytes.
	 */
	remove(response: ResponseBuffer, bytes: number): void {
		this.#decision.remove(response, bytes, this.#clock.now());
		this.#resume();
	}

	/**
	 * @param response - Response whose bytes are no longer held.
	 */
	delete(response: ResponseBuffer): void {
		this.#decision.delete(response);
		this.#resume(response);
	}

	/**
	 * Ends a response, and logs its size.
	 *
	 * @param response - Response.
	 * @param reason - Whether memory is short, or its caller doesn't read and its time is over.
	 */
	end(response: ResponseBuffer, reason: 'space' | 'stalled'): void {
		this.#metrics.responsesEnded.inc({reason});
		response.log('response-ended', {reason, ...this.#describe(response)});
		response.end();
	}

	/**
	 * @param response - Response that stops being read.
	 * @param isFirst - Whether it stops for the first time.
	 * @param signal - Ends the wait.
	 * @returns Resolves once it may be read again, or has ended.
	 */
	async waitForSpace(response: ResponseBuffer, isFirst: boolean, signal?: AbortSignal): Promise<void> {
		if (isFirst) {
			this.#metrics.responsesStopped.inc();
			response.log('response-stopped', this.#describe(response));
		}

		await new Promise<void>(resolve => {
			const wait: Wait = {
				response,
				resume: () => {
					this.#waits.delete(wait);
					signal?.removeEventListener('abort', wait.resume);
					resolve();
				},
			};
			this.#waits.add(wait);
			signal?.addEventListener('abort', wait.resume);
		});
	}

	#describe(response: ResponseBuffer): Readonly<Record<string, unknown>> {
		return {
			bytes: this.#decision.size(response),
			stalledFor: Math.round(this.stalledFor(response)),
			held: this.held,
			budget: this.#budget,
		};
	}

	/** Resumes responses that have space, and one that has ended. */
	#resume(ended?: ResponseBuffer): void {
		for (const {response, resume} of this.#waits) {
			if (response === ended || this.mayRead(response)) {
				resume();
			}
		}
	}
}

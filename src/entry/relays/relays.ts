/** Sends attempts to upstreams and passes their answers to callers. */
import {
	messageOf,
	assertNever,
	codes,
	type Ending,
} from '../../core/index.js';
import {upstream as upstreamOf} from '../../core/features/configuration/queries.js';
import {prefillSegment} from '../../upstream/control.js';
import {runOnEngine, type Call} from '../../upstream/engine.js';
import {endToEnd, runOnPlain, type PassedHeaders} from '../../upstream/plain.js';
import {callerHeaders} from '../callers/headers.js';
import {requestHeader} from '../callers/outcomes.js';
import {type Exchange} from '../callers/exchange.js';
import {ignore} from '../ignore.js';
import {cancelUntilConfirmed} from './cancellation.js';
import {createSink} from './sink.js';
import {type EffectOf, type Surroundings} from './surroundings.js';

/**
 * Milliseconds by which the engine is given longer than the request has: this host ends it in time and says why; the engine's
 * own limit is for a host that died.
 */
const deadlineMargin = 1000;

const noKind: Ending = {
	type: 'not-run', code: codes.noUpstream, overload: false, detail: 'the upstream is no longer configured',
};

export class Relays implements AsyncDisposable {
	readonly #surroundings: Surroundings;
	readonly #running = new Map<string, AbortController>();
	readonly #closing = new AbortController();

	/**
	 * @param surroundings - Parts of the daemon.
	 */
	constructor(surroundings: Surroundings) {
		this.#surroundings = surroundings;
	}

	/**
	 * @param effect - Attempt to send.
	 */
	send(effect: EffectOf<'send'>): void {
		const {exchanges, dispatch} = this.#surroundings;
		const exchange = exchanges.get(effect.request);
		if (exchange === undefined) {
			dispatch({
				type: 'attempt-ended', attempt: effect.attempt, ending: {
					type: 'not-run', code: codes.abandoned, overload: false, detail: 'no caller',
				},
			});
			return;
		}

		const controller = this.#begin(effect.attempt);
		void this.#finish(effect.attempt, this.#run(effect, exchange, controller.signal));
	}

	/**
	 * Stops an attempt, and tells its upstream until it confirms.
	 *
	 * @param effect - Attempt to stop.
	 */
	cancel(effect: EffectOf<'cancel'>): void {
		this.#running.get(effect.attempt)?.abort();
		if (this.#kindOf(effect.upstream) === 'engine') {
			void cancelUntilConfirmed(effect.address, effect.attempt, this.#closing.signal);
		}
	}

	/**
	 * Passes a request to another host, which answers through this one.
	 *
	 * @param effect - Request and host.
	 */
	forward(effect: EffectOf<'forward'>): void {
		const exchange = this.#surroundings.exchanges.get(effect.request);
		if (exchange === undefined) {
			return;
		}

		const controller = this.#begin(effect.request);
		void this.#finishForward(effect.request, this.#forward(effect, exchange, controller.signal));
	}

	/**
	 * @param request - Forwarded request whose caller left.
	 */
	abandon(request: string): void {
		this.#running.get(request)?.abort();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#closing.abort();
		for (const controller of this.#running.values()) {
			controller.abort();
		}
	}

	#begin(id: string): AbortController {
		const controller = new AbortController();
		this.#running.set(id, controller);
		return controller;
	}

	async #finish(attempt: string, running: Promise<Ending>): Promise<void> {
		const ending = await this.#settle(running);
		this.#running.delete(attempt);
		this.#surroundings.dispatch({type: 'attempt-ended', attempt, ending});
	}

	async #finishForward(request: string, running: Promise<Ending>): Promise<void> {
		const ending = await this.#settle(running);
		this.#running.delete(request);
		this.#surroundings.dispatch({type: 'forward-ended', request, ending});
	}

	async #settle(running: Promise<Ending>): Promise<Ending> {
		try {
			return await running;
		} catch (error) {
			const detail = messageOf(error);
			this.#surroundings.log.write({event: 'relay-failed', code: codes.internal, detail}, 'error');
			return {
				type: 'unknown', code: codes.outcomeUnknown, detail, relayed: true,
			};
		}
	}

	#kindOf(upstream: string) {
		return upstreamOf(this.#surroundings.state(), upstream)?.kind;
	}

	async #run(effect: EffectOf<'send'>, exchange: Exchange, signal: AbortSignal): Promise<Ending> {
		const kind = this.#kindOf(effect.upstream);
		switch (kind) {
			case 'engine': {
				return this.#runOnEngine(effect, exchange, signal);
			}

			case 'plain':
			case 'legacy': {
				return this.#passOn(effect, exchange, signal);
			}

			case undefined: {
				return noKind;
			}

			default: {
				return assertNever(kind);
			}
		}
	}

	async #runOnEngine(effect: EffectOf<'send'>, exchange: Exchange, signal: AbortSignal): Promise<Ending> {
		const segments = effect.segments ?? [];
		const early = await this.#prefill(effect, signal);
		if (early !== undefined) {
			return early;
		}

		const {payload, request} = exchange;
		const {self} = this.#surroundings.state();
		const call: Call = {
			address: effect.address,
			attempt: effect.attempt,
			body: payload.engineBody,
			priority: effect.priority,
			timeout: effect.deadline + deadlineMargin - this.#surroundings.clock.now(),
			owner: `${self.incarnation.host}/${self.incarnation.started}`,
			mayRepeat: request.proof.type === 'idempotent',
			key: payload.key,
			...(segments.length > 0 && {holds: segments.map(segment => segment.hold)}),
			promptTokens: payload.statedPromptTokens,
			signal,
		};
		return runOnEngine(call, createSink(effect, exchange, this.#surroundings));
	}

	/** Engines of a group work on their segments at the same time. */
	async #prefill(effect: EffectOf<'send'>, signal: AbortSignal): Promise<Ending | undefined> {
		const timeout = effect.deadline - this.#surroundings.clock.now();
		const state = this.#surroundings.state();
		try {
			await Promise.all((effect.segments ?? []).map(async segment => {
				const target = upstreamOf(state, segment.upstream);
				if (target !== undefined) {
					await prefillSegment(target.address, segment, [], timeout);
				}
			}));
		} catch (error) {
			return {
				type: 'not-run', code: codes.refusedByUpstream, overload: false, detail: `a segment failed: ${messageOf(error)}`,
			};
		}

		return signal.aborted ? {type: 'cancelled'} : undefined;
	}

	async #passOn(effect: EffectOf<'send'>, exchange: Exchange, signal: AbortSignal): Promise<Ending> {
		const {payload, request, answer} = exchange;
		const {dispatch} = this.#surroundings;
		return runOnPlain({
			address: effect.address,
			method: payload.method,
			path: payload.path,
			headers: this.#headersFor(exchange),
			body: payload.body,
			mayRepeat: request.proof.type === 'idempotent',
			signal,
		}, {
			written() {
				dispatch({type: 'attempt-written', attempt: effect.attempt});
			},
			head(status, headers) {
				void answer.push({type: 'head', status, headers});
				dispatch({type: 'attempt-progressed', attempt: effect.attempt, tokens: 0});
			},
			bytes: async chunk => answer.push({type: 'bytes', chunk}),
		});
	}

	/** Our callers' keys are not the upstreams' business. */
	#headersFor({payload, request}: Exchange): PassedHeaders {
		const {authorization, [callerHeaders.ticket]: ticket, ...headers} = endToEnd(payload.headers);
		return {
			...headers,
			[requestHeader]: request.id,
			...(payload.key !== undefined && {'idempotency-key': payload.key}),
		};
	}

	async #forward(effect: EffectOf<'forward'>, exchange: Exchange, signal: AbortSignal): Promise<Ending> {
		const {payload, request, answer} = exchange;
		const {clock, state, dispatch} = this.#surroundings;
		const {self} = state();
		return runOnPlain({
			address: effect.address,
			method: payload.method,
			path: payload.callerPath,
			headers: {
				...endToEnd(payload.headers),
				[callerHeaders.timeout]: String(Math.max(1, Math.round(effect.deadline - clock.now()))),
				[callerHeaders.forwardedBy]: self.incarnation.host,
				[callerHeaders.hops]: String((request.hops ?? 0) + 1),
				...(effect.reason === 'spill' && {[callerHeaders.spilledFrom]: self.failureDomain}),
			},
			body: payload.body,
			mayRepeat: request.proof.type === 'idempotent',
			signal,
		}, {
			// The other host's answer says what became of it.
			written: ignore,
			head(status, headers) {
				// After a pause the core hears of it first, and may end the answer: this head may be as old as the pause.
				dispatch({type: 'forward-progressed', request: effect.request});
				void answer.push({type: 'head', status, headers});
			},
			bytes: async chunk => answer.push({type: 'bytes', chunk}),
		});
	}
}

/** Sends attempts to upstreams, forwards requests to other hosts and passes the answers to callers. */
import {
	messageOf,
	assertNever,
	codes,
	type Ending,
} from '../../core/index.js';
import {findUpstream as upstreamOf} from '../../core/features/configuration/queries.js';
import {prefillSegment} from '../../upstream/control.js';
import {runOnEngine, type EngineCall} from '../../upstream/engine.js';
import {filterEndToEndHeaders, runOnPlain, type EndToEndHeaders} from '../../upstream/plain.js';
import {callerHeaders} from '../callers/headers.js';
import {requestHeader} from '../callers/outcomes.js';
import {type Exchange} from '../callers/exchange.js';
import {ignore} from '../ignore.js';
import {cancelUntilConfirmed} from './cancellation.js';
import {createSink} from './sink.js';
import {type EffectOf, type RelayServices} from './services.js';

/**
 * Extra time that an engine gets beyond a request's deadline. This host ends the request at the deadline and reports the reason;
 * the engine's own timeout is only for the case that this host has died.
 */
const deadlineMarginMs = 1000;

const notConfiguredEnding: Ending = {
	type: 'not-run', code: codes.noUpstream, overload: false, detail: 'the upstream is no longer configured',
};

export class Relays implements AsyncDisposable {
	readonly #services: RelayServices;
	readonly #controllers = new Map<string, AbortController>();
	readonly #shutdown = new AbortController();

	constructor(services: RelayServices) {
		this.#services = services;
	}

	/** Sends an attempt to its upstream and dispatches `attempt-ended` when it is over. */
	send(effect: EffectOf<'send'>): void {
		const {exchanges, dispatch} = this.#services;
		const exchange = exchanges.get(effect.request);
		if (exchange === undefined) {
			dispatch({
				type: 'attempt-ended', attempt: effect.attempt, ending: {
					type: 'not-run', code: codes.abandoned, overload: false, detail: 'no caller',
				},
			});
			return;
		}

		const controller = this.#addController(effect.attempt);
		void this.#finishAttempt(effect.attempt, this.#runAttempt(effect, exchange, controller.signal));
	}

	/** Aborts an attempt and, if its upstream is an engine, cancels it there until the engine confirms. */
	cancel(effect: EffectOf<'cancel'>): void {
		this.#controllers.get(effect.attempt)?.abort();
		if (this.#getUpstreamKind(effect.upstream) === 'engine') {
			void cancelUntilConfirmed(effect.address, effect.attempt, this.#shutdown.signal);
		}
	}

	/** Forwards a request to another host, passes its answer to the caller and dispatches `forward-ended` when it is over. */
	forward(effect: EffectOf<'forward'>): void {
		const exchange = this.#services.exchanges.get(effect.request);
		if (exchange === undefined) {
			return;
		}

		const controller = this.#addController(effect.request);
		void this.#finishForward(effect.request, this.#runForward(effect, exchange, controller.signal));
	}

	/**
	 * Aborts a forwarded request whose caller has disconnected.
	 *
	 * @param request - Id of the request.
	 */
	abandon(request: string): void {
		this.#controllers.get(request)?.abort();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#shutdown.abort();
		for (const controller of this.#controllers.values()) {
			controller.abort();
		}
	}

	#addController(id: string): AbortController {
		const controller = new AbortController();
		this.#controllers.set(id, controller);
		return controller;
	}

	async #finishAttempt(attempt: string, running: Promise<Ending>): Promise<void> {
		const ending = await this.#waitForEnding(running);
		this.#controllers.delete(attempt);
		this.#services.dispatch({type: 'attempt-ended', attempt, ending});
	}

	async #finishForward(request: string, running: Promise<Ending>): Promise<void> {
		const ending = await this.#waitForEnding(running);
		this.#controllers.delete(request);
		this.#services.dispatch({type: 'forward-ended', request, ending});
	}

	async #waitForEnding(running: Promise<Ending>): Promise<Ending> {
		try {
			return await running;
		} catch (error) {
			const detail = messageOf(error);
			this.#services.log.write({event: 'relay-failed', code: codes.internal, detail}, 'error');
			return {
				type: 'unknown', code: codes.outcomeUnknown, detail, relayed: true,
			};
		}
	}

	#getUpstreamKind(upstream: string) {
		return upstreamOf(this.#services.state(), upstream)?.kind;
	}

	async #runAttempt(effect: EffectOf<'send'>, exchange: Exchange, signal: AbortSignal): Promise<Ending> {
		const kind = this.#getUpstreamKind(effect.upstream);
		switch (kind) {
			case 'engine': {
				return this.#runOnEngine(effect, exchange, signal);
			}

			case 'plain':
			case 'legacy': {
				return this.#runOnPlain(effect, exchange, signal);
			}

			case undefined: {
				return notConfiguredEnding;
			}

			default: {
				return assertNever(kind);
			}
		}
	}

	async #runOnEngine(effect: EffectOf<'send'>, exchange: Exchange, signal: AbortSignal): Promise<Ending> {
		const segments = effect.segments ?? [];
		const earlyEnding = await this.#prefillSegments(effect, signal);
		if (earlyEnding !== undefined) {
			return earlyEnding;
		}

		const {payload, request} = exchange;
		const {self} = this.#services.state();
		const call: EngineCall = {
			address: effect.address,
			attempt: effect.attempt,
			body: payload.engineBody,
			priority: effect.priority,
			timeout: effect.deadline + deadlineMarginMs - this.#services.clock.now(),
			owner: `${self.incarnation.host}/${self.incarnation.started}`,
			isRepeatable: request.proof.type === 'idempotent',
			key: payload.key,
			...(segments.length > 0 && {holds: segments.map(segment => segment.hold)}),
			promptTokens: payload.statedPromptTokens,
			signal,
		};
		return runOnEngine(call, createSink(effect, exchange, this.#services));
	}

	/** Prefills the segments of a group on its engines in parallel. Returns an ending if the attempt can't continue. */
	async #prefillSegments(effect: EffectOf<'send'>, signal: AbortSignal): Promise<Ending | undefined> {
		const timeout = effect.deadline - this.#services.clock.now();
		const state = this.#services.state();
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

	async #runOnPlain(effect: EffectOf<'send'>, exchange: Exchange, signal: AbortSignal): Promise<Ending> {
		const {payload, request, answer} = exchange;
		const {dispatch} = this.#services;
		return runOnPlain({
			address: effect.address,
			method: payload.method,
			path: payload.path,
			headers: this.#createPlainHeaders(exchange),
			body: payload.body,
			isRepeatable: request.proof.type === 'idempotent',
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

	/** Removes the caller's credentials, which upstreams must not receive. */
	#createPlainHeaders({payload, request}: Exchange): EndToEndHeaders {
		const {authorization, [callerHeaders.ticket]: ticket, ...headers} = filterEndToEndHeaders(payload.headers);
		return {
			...headers,
			[requestHeader]: request.id,
			...(payload.key !== undefined && {'idempotency-key': payload.key}),
		};
	}

	async #runForward(effect: EffectOf<'forward'>, exchange: Exchange, signal: AbortSignal): Promise<Ending> {
		const {payload, request, answer} = exchange;
		const {clock, state, dispatch} = this.#services;
		const {self} = state();
		return runOnPlain({
			address: effect.address,
			method: payload.method,
			path: payload.callerPath,
			headers: {
				...filterEndToEndHeaders(payload.headers),
				[callerHeaders.timeout]: String(Math.max(1, Math.round(effect.deadline - clock.now()))),
				[callerHeaders.forwardedBy]: self.incarnation.host,
				[callerHeaders.hops]: String((request.hops ?? 0) + 1),
				...(effect.reason === 'spill' && {[callerHeaders.spilledFrom]: self.failureDomain}),
			},
			body: payload.body,
			isRepeatable: request.proof.type === 'idempotent',
			signal,
		}, {
			// The outcome is known from the other host's answer.
			written: ignore,
			head(status, headers) {
				// Dispatched before the head is passed on: after a pause of this process, the head may be as old as the pause. The
				// driver reports the pause to the core ahead of this event, and the core may end the answer.
				dispatch({type: 'forward-progressed', request: effect.request});
				void answer.push({type: 'head', status, headers});
			},
			bytes: async chunk => answer.push({type: 'bytes', chunk}),
		});
	}
}

/** Finds out whether responses that ended with their connections are whole. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	findRegisteredState, isProperEnd, judgeTestimony, type ProcessState, type Testimony,
} from '../../core/gateway/health/connection-ends.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {type Clock} from '../../entry/clock.js';
import {type Log} from '../../entry/logs.js';
import {type LoopWatch} from '../loop-watch.js';
import {type Reply} from './attempt.js';
import {type Tunnel} from './connector.js';
import {ResponseWatch} from './response-watch.js';
import {type UpstreamWitnesses} from './upstream-witnesses.js';

/** Longest wait in milliseconds for registrations that are newer than a response, and time between two looks. */
const registrationWaitMs = 1500;
const lookIntervalMs = 50;

export type ResponseEndsOptions = {
	readonly witnesses: Pick<UpstreamWitnesses, 'follow' | 'release' | 'testify'>;
	readonly loop: Pick<LoopWatch, 'hasStalledSince'>;
	readonly clock: Pick<Clock, 'now'>;
	readonly log: Pick<Log, 'write'>;
	/** Returns an upstream as it is registered at present. */
	readonly findRegistered: (id: string) => GatewayUpstream | undefined;
	/** Returns whether an upstream has stated that it leaves. */
	readonly isLeaving: (upstream: GatewayUpstream) => boolean;
	/** Returns the milliseconds since the registrations were last confirmed. */
	readonly confirmedAge: () => number;
	/** Called with the verdict on each response. */
	readonly onVerdict: (verdict: EndVerdict) => void;
};

/** Verdict on the end of a response. */
export type EndVerdict
	= | 'whole'
	/** The host that carried it doesn't state that the upstream ended it. */
		| 'carrier'
	/** Its upstream is known to have ended, or not known to run. */
		| 'process';

/** A response that lasts until its connection ends. */
export type FollowedResponse = Disposable & {
	/** @returns Whether it is whole; to be called after its end. */
	readonly isWhole: () => Promise<boolean>;
};

/** Where a response comes from. */
export type ResponseOrigin = {
	readonly upstream: GatewayUpstream;
	/** Tunnel that it came through; undefined if it came over the link of this host. */
	readonly tunnel: Tunnel | undefined;
	/** When the request was sent; monotonic milliseconds. */
	readonly sent: number;
	/** Whether another attempt may repeat the request, or continue the response, so that there is no need to wait. */
	readonly isRepeatable: boolean;
};

export class ResponseEnds {
	readonly #options: ResponseEndsOptions;

	/**
	 * @param options - What is known of upstreams, and how to ask them.
	 */
	constructor(options: ResponseEndsOptions) {
		this.#options = options;
	}

	/**
	 * Follows a response without a length or chunks from its head on.
	 *
	 * @param reply - Response.
	 * @param origin - Where it comes from.
	 * @returns Tells whether it is whole.
	 */
	follow({body, signal}: Pick<Reply, 'body' | 'signal'>, origin: ResponseOrigin): FollowedResponse {
		const {witnesses, clock} = this.#options;
		const watch = new ResponseWatch(body, origin.tunnel, {sent: origin.sent, headAt: clock.now()});
		witnesses.follow(origin.upstream, watch);
		return {
			isWhole: async () => this.#judge(watch, origin, signal),
			[Symbol.dispose]() {
				witnesses.release(origin.upstream, watch);
			},
		};
	}

	async #judge(watch: ResponseWatch, origin: ResponseOrigin, signal: AbortSignal): Promise<boolean> {
		const {clock, log, onVerdict} = this.#options;
		const {upstream, tunnel} = origin;
		const endAt = clock.now();
		watch.end();
		const [end, testimonies] = await Promise.all([tunnel?.askEnd(), this.#options.isLeaving(upstream) ? [] : this.#options.witnesses.testify(upstream)]);
		const state = end !== undefined && !isProperEnd(end) ? undefined : await this.#findState(origin, this.#judgeTestimonies(testimonies, watch, origin, endAt), signal);
		const verdict = findVerdict(state);
		log.write({
			event: 'response-end', upstream: upstream.id, verdict, process: state, tunnel: tunnel?.id, carrier: end, took: Math.round(clock.now() - endAt),
		});
		onVerdict(verdict);
		return verdict === 'whole';
	}

	#judgeTestimonies(testimonies: readonly Testimony[], {headAt, openAt}: ResponseWatch, {sent}: ResponseOrigin, endAt: number): ReadonlyArray<ReturnType<typeof judgeTestimony>> {
		const hasStalled = this.#options.loop.hasStalledSince(sent);
		return testimonies.map(testimony => judgeTestimony(testimony, {
			headAt, openAt, endAt, hasStalled,
		}));
	}

	/** Returns the state of the process that began the response; `leaving` if it may end with its last response. */
	async #findState({upstream, isRepeatable}: ResponseOrigin, states: ReadonlyArray<ReturnType<typeof judgeTestimony>>, signal: AbortSignal): Promise<ProcessState | 'leaving'> {
		const {isLeaving} = this.#options;
		if (isLeaving(upstream)) {
			return 'leaving';
		}

		if (states.includes('running')) {
			return 'running';
		}

		const isUnconfirmed = states.includes('unconfirmed');
		const registered = isUnconfirmed || !isRepeatable ? await this.#waitForRegistration(upstream, signal) : 'unknown';
		if (isLeaving(upstream)) {
			return 'leaving';
		}

		return isUnconfirmed ? registered : (states.includes('ended') ? 'ended' : 'unknown');
	}

	/** By then, another process has registered, or the registration tells that the process leaves. */
	async #waitForRegistration(upstream: GatewayUpstream, signal: AbortSignal): Promise<ProcessState> {
		const {clock, findRegistered, isLeaving, confirmedAge} = this.#options;
		const since = clock.now();
		while (clock.now() - since < registrationWaitMs && !signal.aborted && !isLeaving(upstream)) {
			const state = findRegisteredState(upstream, findRegistered(upstream.id), clock.now() - confirmedAge() - since);
			if (state !== undefined) {
				return state;
			}

			await sleep(lookIntervalMs);
		}

		return 'unknown';
	}
}

function findVerdict(state: ProcessState | 'leaving' | undefined): EndVerdict {
	if (state === undefined) {
		return 'carrier';
	}

	return state === 'running' || state === 'leaving' ? 'whole' : 'process';
}

/** Requests that crash upstreams, as all hosts together know them. */
import {type Crash} from '../core/gateway/suspects.js';
import {type Clock} from '../entry/clock.js';
import {type Message} from './peers/messages.js';
import {type Peers} from './peers/peers.js';
import {type Reputation} from './reputation.js';
import {type Upstreams} from './upstreams.js';

/** Milliseconds within which an engine's lost connections and a failed connection to it count as one crash. */
const crashWindow = 1500;

/**
 * Milliseconds after a crash by which the platform has told of it: an upstream's registration lapses after three heartbeats, and
 * one that started anew has another start.
 */
const crashSettle = 5000;

export type ConvictionsOptions = {
	readonly reputation: Reputation;
	readonly upstreams: Upstreams;
	readonly peers: Peers;
	readonly clock: Clock;
	/** Milliseconds since the upstreams were the newest for certain. */
	readonly confirmedAge: () => number;
};

export class Convictions {
	readonly #options: ConvictionsOptions;

	/**
	 * @param options - What is known, and who is told.
	 */
	constructor(options: ConvictionsOptions) {
		this.#options = options;
	}

	/**
	 * Holds a crash against a request, here and at the peers.
	 *
	 * @param fingerprint - Request that ran at an upstream when its connection broke.
	 * @param upstream - Upstream.
	 */
	suspect(fingerprint: string, upstream: string): void {
		const {reputation, upstreams, peers, clock} = this.#options;
		const crash = {
			fingerprint, id: `${upstream}.${Math.floor(clock.wall() / crashWindow)}`, upstream, started: upstreams.get(upstream)?.started,
		};
		if (reputation.suspect(crash, clock.now())) {
			peers.broadcast({type: 'crash', crash});
		}
	}

	/**
	 * Holds no crash against a request any more, here and at the peers.
	 *
	 * @param fingerprint - Request that was answered whole.
	 */
	acquit(fingerprint: string): void {
		this.#tellCleared(this.#options.reputation.acquit(fingerprint));
	}

	/**
	 * @param fingerprint - Request.
	 * @returns Whether it crashes the engines that run it, as far as is known; then it must not run again.
	 */
	isConvicted(fingerprint: string): boolean {
		const {reputation, clock} = this.#options;
		const now = clock.now();
		if (!reputation.suspects.isConvicted(fingerprint, now)) {
			return false;
		}

		this.#tellCleared(reputation.review(fingerprint, (crash, at) => this.#survived(crash, at)));
		return reputation.suspects.isConvicted(fingerprint, now);
	}

	/**
	 * Takes what a peer tells; in a large fleet what is news here is news to others.
	 *
	 * @param message - Crash, or crashes that were none.
	 */
	heard(message: Extract<Message, {readonly type: 'acquittal' | 'crash'}>): void {
		const {reputation, peers, clock} = this.#options;
		const isNews = message.type === 'crash'
			? reputation.suspects.record(message.crash, clock.now())
			: reputation.clear(message.crashes, clock.now());
		if (isNews && peers.isLargeFleet) {
			peers.broadcast(message);
		}
	}

	/** An upstream that is registered under the same start long after it is said to have crashed has not: its links broke. */
	#survived({upstream, started}: Crash, at: number): boolean {
		const {upstreams, clock, confirmedAge} = this.#options;
		return started !== undefined && clock.now() - confirmedAge() > at + crashSettle && upstreams.get(upstream)?.started === started;
	}

	#tellCleared(crashes: readonly Crash[]): void {
		if (crashes.length > 0) {
			this.#options.peers.broadcast({type: 'acquittal', crashes: [...crashes]});
		}
	}
}

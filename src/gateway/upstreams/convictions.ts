/**
 * Detects requests that crash upstreams, together with the other hosts. A crash makes the request that ran there suspected; after several
 * crashes the request is convicted and no longer run; it is acquitted when it is answered or the crash turns out not to have happened.
 */
import {type Crash} from '../../core/gateway/health/suspects.js';
import {type Clock} from '../../entry/clock.js';
import {type Message} from '../peers/messages.js';
import {type Peers} from '../peers/peers.js';
import {type Reputation} from './reputation.js';
import {type Upstreams} from './upstreams.js';

/** Broken connections and failed connection attempts to one engine within this time count as one crash. */
const crashWindowMs = 1500;

/**
 * Time after a crash by which the registry shows it: an upstream's registration expires after three heartbeats, and a restarted upstream
 * has another start time.
 */
const crashSettleMs = 5000;

export type ConvictionsOptions = {
	readonly reputation: Reputation;
	readonly upstreams: Upstreams;
	readonly peers: Peers;
	readonly clock: Clock;
	/** Returns the milliseconds since the upstreams were last confirmed current. */
	readonly confirmedAge: () => number;
};

export class Convictions {
	readonly #options: ConvictionsOptions;

	constructor(options: ConvictionsOptions) {
		this.#options = options;
	}

	/**
	 * Records that a request may have crashed an upstream, and notifies the peers.
	 *
	 * @param fingerprint - Request that was running when the connection broke.
	 * @param upstream - Upstream.
	 */
	suspect(fingerprint: string, upstream: string): void {
		const {reputation, upstreams, peers, clock} = this.#options;
		const crash = {
			fingerprint, id: `${upstream}.${Math.floor(clock.wall() / crashWindowMs)}`, upstream, started: upstreams.get(upstream)?.started,
		};
		if (reputation.suspect(crash, clock.now())) {
			peers.broadcast({type: 'crash', crash});
		}
	}

	/**
	 * Acquits a request of all crashes, and notifies the peers.
	 *
	 * @param fingerprint - Request that was answered completely.
	 */
	acquit(fingerprint: string): void {
		this.#broadcastAcquittal(this.#options.reputation.acquit(fingerprint));
	}

	/**
	 * @param fingerprint - Request.
	 * @returns Whether the request is known to crash the engines that run it and must not run again.
	 */
	isConvicted(fingerprint: string): boolean {
		const {reputation, clock} = this.#options;
		const now = clock.now();
		if (!reputation.suspects.isConvicted(fingerprint, now)) {
			return false;
		}

		this.#broadcastAcquittal(reputation.review(fingerprint, (crash, at) => this.#hasSurvived(crash, at)));
		return reputation.suspects.isConvicted(fingerprint, now);
	}

	/**
	 * Handles a message of a peer. In a large fleet, forwards it if it is new here, as hosts aren't all linked.
	 *
	 * @param message - A crash, or withdrawn crashes.
	 */
	handleMessage(message: Extract<Message, {readonly type: 'acquittal' | 'crash'}>): void {
		const {reputation, peers, clock} = this.#options;
		const isNew = message.type === 'crash'
			? reputation.suspects.record(message.crash, clock.now())
			: reputation.clear(message.crashes, clock.now());
		if (isNew && peers.isLargeFleet) {
			peers.broadcast(message);
		}
	}

	/** An upstream still registered with the same start time long after a suspected crash did not crash: only its connections broke. */
	#hasSurvived({upstream, started}: Crash, at: number): boolean {
		const {upstreams, clock, confirmedAge} = this.#options;
		return started !== undefined && clock.now() - confirmedAge() > at + crashSettleMs && upstreams.get(upstream)?.started === started;
	}

	#broadcastAcquittal(crashes: readonly Crash[]): void {
		if (crashes.length > 0) {
			this.#options.peers.broadcast({type: 'acquittal', crashes: [...crashes]});
		}
	}
}

/**
 * Learns the usual use of organisations from a peer after a start. Otherwise a host that starts during an excess judges nobody for six
 * seconds, and takes the excess for usual use.
 */
import {assertNever} from '../../core/index.js';
import {LogLimiter} from '../../core/utils/log-limiter.js';
import {type Log} from '../../entry/logs.js';
import {type LoadRequest, type LoadResponse, type Message} from '../peers/messages.js';
import {type OrganisationShares} from './organisation-shares.js';
import {fromWireHistories, toWireHistories} from './share-messages.js';

/** Id of the requests; those for load updates have others. */
const shareRequestId = 0;

/** Time after which the next peer is asked, in milliseconds. */
const responseTimeoutMs = 1000;

/** Largest number of peers that are asked, one after another: by then, this host nearly has a history of its own. */
const maxAskedPeers = 4;

export type ShareLearningOptions = {
	readonly log: Pick<Log, 'write'>;
	readonly now: () => number;
	readonly shares: OrganisationShares;
	/** Whether the configuration in force has organisations. */
	readonly hasOrganisations: () => boolean;
	/** Names of the linked hosts. */
	readonly listPeers: () => readonly string[];
	readonly send: (peer: string, message: Message) => void;
};

type PendingRequest = {readonly peer: string; readonly timer: NodeJS.Timeout};

export class ShareLearning implements Disposable {
	readonly #options: ShareLearningOptions;
	readonly #asked = new Set<string>();
	readonly #limiter = new LogLimiter();
	#pending: PendingRequest | undefined;
	#learnedCount = 0;
	#isOver = false;

	constructor(options: ShareLearningOptions) {
		this.#options = options;
	}

	/** Number of organisations whose use was learned from a peer since the start, over all services. */
	get learnedCount(): number {
		return this.#learnedCount;
	}

	/** Asks the next linked host, if one is still needed. Called when a host is linked, and when a configuration is in force. */
	proceed(): void {
		const {hasOrganisations, listPeers, send} = this.#options;
		if (this.#isOver || this.#pending !== undefined || this.#asked.size >= maxAskedPeers || !hasOrganisations()) {
			return;
		}

		const peer = listPeers().find(name => !this.#asked.has(name));
		if (peer === undefined) {
			return;
		}

		this.#asked.add(peer);
		const timer = setTimeout(() => {
			this.#pending = undefined;
			this.proceed();
		}, responseTimeoutMs);
		this.#pending = {peer, timer};
		send(peer, {type: 'load-wanted', ask: shareRequestId, shares: true});
	}

	/**
	 * @param from - Host that has started.
	 * @param request - Its request.
	 * @returns Whether it was a request for shares, and is answered.
	 */
	handleRequest(from: string, {ask, shares}: LoadRequest): boolean {
		if (shares !== true) {
			return false;
		}

		this.#options.send(from, {type: 'load-told', ask, shares: toWireHistories(this.#options.shares.histories)});
		return true;
	}

	/**
	 * @param from - Peer that responds.
	 * @param response - Response; without shares from a host that doesn't know of them.
	 * @returns Whether it was the response to a request for shares.
	 */
	handleResponse(from: string, {ask, shares}: LoadResponse): boolean {
		if (ask !== shareRequestId) {
			return false;
		}

		if (this.#pending?.peer === from) {
			clearTimeout(this.#pending.timer);
			this.#pending = undefined;
			this.#apply(from, shares);
			this.proceed();
		}

		return true;
	}

	[Symbol.dispose](): void {
		this.#isOver = true;
		clearTimeout(this.#pending?.timer);
	}

	#apply(peer: string, value: unknown): void {
		const {log, now, shares} = this.#options;
		const services: string[] = [];
		let organisations = 0;
		for (const received of fromWireHistories(value)) {
			switch (received.type) {
				case 'valid': {
					if (shares.learn(received.history)) {
						services.push(received.history.service);
						organisations += received.history.organisations.length;
					}

					break;
				}

				case 'invalid': {
					if (this.#limiter.admit(peer, now())) {
						log.write({
							event: 'shares-ignored', peer, field: received.field, problem: received.problem,
						}, 'warn');
					}

					break;
				}

				default: {
					assertNever(received);
				}
			}
		}

		if (services.length > 0) {
			this.#isOver = true;
			this.#learnedCount = organisations;
			log.write({
				event: 'shares-learned', peer, services, organisations,
			});
		}
	}
}

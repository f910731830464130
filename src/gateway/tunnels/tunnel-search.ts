/** Asks hosts for a connection to one upstream, until one has it or none is left. */
import {assertNever} from '../../core/index.js';
import {type LinkFailure} from '../../core/gateway/health/links.js';
import {isGone, type AbsenceWitness, type TunnelPeer} from '../../core/gateway/health/tunnel-peers.js';
import {type OpenTunnelOffer} from './messages.js';
import {type TunnelResult} from './tunnel-client.js';

/** Hosts that are asked for one connection, and time in milliseconds for all of them. */
const maxAskedHosts = 24;
const searchTimeoutMs = 600;

/** Time in milliseconds after which a further host is asked while those before it haven't replied, and hosts that are asked at once. */
const nextHostDelayMs = 30;
const maxRunning = 6;

/** A host that has offered tunnels. */
export type Offerer = TunnelPeer & {
	readonly offer: OpenTunnelOffer;
	/** Groups of upstreams that it doesn't reach itself. */
	readonly lost: ReadonlySet<string>;
};

/** Result of a search. */
export type TunnelSearchResult
	= | {
		readonly type: 'connected';
		readonly tunnel: string;
		readonly peer: string;
		/** Offer by which the tunnel was opened. */
		readonly offer: OpenTunnelOffer;
		readonly result: Extract<TunnelResult, {readonly type: 'connected'}>;
	}
	/** Hosts with sound links couldn't connect either; the failure is that of the last one. */
	| {readonly type: 'absent'; readonly failure: LinkFailure}
	/** No host connected, and none with sound links says that the upstream is gone. */
	| {readonly type: 'none'};

export type TunnelSearchOptions = {
	/** Returns the hosts that haven't been asked, in the order in which to ask them. */
	readonly rank: (asked: ReadonlySet<string>) => readonly Offerer[];
	/** Lets further hosts make offers; returns whether some are about to. */
	readonly introduce: (asked: ReadonlySet<string>) => boolean;
	/** Asks a host. */
	readonly open: (host: Offerer, tunnel: string, signal: AbortSignal) => Promise<TunnelResult>;
	/** Called with each host that gave no connection. */
	readonly onRefusal: (host: Offerer) => void;
	/** Prefix of the ids of tunnels. */
	readonly id: string;
};

export class TunnelSearch {
	readonly #options: TunnelSearchOptions;
	readonly #asked = new Set<string>();
	readonly #witnesses: AbsenceWitness[] = [];
	readonly #ended = new AbortController();
	#failure: LinkFailure = 'silent';
	#running = 0;
	#nextTimer: NodeJS.Timeout | undefined;
	#resolve: ((result: TunnelSearchResult) => void) | undefined;

	/**
	 * @param options - Hosts to ask, and how.
	 */
	constructor(options: TunnelSearchOptions) {
		this.#options = options;
	}

	/**
	 * @param signal - Ends the search.
	 * @returns The first connection, or why there is none.
	 */
	async run(signal: AbortSignal): Promise<TunnelSearchResult> {
		const giveUp = () => {
			this.#finish({type: 'none'});
		};

		const timer = setTimeout(giveUp, searchTimeoutMs);
		signal.addEventListener('abort', giveUp, {once: true});
		try {
			return await new Promise(resolve => {
				this.#resolve = resolve;
				this.proceed();
			});
		} finally {
			clearTimeout(timer);
			clearTimeout(this.#nextTimer);
			signal.removeEventListener('abort', giveUp);
			this.#ended.abort();
		}
	}

	/** Asks the next host, if there is one: to be called when a host has made an offer, or won't make one. */
	proceed(): void {
		if (this.#isFinished || this.#running >= maxRunning) {
			return;
		}

		clearTimeout(this.#nextTimer);
		const host = this.#asked.size < maxAskedHosts ? this.#options.rank(this.#asked)[0] : undefined;
		if (host !== undefined) {
			this.#asked.add(host.name);
			void this.#ask(host);
			this.#nextTimer = setTimeout(() => {
				this.proceed();
			}, nextHostDelayMs);
			return;
		}

		const isIntroducing = this.#asked.size < maxAskedHosts && this.#options.introduce(this.#asked);
		if (!isIntroducing && this.#running === 0) {
			this.#finish(isGone(this.#witnesses, this.#witnesses.length === this.#asked.size) ? {type: 'absent', failure: this.#failure} : {type: 'none'});
		}
	}

	get #isFinished(): boolean {
		return this.#resolve === undefined;
	}

	async #ask(host: Offerer): Promise<void> {
		const tunnel = `${this.#options.id}.${this.#asked.size}`;
		this.#running++;
		const result = await this.#options.open(host, tunnel, this.#ended.signal);
		this.#running--;
		if (this.#isFinished) {
			if (result.type === 'connected') {
				result.socket.destroy();
			}

			return;
		}

		switch (result.type) {
			case 'connected': {
				this.#finish({
					type: 'connected', tunnel, peer: host.name, offer: host.offer, result,
				});
				return;
			}

			case 'absent': {
				this.#failure = result.failure;
				this.#witnesses.push({failureDomain: host.failureDomain, scope: result.scope ?? 'none'});
				break;
			}

			case 'refused':
			case 'unreachable': {
				break;
			}

			default: {
				assertNever(result);
			}
		}

		this.#options.onRefusal(host);
		if (isGone(this.#witnesses, false)) {
			this.#finish({type: 'absent', failure: this.#failure});
		} else {
			this.proceed();
		}
	}

	#finish(result: TunnelSearchResult): void {
		this.#resolve?.(result);
		this.#resolve = undefined;
	}
}

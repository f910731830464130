/** Tunnels that the linked hosts offer, and the search for one that connects to an upstream. */
import {type LinkedUpstream, type LinkFailure} from '../../core/gateway/health/links.js';
import {rankTunnelPeers, TunnelRefusals, type TunnelPeer} from '../../core/gateway/health/tunnel-peers.js';
import {type Log} from '../../entry/logs.js';
import {type Host} from '../peers/messages.js';
import {tunnelOfferSchema, type OpenTunnelOffer} from './messages.js';
import {openTunnel, type TunnelResult} from './tunnel-client.js';

/** Hosts that are asked for one connection. */
const maxAskedHosts = 4;

/** Failure domains with a host that couldn't connect, after which no other is asked: the upstream is gone. */
const conclusiveDomains = 2;

/** Time in milliseconds after which a further host is asked while those before it haven't replied. */
const nextHostDelayMs = 40;

type Offerer = TunnelPeer & {readonly offer: OpenTunnelOffer};

/** Result of a search. */
export type TunnelSearch
	= | {readonly type: 'connected'; readonly tunnel: string; readonly peer: string; readonly result: Extract<TunnelResult, {readonly type: 'connected'}>}
	/** Hosts that tried couldn't connect either; the reason is that of the last one. */
		| {readonly type: 'absent'; readonly failure: LinkFailure}
	/** No host tried. */
		| {readonly type: 'none'};

export type TunnelPeersOptions = {
	readonly host: string;
	readonly failureDomain: string;
	/** Unique name of this run of the process. */
	readonly incarnation: string;
	readonly log: Pick<Log, 'write'>;
	readonly now: () => number;
};

export class TunnelPeers {
	readonly #options: TunnelPeersOptions;
	readonly #offerers = new Map<string, Offerer>();
	readonly #refusals = new TunnelRefusals();
	#tunnelCount = 0;

	/**
	 * @param options - This host.
	 */
	constructor(options: TunnelPeersOptions) {
		this.#options = options;
	}

	/** Whether there is a host to ask. */
	get isAvailable(): boolean {
		return this.#offerers.size > 0;
	}

	/**
	 * @param peer - Name of a host.
	 * @returns Whether it opens tunnels.
	 */
	has(peer: string): boolean {
		return this.#offerers.has(peer);
	}

	/**
	 * @param peer - Linked host.
	 * @param offer - Its offer, as received; an invalid one is ignored.
	 * @returns Whether it no longer opens tunnels.
	 */
	applyOffer({name, failureDomain}: Host, offer: unknown): boolean {
		const parsed = tunnelOfferSchema.safeParse(offer);
		if (!parsed.success) {
			this.#options.log.write({event: 'tunnel-offer-ignored', peer: name, problem: parsed.error.issues[0]?.message}, 'warn');
			return false;
		}

		if (parsed.data.type === 'closed') {
			return this.#offerers.delete(name);
		}

		this.#offerers.set(name, {name, failureDomain, offer: parsed.data});
		return false;
	}

	/**
	 * @param peer - Name of a host that is no longer linked.
	 */
	remove(peer: string): void {
		this.#offerers.delete(peer);
	}

	/**
	 * Asks hosts for a connection, one after another, until one has it.
	 *
	 * @param upstream - Upstream to connect to.
	 * @param signal - Ends the search.
	 * @returns The first connection, or why there is none.
	 */
	async search(upstream: LinkedUpstream, signal: AbortSignal): Promise<TunnelSearch> {
		this.#tunnelCount++;
		const hosts = rankTunnelPeers([...this.#offerers.values()], upstream, {
			ownDomain: this.#options.failureDomain, refusals: this.#refusals, turn: this.#tunnelCount, now: this.#options.now(),
		}).slice(0, maxAskedHosts);
		const ended = new AbortController();
		const end = () => {
			ended.abort();
		};

		signal.addEventListener('abort', end, {once: true});
		try {
			return await this.#ask(hosts, upstream, ended);
		} finally {
			signal.removeEventListener('abort', end);
			ended.abort();
		}
	}

	async #ask(hosts: readonly Offerer[], upstream: LinkedUpstream, ended: AbortController): Promise<TunnelSearch> {
		let outcome: TunnelSearch = {type: 'none'};
		const search = this.#tunnelCount;
		return new Promise(resolve => {
			const absentDomains = new Set<string>();
			let next = 0;
			let running = 0;
			let isFinished = false;
			let timer: NodeJS.Timeout | undefined;
			const finish = (result: TunnelSearch) => {
				isFinished = true;
				clearTimeout(timer);
				resolve(result);
			};

			const askNext = () => {
				clearTimeout(timer);
				const host = isFinished || ended.signal.aborted ? undefined : hosts[next];
				if (host === undefined) {
					if (running === 0) {
						finish(outcome);
					}

					return;
				}

				next++;
				running++;
				const tunnel = `${this.#options.incarnation}.t${search}.${next}`;
				void (async () => {
					const result = await openTunnel(host.offer, {id: tunnel, from: this.#options.host, upstream: upstream.id}, ended.signal);
					running--;
					if (result.type === 'connected') {
						if (isFinished || ended.signal.aborted) {
							result.socket.destroy();
						}

						finish({
							type: 'connected', tunnel, peer: host.name, result,
						});
						return;
					}

					if (!isFinished && !ended.signal.aborted) {
						this.#refusals.record(host.name, upstream.failureDomain, this.#options.now());
					}

					if (result.type === 'absent') {
						outcome = {type: 'absent', failure: result.failure};
						absentDomains.add(host.failureDomain);
					}

					if (absentDomains.size >= conclusiveDomains) {
						finish(outcome);
					} else {
						askNext();
					}
				})();

				timer = setTimeout(askNext, nextHostDelayMs);
			};

			askNext();
		});
	}
}

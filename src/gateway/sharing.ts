/**
 * Spares the platform's store: in a failure domain of many hosts its relays read it and the others ask them. A host that can
 * reach no reader reads by itself; one that can't reach the store asks whoever it is linked with.
 */
import {type GatewayConfiguration} from '../core/gateway/types.js';
import {type Clock, type Moment} from '../entry/clock.js';
import {type Gateway} from './gateway.js';
import {encode} from './peers/messages.js';
import {type PeerState, type StateWanted} from './peers/state.js';

/**
 * Hosts of a domain from which on the others ask: below it there are too few to spare calls. With 70 hosts that each read
 * once a second, calls are a twentieth of what the day is worth.
 */
const smallestSharing = 5;

/** How a host learns what the store holds: by reading for itself, for others that ask it too, or by asking those. */
export type Reading = 'by asking' | 'for itself' | 'for others';

type Ask = {
	readonly host: string;
	readonly at: Moment;
	readonly done: () => void;
};

export type SharingOptions = {
	readonly self: string;
	readonly failureDomain: string;
	readonly clock: Clock;
};

export class Sharing {
	readonly #options: SharingOptions;
	readonly #gateway: Gateway;
	readonly #asks = new Map<number, Ask>();
	/** Version that each linked host was told of. */
	readonly #told = new Map<string, number>();
	/** The configuration in force as it is told: it is encoded once for all hosts that ask. */
	#frame: {readonly version: number; readonly bytes: Uint8Array} | undefined;
	#count = 0;
	#turn = 0;

	/**
	 * @param gateway - What is asked for and told of.
	 * @param options - Who this host is.
	 */
	constructor(gateway: Gateway, options: SharingOptions) {
		this.#gateway = gateway;
		this.#options = options;
	}

	/** How this host learns what the store holds, by the hosts that are linked now. */
	get reading(): Reading {
		if (!this.#isShared) {
			return 'for itself';
		}

		return this.#gateway.peers.relays.includes(this.#options.self) ? 'for others' : 'by asking';
	}

	/**
	 * Asks a reader of this failure domain.
	 *
	 * @param timeout - Milliseconds to wait.
	 */
	async askReader(timeout: number): Promise<void> {
		const readers = this.#gateway.peers.relays.filter(name => name !== this.#options.self);
		await this.#askOne(readers, timeout);
	}

	/**
	 * Asks any linked host, another one each time.
	 *
	 * @param timeout - Milliseconds to wait.
	 */
	async askAnyone(timeout: number): Promise<void> {
		await this.#askOne(this.#gateway.peers.hosts.map(host => host.name), timeout);
	}

	/**
	 * @param host - Host that is linked anew: what it was told may not have arrived.
	 */
	joined(host: string): void {
		this.#told.delete(host);
	}

	/**
	 * @param from - Peer that asks.
	 * @param wanted - What it has.
	 */
	answer(from: string, wanted: StateWanted): void {
		const gateway = this.#gateway;
		const configuration = gateway.directory?.configuration;
		if (configuration === undefined || gateway.registrations.revision === 0) {
			return;
		}

		if (configuration.version > wanted.version) {
			this.#tell(from, configuration);
		}

		const {upstreams, kept, ...revisions} = gateway.registrations.newsFor(wanted.revision);
		gateway.peers.send(from, {
			type: 'state',
			ask: wanted.ask,
			age: gateway.confirmedAge,
			version: configuration.version,
			...revisions,
			upstreams: upstreams === undefined ? undefined : [...upstreams],
			kept: kept === undefined ? undefined : [...kept],
		});
	}

	/**
	 * @param from - Peer that answered.
	 * @param state - What it told.
	 */
	heard(from: string, state: PeerState): void {
		const ask = this.#asks.get(state.ask);
		if (ask?.host !== from) {
			return;
		}

		this.#asks.delete(state.ask);
		// The peer answered at some time after it was asked.
		this.#gateway.takeState(from, state, state.age + this.#options.clock.since(ask.at));
		ask.done();
	}

	/** Tells a peer of the configuration, unless it is on its way to it over the same link: a large one takes long to arrive. */
	#tell(host: string, configuration: GatewayConfiguration): void {
		const {version} = configuration;
		if (this.#frame?.version !== version) {
			this.#frame = {version, bytes: encode({type: 'configuration', configuration})};
		}

		if (this.#told.get(host) !== version) {
			this.#told.set(host, version);
			this.#gateway.peers.sendFrame(host, this.#frame.bytes);
		}
	}

	/** Whether the relays of this host's failure domain read for the others. */
	get #isShared(): boolean {
		const {peers} = this.#gateway;
		const others = peers.hosts.filter(host => host.failureDomain === this.#options.failureDomain);
		return peers.isLargeFleet || others.length + 1 >= smallestSharing;
	}

	async #askOne(names: readonly string[], timeout: number): Promise<void> {
		this.#turn++;
		const host = names[this.#turn % Math.max(names.length, 1)];
		if (host === undefined) {
			return;
		}

		this.#count++;
		const id = this.#count;
		await new Promise<void>(resolve => {
			const timer = setTimeout(() => {
				this.#asks.delete(id);
				resolve();
			}, timeout);
			this.#asks.set(id, {
				host,
				at: this.#options.clock.moment(),
				done() {
					clearTimeout(timer);
					resolve();
				},
			});
			this.#gateway.peers.send(host, {
				type: 'state-wanted',
				ask: id,
				version: this.#gateway.directory?.configuration.version ?? 0,
				revision: this.#gateway.registrations.revision,
			});
		});
	}
}

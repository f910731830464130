/**
 * Reduces reads of the platform's store: in a failure domain with many hosts, only the relays read it, and the other hosts request the
 * state from them. A host that can't reach a relay reads the store itself; one that can't reach the store asks any linked host.
 */
import {type Directory} from '../../core/gateway/registry/directory.js';
import {type GatewayConfiguration} from '../../core/gateway/types.js';
import {type Clock, type Timestamp} from '../../entry/clock.js';
import {encode} from '../peers/messages.js';
import {type Peers} from '../peers/peers.js';
import {type PeerState, type StateRequest, type StateSummary} from '../peers/state.js';
import {type Registrations} from '../upstreams/registrations.js';

/**
 * Smallest failure domain whose hosts share reads; with fewer hosts there are too few calls to save. With 70 hosts that each read once a
 * second, the calls cost a twentieth of a day's total value.
 */
const minSharingHosts = 5;

/** How long to wait for a newer configuration that a peer has announced. */
const configurationTimeoutMs = 1000;

/** How a host gets the state of the store: reads it for itself, reads it for others as well, or asks a host that reads it. */
export type StoreAccess = 'by asking' | 'for itself' | 'for others';

type PendingRequest = {
	readonly host: string;
	readonly at: Timestamp;
	readonly done: () => void;
};

/** The state of this host that is sent to peers, and updated by theirs. */
export type StateHolder = {
	readonly peers: Peers;
	readonly registrations: Registrations;
	/** Lookup over the configuration in force, if there is one. */
	readonly directory: Directory | undefined;
	/** Milliseconds since the state was last known to be current. */
	readonly confirmedAge: number;
	/** Applies the state of a peer, which was known to be current `age` milliseconds ago. */
	readonly applyPeerState: (peer: string, state: PeerState, age: number) => void;
};

export type StateSyncOptions = {
	readonly self: string;
	readonly failureDomain: string;
	readonly clock: Clock;
};

export class StateSync {
	readonly #options: StateSyncOptions;
	readonly #gateway: StateHolder;
	readonly #pending = new Map<number, PendingRequest>();
	/** Version of the configuration last sent to each linked host. */
	readonly #sentVersions = new Map<string, number>();
	/** Message with the configuration in force, encoded once for all hosts that request it. */
	#configurationFrame: {readonly version: number; readonly bytes: Uint8Array} | undefined;
	#lastId = 0;
	#nextPeer = 0;
	/** Peer that last announced a newer configuration than the one in force here. */
	#announced: {readonly host: string; readonly version: number} | undefined;
	#isRequestingConfiguration = false;

	/**
	 * @param gateway - Gateway whose state is sent and updated.
	 * @param options - This host.
	 */
	constructor(gateway: StateHolder, options: StateSyncOptions) {
		this.#gateway = gateway;
		this.#options = options;
	}

	/** How this host gets the state of the store, given the hosts that are linked at present. */
	get storeAccess(): StoreAccess {
		if (!this.#isShared) {
			return 'for itself';
		}

		return this.#gateway.peers.relays.includes(this.#options.self) ? 'for others' : 'by asking';
	}

	/**
	 * Requests the state from another relay of this failure domain. Resolves with the response or after the timeout.
	 *
	 * @param timeout - Milliseconds to wait.
	 */
	async requestFromRelay(timeout: number): Promise<void> {
		const readers = this.#gateway.peers.relays.filter(name => name !== this.#options.self);
		await this.#requestFromOne(readers, timeout);
	}

	/**
	 * Requests the state from any linked host, in rotation. Resolves with the response or after the timeout.
	 *
	 * @param timeout - Milliseconds to wait.
	 */
	async requestFromAnyPeer(timeout: number): Promise<void> {
		await this.#requestFromOne(this.#gateway.peers.hosts.map(host => host.name), timeout);
	}

	/**
	 * Forgets what was sent to a host over its previous link, as it may not have arrived.
	 *
	 * @param host - Host that has just been linked.
	 */
	handlePeerJoined(host: string): void {
		this.#sentVersions.delete(host);
	}

	/**
	 * Records a peer's summary of its state. A newer configuration is requested from the peer, as the store may have returned from a
	 * backup that lacks it.
	 *
	 * @param from - Peer.
	 * @param summary - Its summary.
	 */
	handleSummary(from: string, {era = 0, eraAge, version = 0}: StateSummary): void {
		this.#gateway.registrations.recordEra(era, from, eraAge);
		if (version > (this.#announced?.version ?? 0)) {
			this.#announced = {host: from, version};
		}

		void this.requestNewerConfiguration();
	}

	/** Requests a newer configuration once from the peer that announced it. Until the store has been read once, it is expected to have it. */
	async requestNewerConfiguration(): Promise<void> {
		const {registrations, directory} = this.#gateway;
		const announced = this.#announced;
		if (announced === undefined || this.#isRequestingConfiguration || registrations.position.revision === 0) {
			return;
		}

		this.#announced = undefined;
		if (announced.version <= (directory?.configuration.version ?? 0)) {
			return;
		}

		this.#isRequestingConfiguration = true;
		await this.#requestFromOne([announced.host], configurationTimeoutMs);
		this.#isRequestingConfiguration = false;
	}

	/**
	 * Answers a request for the state, unless this host has none yet.
	 *
	 * @param from - Requester.
	 * @param request - Versions that the requester has.
	 */
	handleRequest(from: string, request: StateRequest): void {
		const gateway = this.#gateway;
		const configuration = gateway.directory?.configuration;
		if (configuration === undefined || gateway.registrations.position.revision === 0) {
			return;
		}

		if (configuration.version > request.version) {
			this.#sendConfiguration(from, configuration);
		}

		// A host that doesn't know of eras can't be told that it is behind: it ignores whatever has a lower revision.
		const {era = gateway.registrations.position.era, revision} = request;
		const {upstreams, withheld, evacuated, kept, ...position} = gateway.registrations.createUpdate({era, revision});
		gateway.peers.send(from, {
			type: 'state',
			ask: request.ask,
			age: gateway.confirmedAge,
			version: configuration.version,
			...position,
			upstreams: upstreams === undefined ? undefined : [...upstreams],
			withheld: withheld === undefined ? undefined : [...withheld],
			evacuated: evacuated === undefined ? undefined : [...evacuated],
			kept: kept === undefined ? undefined : [...kept],
		});
	}

	/**
	 * @param from - Peer that responded.
	 * @param state - State of the peer.
	 */
	handleState(from: string, state: PeerState): void {
		const request = this.#pending.get(state.ask);
		if (request?.host !== from) {
			return;
		}

		this.#pending.delete(state.ask);
		// The peer responded at an unknown time after the request was sent, so the age may be too high, never too low.
		this.#gateway.applyPeerState(from, state, state.age + this.#options.clock.getElapsedTime(request.at));
		request.done();
	}

	/** Sends the configuration, unless it was already sent over the same link: a large one takes long to arrive. */
	#sendConfiguration(host: string, configuration: GatewayConfiguration): void {
		const {version} = configuration;
		if (this.#configurationFrame?.version !== version) {
			this.#configurationFrame = {version, bytes: encode({type: 'configuration', configuration})};
		}

		if (this.#sentVersions.get(host) !== version) {
			this.#sentVersions.set(host, version);
			this.#gateway.peers.sendFrame(host, this.#configurationFrame.bytes, 'configuration');
		}
	}

	/** Whether the relays of this host's failure domain read the store for the other hosts. */
	get #isShared(): boolean {
		const {peers} = this.#gateway;
		const others = peers.hosts.filter(host => host.failureDomain === this.#options.failureDomain);
		return peers.isLargeFleet || others.length + 1 >= minSharingHosts;
	}

	async #requestFromOne(hosts: readonly string[], timeout: number): Promise<void> {
		this.#nextPeer++;
		const host = hosts[this.#nextPeer % Math.max(hosts.length, 1)];
		if (host === undefined) {
			return;
		}

		this.#lastId++;
		const id = this.#lastId;
		await new Promise<void>(resolve => {
			const timer = setTimeout(() => {
				this.#pending.delete(id);
				resolve();
			}, timeout);
			this.#pending.set(id, {
				host,
				at: this.#options.clock.createTimestamp(),
				done() {
					clearTimeout(timer);
					resolve();
				},
			});
			this.#gateway.peers.send(host, {
				type: 'state-wanted',
				ask: id,
				version: this.#gateway.directory?.configuration.version ?? 0,
				...this.#gateway.registrations.position,
			});
		});
	}
}

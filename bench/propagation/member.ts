/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- The fakes have only the members that are used here. */
/** A simulated host: its view of the upstreams, read from the simulated store or received from other hosts. */
import {Follower} from '../../platform/follower.js';
import {type Store} from '../../platform/store.js';
import {type GatewayUpstream} from '../../src/core/gateway/types.js';
import {Clock} from '../../src/entry/clock.js';
import {type LogLine, type Log} from '../../src/entry/logs.js';
import {Gateway} from '../../src/gateway/gateway.js';
import {createMessageReader, type Host, type Message} from '../../src/gateway/peers/messages.js';
import {selectRelays} from '../../src/gateway/peers/topology.js';
import {settingsSchema} from '../../src/gateway/settings.js';
import {StoreClient} from './store-client.js';
import {type SimulatedStore} from './store.js';

/** The bounds of a large fleet. */
export const stalenessBoundMs = 3000;
const revocationMs = 5000;

/** Delivers messages between hosts. */
export type Network = {
	readonly getVisibleHosts: (name: string) => readonly Host[];
	readonly send: (from: string, to: string, message: Message) => void;
};

/** A clock in virtual time whose monotonic part may stop while its host is frozen. */
class VirtualClock extends Clock {
	/** Milliseconds for which the monotonic clock stopped. */
	lost = 0;

	override now(): number {
		return performance.now() - this.lost;
	}
}

export class Member {
	readonly host: Host;
	readonly storeClient: StoreClient;
	readonly lines: LogLine[] = [];
	/** End of the latest fault. */
	disturbedUntil = Number.NEGATIVE_INFINITY;
	frozenUntil = 0;
	/** End of the time in which it handles messages late. */
	slowUntil = 0;
	isAlive = true;
	readonly #clock = new VirtualClock();
	readonly #network: Network;
	readonly #random: () => number;
	#gateway: Gateway | undefined;
	#follower: Follower | undefined;

	/**
	 * @param host - Name and address, as its peers know it.
	 * @param network - Delivers its messages.
	 * @param store - Store that it reads.
	 * @param random - Uniform from 0 to 1.
	 */
	constructor(host: Host, network: Network, store: SimulatedStore, random: () => number) {
		this.host = host;
		this.#network = network;
		this.#random = random;
		this.storeClient = new StoreClient(store, async () => this.waitUntilRunning());
	}

	get name(): string {
		return this.host.name;
	}

	get isFrozen(): boolean {
		return performance.now() < this.frozenUntil;
	}

	/** Upstreams as this host knows them. */
	get upstreams(): readonly GatewayUpstream[] {
		return this.#gateway?.upstreams.all ?? [];
	}

	/** Highest era of the store that this host knows. */
	get era(): number {
		return this.#gateway?.registrations.era ?? 0;
	}

	/** Resolves when the host is not frozen. */
	async waitUntilRunning(): Promise<void> {
		while (this.isFrozen) {
			const remainingTime = this.frozenUntil - performance.now();
			await new Promise(resolve => {
				setTimeout(resolve, remainingTime);
			});
		}
	}

	start(): void {
		this.isAlive = true;
		const log: Pick<Log, 'write'> = {
			write: line => {
				this.lines.push({at: Math.round(performance.now()), ...line});
			},
		};
		const settings = settingsSchema.parse({
			host: this.name,
			failureDomain: 'a', caller: '127.0.0.1:1', ready: '127.0.0.1:2', peer: '127.0.0.1:3', store: '127.0.0.1:4',
			drainDelay: stalenessBoundMs, configurationDelay: stalenessBoundMs, revocation: revocationMs,
		});
		const gateway = new Gateway(settings, this.#clock, log as Log);
		Object.assign(gateway, {peers: this.#createPeers()});
		gateway.applyConfiguration({
			version: 1, routes: [], services: [], limits: {
				headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1,
			},
		});
		const follower = new Follower({
			store: this.storeClient as unknown as Store,
			gateway,
			clock: this.#clock,
			log: log as Log,
			maxValueBytes: Number.POSITIVE_INFINITY,
			stalenessBound: stalenessBoundMs,
			revocation: revocationMs,
			random: this.#random,
		});
		follower.start();
		this.#gateway = gateway;
		this.#follower = follower;
	}

	/** Ends the process without notice to its peers. */
	kill(): void {
		this.isAlive = false;
		void this.#follower?.[Symbol.asyncDispose]();
		this.#follower = undefined;
		this.#gateway = undefined;
	}

	/**
	 * @param time - Milliseconds from now for which the host does nothing.
	 * @param isClockRunning - Whether its monotonic clock continues meanwhile.
	 */
	freeze(time: number, isClockRunning: boolean): void {
		this.frozenUntil = performance.now() + time;
		if (!isClockRunning) {
			this.#clock.lost += time;
		}
	}

	/**
	 * @param host - Host that a new link leads to.
	 */
	handleJoined(host: string): void {
		this.#gateway?.sharing.handlePeerJoined(host);
	}

	/**
	 * Sends what a handshake tells of this host's state.
	 *
	 * @param host - Host that is linked with this one.
	 */
	sendSummary(host: string): void {
		const registrations = this.#gateway?.registrations;
		if (registrations !== undefined) {
			this.#network.send(this.name, host, {type: 'heartbeat', state: {era: registrations.era, eraAge: registrations.eraAge, version: 1}});
		}
	}

	/**
	 * @param from - Host that sent it.
	 * @param message - Message.
	 */
	handleMessage(from: string, message: Message): void {
		const gateway = this.#gateway;
		if (gateway === undefined) {
			return;
		}

		if (message.type === 'state-wanted') {
			gateway.sharing.handleRequest(from, message);
		} else if (message.type === 'state') {
			gateway.sharing.handleState(from, message);
		} else if (message.type === 'heartbeat' && message.state !== undefined) {
			gateway.sharing.handleSummary(from, message.state);
		}
	}

	/** Creates a fake of the gateway's links to its peers, with the members that the sharing of state uses. */
	#createPeers(): unknown {
		const network = this.#network;
		const {host, name} = this;
		return {
			isLargeFleet: true,
			get hosts() {
				return network.getVisibleHosts(name);
			},
			get relays() {
				return selectRelays('a', [host, ...network.getVisibleHosts(name)]).map(each => each.name);
			},
			send(to: string, message: Message) {
				network.send(name, to, message);
			},
			sendFrame(to: string, frame: Uint8Array) {
				for (const message of createMessageReader().push(frame)) {
					network.send(name, to, message);
				}
			},
			announceState: () => {
				for (const peer of network.getVisibleHosts(name)) {
					this.sendSummary(peer.name);
				}
			},
			async [Symbol.asyncDispose]() {
				// No connections are open.
			},
		};
	}
}

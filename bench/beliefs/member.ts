/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- Only what the follower and the sharing of beliefs reach stands in for the rest. */
/** A host of a played fleet: what it knows of the platform, read from the played store or told by other hosts. */
import {Follower} from '../../platform/follower.js';
import {type Store} from '../../platform/store.js';
import {type GatewayUpstream} from '../../src/core/gateway/types.js';
import {Clock} from '../../src/entry/clock.js';
import {type Line, type Log} from '../../src/entry/logs.js';
import {Gateway} from '../../src/gateway/gateway.js';
import {messageReader, type Host, type Message} from '../../src/gateway/peers/messages.js';
import {relaysOf} from '../../src/gateway/peers/topology.js';
import {settingsSchema} from '../../src/gateway/settings.js';
import {StoreWay, type PlayedStore} from './store.js';

/** Milliseconds: the bounds of a large fleet. */
export const newsBound = 3000;
const revocation = 5000;

/** How hosts reach each other. */
export type Network = {
	readonly visible: (name: string) => readonly Host[];
	readonly send: (from: string, to: string, message: Message) => void;
};

/** The virtual clock, which may stand still while its host does. */
class PlayedClock extends Clock {
	/** Milliseconds that the monotonic clock did not count. */
	lost = 0;

	override now(): number {
		return performance.now() - this.lost;
	}
}

export class Member {
	readonly host: Host;
	readonly way: StoreWay;
	readonly lines: Line[] = [];
	/** When something last went wrong with this host, and until when it stands still or handles messages late. */
	disturbed = Number.NEGATIVE_INFINITY;
	frozenUntil = 0;
	slowUntil = 0;
	isAlive = true;
	readonly #clock = new PlayedClock();
	readonly #network: Network;
	#gateway: Gateway | undefined;
	#follower: Follower | undefined;

	/**
	 * @param host - Who it is.
	 * @param network - How it reaches the others.
	 * @param store - What it reads.
	 */
	constructor(host: Host, network: Network, store: PlayedStore) {
		this.host = host;
		this.#network = network;
		this.way = new StoreWay(store, async () => this.awake());
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

	/** Settles when the host runs. */
	async awake(): Promise<void> {
		while (this.isFrozen) {
			const left = this.frozenUntil - performance.now();
			await new Promise(resolve => {
				setTimeout(resolve, left);
			});
		}
	}

	/** Starts the process. */
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
			drainDelay: newsBound, configurationDelay: newsBound, revocation,
		});
		const gateway = new Gateway(settings, this.#clock, log as Log);
		Object.assign(gateway, {peers: this.#peers()});
		gateway.adopt({
			version: 1, routes: [], services: [], limits: {
				headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1,
			},
		});
		const follower = new Follower({
			store: this.way as unknown as Store, gateway, clock: this.#clock, log: log as Log, newsBound, revocation,
		});
		follower.start();
		this.#gateway = gateway;
		this.#follower = follower;
	}

	/** Ends the process at once. */
	kill(): void {
		this.isAlive = false;
		void this.#follower?.[Symbol.asyncDispose]();
		this.#follower = undefined;
		this.#gateway = undefined;
	}

	/**
	 * @param time - Milliseconds for which it stands still from now on.
	 * @param isCounted - Whether its monotonic clock goes on meanwhile.
	 */
	freeze(time: number, isCounted: boolean): void {
		this.frozenUntil = performance.now() + time;
		if (!isCounted) {
			this.#clock.lost += time;
		}
	}

	/**
	 * @param host - Host that is linked anew.
	 */
	joined(host: string): void {
		this.#gateway?.sharing.joined(host);
	}

	/**
	 * @param from - Host that sent it.
	 * @param message - What it sent.
	 */
	receive(from: string, message: Message): void {
		const gateway = this.#gateway;
		if (gateway === undefined) {
			return;
		}

		if (message.type === 'state-wanted') {
			gateway.sharing.answer(from, message);
		} else if (message.type === 'state') {
			gateway.sharing.heard(from, message);
		}
	}

	/** The part of the links that sharing asks. */
	#peers(): unknown {
		const network = this.#network;
		const {host, name} = this;
		return {
			isLargeFleet: true,
			get hosts() {
				return network.visible(name);
			},
			get relays() {
				return relaysOf('a', [host, ...network.visible(name)]).map(each => each.name);
			},
			send(to: string, message: Message) {
				network.send(name, to, message);
			},
			sendFrame(to: string, frame: Uint8Array) {
				for (const message of messageReader().push(frame)) {
					network.send(name, to, message);
				}
			},
			async [Symbol.asyncDispose]() {
				// Nothing is open.
			},
		};
	}
}

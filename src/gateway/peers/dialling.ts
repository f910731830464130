/** Which hosts this one dials and when, and which links it lets go. */
import {createConnection, type Socket} from 'node:net';
import {type Address} from '../../core/index.js';
import {type Acquaintance, type Acquaintances, keyOf} from './acquaintances.js';
import {type Link} from './link.js';
import {type Host} from './messages.js';
import {neighbours} from './topology.js';

/** Milliseconds to make a connection. */
const connectTimeout = 800;

/** Milliseconds between looks for hosts to dial in the first seconds of a process; later each heartbeat looks. */
const youngInterval = 50;

export type DiallingOptions = {
	readonly self: Host;
	readonly seeds: readonly Address[];
	readonly acquaintances: Acquaintances;
	/** Links by the name of the host at their other end. */
	readonly links: ReadonlyMap<string, Link>;
	readonly isLargeFleet: () => boolean;
	readonly now: () => number;
	readonly connected: (socket: Socket) => void;
	/** A link that this host dialled is needed no more. */
	readonly release: (link: Link) => void;
};

export class Dialling implements Disposable {
	readonly #options: DiallingOptions;
	#timer: NodeJS.Timeout | undefined;

	/**
	 * @param options - Who is dialled from where.
	 */
	constructor(options: DiallingOptions) {
		this.#options = options;
	}

	/** Looks at once and, for some seconds, often. */
	start(): void {
		const {acquaintances, now} = this.#options;
		this.look();
		this.#timer = setInterval(() => {
			if (acquaintances.isYoung(now())) {
				this.look();
			} else {
				clearInterval(this.#timer);
			}
		}, youngInterval);
	}

	/** Dials hosts that are to be linked, and lets others go. */
	look(): void {
		const now = this.#options.now();
		const wanted = this.#wanted();
		for (const [key, each] of this.#options.acquaintances.all) {
			this.#consider(each, wanted?.has(key) ?? true, now);
		}
	}

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
	}

	/** Keys of the hosts to be linked with; undefined where that is everyone. */
	#wanted(): ReadonlySet<string> | undefined {
		const {self, acquaintances, isLargeFleet} = this.#options;
		return isLargeFleet() ? new Set(neighbours(self, acquaintances.reachable).map(host => keyOf(host.address))) : undefined;
	}

	#consider(each: Acquaintance, isChosen: boolean, now: number): void {
		const {links, release, seeds, acquaintances} = this.#options;
		const isWanted = isChosen || each.host === undefined;
		const link = each.host === undefined ? undefined : links.get(each.host.name);
		if (link !== undefined) {
			each.seen = now;
			if (!isWanted && link.isDialled) {
				release(link);
			}

			return;
		}

		if (!isWanted) {
			return;
		}

		const isSeed = seeds.some(seed => keyOf(seed) === keyOf(each.address));
		const isForgotten = !isSeed && acquaintances.forget(each, now);
		if (!isForgotten && !each.isDialling && now >= each.nextDial) {
			this.#dial(each);
		}
	}

	#dial(each: Acquaintance): void {
		each.isDialling = true;
		const socket = createConnection({host: each.address.host, port: each.address.port});
		const timer = setTimeout(() => {
			socket.destroy();
		}, connectTimeout);
		let isConnected = false;
		socket.once('connect', () => {
			isConnected = true;
			clearTimeout(timer);
			this.#options.connected(socket);
		});
		socket.on('error', () => {
			// The close that follows counts it; a host that can't be reached is no news until it was linked.
		});
		socket.once('close', () => {
			clearTimeout(timer);
			this.#options.acquaintances.dialled(each, isConnected, this.#options.now());
		});
	}
}

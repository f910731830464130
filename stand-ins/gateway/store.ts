/** The users' metadata store, read side: ranges in pages, watches, and its outages. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {assertNever, type Address} from '../../src/core/index.js';
import {portOf} from '../../src/entry/ports.js';

type Item = {
	readonly Key: string;
	readonly Value: string;
	readonly Revision: number;
	readonly Created: number;
	readonly Lease: number;
};

type Event = Item | {readonly Key: string; readonly Revision: number; readonly Deleted: true};

/** How the store treats calls. */
export type StoreMode = 'serving' | 'busy' | 'silent' | 'reset';

type Waiting = {
	readonly prefix: string;
	readonly after: number;
	readonly outgoing: ServerResponse;
	readonly timer: NodeJS.Timeout;
};

const pageItems = 50;
const loopback = '127.0.0.1';

export class StoreStandIn implements AsyncDisposable {
	/** How calls are treated from now on; those that wait are not touched. */
	mode: StoreMode = 'serving';
	/** The same for calls that come to the side address. */
	sideMode: StoreMode = 'serving';
	/** Calls received. */
	calls = 0;
	readonly #server: Server;
	readonly #side: Server;
	readonly #items = new Map<string, Item>();
	#history: Event[] = [];
	#oldest = 0;
	#revision = 100;
	readonly #waiting = new Set<Waiting>();

	constructor() {
		this.#server = createServer((incoming, outgoing) => {
			this.calls++;
			this.#treat(this.mode, incoming, outgoing);
		});
		this.#side = createServer((incoming, outgoing) => {
			this.calls++;
			this.#treat(this.sideMode, incoming, outgoing);
		});
	}

	get address(): Address {
		return {host: loopback, port: portOf(this.#server)};
	}

	/** The same store, for hosts that are treated apart. */
	get sideAddress(): Address {
		return {host: loopback, port: portOf(this.#side)};
	}

	/** Starts to listen on free ports. */
	async listen(): Promise<void> {
		for (const server of [this.#server, this.#side]) {
			server.listen(0, loopback);
			await once(server, 'listening');
		}
	}

	/**
	 * @param key - Key.
	 * @param value - Written as JSON, or as it is if it is bytes.
	 */
	put(key: string, value: unknown): void {
		this.#revision++;
		const bytes = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value));
		const item: Item = {
			Key: key, Value: bytes.toString('base64'), Revision: this.#revision, Created: this.#items.get(key)?.Created ?? this.#revision, Lease: 0,
		};
		this.#items.set(key, item);
		this.#record(item);
	}

	/**
	 * @param key - Key to remove.
	 */
	remove(key: string): void {
		this.#revision++;
		this.#items.delete(key);
		this.#record({Key: key, Revision: this.#revision, Deleted: true});
	}

	/** Drops the history: watches from before are told so. */
	compact(): void {
		this.#history = [];
		this.#oldest = this.#revision;
		for (const waiting of this.#waiting) {
			this.#drop(waiting);
			waiting.outgoing.destroy();
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const server of [this.#server, this.#side]) {
			const closed = once(server, 'close');
			server.close();
			server.closeAllConnections();
			await closed;
		}
	}

	#record(event: Event): void {
		this.#history.push(event);
		for (const waiting of this.#waiting) {
			if (event.Key.startsWith(waiting.prefix)) {
				this.#drop(waiting);
				this.#answerWatch(waiting.prefix, waiting.after, waiting.outgoing);
			}
		}
	}

	#drop(waiting: Waiting): void {
		clearTimeout(waiting.timer);
		this.#waiting.delete(waiting);
	}

	#treat(mode: StoreMode, incoming: IncomingMessage, outgoing: ServerResponse): void {
		switch (mode) {
			case 'serving': {
				this.#serve(incoming, outgoing);
				return;
			}

			case 'busy': {
				outgoing.writeHead(503);
				outgoing.end();
				return;
			}

			case 'reset': {
				incoming.socket.resetAndDestroy();
				return;
			}

			case 'silent': {
				return;
			}

			default: {
				assertNever(mode);
			}
		}
	}

	#serve(incoming: IncomingMessage, outgoing: ServerResponse): void {
		const url = new URL(incoming.url ?? '/', 'http://store');
		const prefix = url.searchParams.get('Prefix') ?? '';
		switch (url.pathname) {
			case '/v1/kv-range': {
				this.#answerRange(prefix, url.searchParams.get('After') ?? '', outgoing);
				return;
			}

			case '/v1/kv-watch': {
				this.#watch(prefix, Number(url.searchParams.get('After')), Number(url.searchParams.get('WaitMs')), outgoing);
				return;
			}

			default: {
				outgoing.writeHead(404);
				outgoing.end();
			}
		}
	}

	#answerRange(prefix: string, after: string, outgoing: ServerResponse): void {
		const keys = [...this.#items.keys()].filter(key => key.startsWith(prefix) && key > after).toSorted();
		const page = keys.slice(0, pageItems);
		answerJson(outgoing, {Items: page.map(key => this.#items.get(key)), MorePages: keys.length > page.length, AsOf: this.#revision});
	}

	#watch(prefix: string, after: number, wait: number, outgoing: ServerResponse): void {
		const isNews = this.#history.some(event => event.Revision > after && event.Key.startsWith(prefix));
		if (isNews || after < this.#oldest) {
			this.#answerWatch(prefix, after, outgoing);
			return;
		}

		const waiting: Waiting = {
			prefix,
			after,
			outgoing,
			timer: setTimeout(() => {
				this.#waiting.delete(waiting);
				this.#answerWatch(prefix, after, outgoing);
			}, wait),
		};
		this.#waiting.add(waiting);
	}

	#answerWatch(prefix: string, after: number, outgoing: ServerResponse): void {
		if (after < this.#oldest) {
			outgoing.writeHead(410);
			outgoing.end();
			return;
		}

		const events = this.#history.filter(event => event.Revision > after && event.Key.startsWith(prefix));
		answerJson(outgoing, {events, AsOf: this.#revision});
	}
}

function answerJson(outgoing: ServerResponse, value: unknown): void {
	const body = JSON.stringify(value);
	outgoing.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
	outgoing.end(body);
}

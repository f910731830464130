/** Stand-in for the read side of the users' metadata store: paged ranges, watches, outages and returns from a backup. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {assertNever, type Address} from '../../src/core/index.js';
import {getPort} from '../../src/entry/ports.js';

type Item = {
	readonly Key: string;
	readonly Value: string;
	readonly Revision: number;
	readonly Created: number;
	readonly Lease: number;
};

type Event = Item | {readonly Key: string; readonly Revision: number; readonly Deleted: true};

/** How the store answers calls. */
export type StoreMode = 'serving' | 'busy' | 'silent' | 'reset';

/** Content of the store at one moment, from which it can be restored. */
export type StoreBackup = {
	readonly items: ReadonlyMap<string, Item>;
	readonly history: readonly Event[];
	readonly revision: number;
};

/** What one reader sees in place of the value of a key. */
export type StoreView = (key: string, value: unknown) => unknown;

type PendingWatch = {
	readonly view: StoreView | undefined;
	readonly prefix: string;
	readonly after: number;
	readonly outgoing: ServerResponse;
	readonly timer: NodeJS.Timeout;
};

const maxPageItems = 50;
const loopback = '127.0.0.1';

export class StoreStandIn implements AsyncDisposable {
	/** How new calls are answered; pending watches are not affected. */
	mode: StoreMode = 'serving';
	/** How new calls to the secondary address are answered. */
	secondaryMode: StoreMode = 'serving';
	/** Number of calls received. */
	calls = 0;
	/** Rises with each return from a backup; sent with every answer, as it is. Nothing is sent if undefined. */
	era: number | string | undefined = 1;
	/** Called before each page of a range is sent. */
	onRange: (() => void) | undefined;
	readonly #server: Server;
	readonly #secondaryServer: Server;
	readonly #viewServers: Server[] = [];
	#items = new Map<string, Item>();
	#history: Event[] = [];
	#compactedRevision = 0;
	#revision = 100;
	readonly #pendingWatches = new Set<PendingWatch>();

	constructor() {
		this.#server = createServer((incoming, outgoing) => {
			this.calls++;
			this.#handleCall(this.mode, incoming, outgoing);
		});
		this.#secondaryServer = createServer((incoming, outgoing) => {
			this.calls++;
			this.#handleCall(this.secondaryMode, incoming, outgoing);
		});
	}

	get address(): Address {
		return {host: loopback, port: getPort(this.#server)};
	}

	/** Resets all connections to the secondary address, those of pending watches too, and each new one. */
	cutSecondaryAddress(): void {
		this.secondaryMode = 'reset';
		this.#secondaryServer.closeAllConnections();
	}

	/** A second address of the same store, so that some hosts can lose the store while others keep it. */
	get secondaryAddress(): Address {
		return {host: loopback, port: getPort(this.#secondaryServer)};
	}

	/**
	 * Opens another address of the same store.
	 *
	 * @param view - Changes what its readers see.
	 * @returns The address.
	 */
	async listenAs(view: StoreView): Promise<Address> {
		const server = createServer((incoming, outgoing) => {
			this.calls++;
			this.#handleCall(this.mode, incoming, outgoing, view);
		});
		this.#viewServers.push(server);
		server.listen(0, loopback);
		await once(server, 'listening');
		return {host: loopback, port: getPort(server)};
	}

	/** Starts to listen on free ports. */
	async listen(): Promise<void> {
		for (const server of [this.#server, this.#secondaryServer]) {
			server.listen(0, loopback);
			await once(server, 'listening');
		}
	}

	/**
	 * Sets a key and notifies watches.
	 *
	 * @param value - Stored as JSON; a buffer is stored as it is.
	 */
	put(key: string, value: unknown): void {
		this.#revision++;
		const bytes = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value));
		const item: Item = {
			Key: key, Value: bytes.toString('base64'), Revision: this.#revision, Created: this.#items.get(key)?.Created ?? this.#revision, Lease: 0,
		};
		this.#items.set(key, item);
		this.#recordEvent(item);
	}

	/** Removes a key and notifies watches. */
	remove(key: string): void {
		this.#revision++;
		this.#items.delete(key);
		this.#recordEvent({Key: key, Revision: this.#revision, Deleted: true});
	}

	/** Drops the history: pending watches are disconnected, and later ones from an older revision get status 410. */
	compact(): void {
		this.#history = [];
		this.#compactedRevision = this.#revision;
		this.#disconnectWatches();
	}

	/** Returns a backup of the present content. */
	backUp(): StoreBackup {
		return {items: new Map(this.#items), history: [...this.#history], revision: this.#revision};
	}

	/** Returns to a backup in a new era: what was written since is lost, its revisions are assigned again, and pending watches are disconnected. */
	restore({items, history, revision}: StoreBackup): void {
		this.#items = new Map(items);
		this.#history = [...history];
		this.#revision = revision;
		this.#compactedRevision = Math.min(this.#compactedRevision, revision);
		this.era = typeof this.era === 'number' ? this.era + 1 : this.era;
		this.#disconnectWatches();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const server of [this.#server, this.#secondaryServer, ...this.#viewServers]) {
			const closed = once(server, 'close');
			server.close();
			server.closeAllConnections();
			await closed;
		}
	}

	#disconnectWatches(): void {
		for (const watch of this.#pendingWatches) {
			this.#removeWatch(watch);
			watch.outgoing.destroy();
		}
	}

	#recordEvent(event: Event): void {
		this.#history.push(event);
		for (const watch of this.#pendingWatches) {
			if (event.Key.startsWith(watch.prefix)) {
				this.#removeWatch(watch);
				this.#sendEvents(watch);
			}
		}
	}

	#removeWatch(watch: PendingWatch): void {
		clearTimeout(watch.timer);
		this.#pendingWatches.delete(watch);
	}

	#handleCall(mode: StoreMode, incoming: IncomingMessage, outgoing: ServerResponse, view?: StoreView): void {
		if (this.era !== undefined) {
			outgoing.setHeader('Store-Era', this.era);
		}

		switch (mode) {
			case 'serving': {
				this.#serve(incoming, outgoing, view);
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

	#serve(incoming: IncomingMessage, outgoing: ServerResponse, view: StoreView | undefined): void {
		const url = new URL(incoming.url ?? '/', 'http://store');
		const prefix = url.searchParams.get('Prefix') ?? '';
		switch (url.pathname) {
			case '/v1/kv-range': {
				this.#sendRange(prefix, url.searchParams.get('After') ?? '', outgoing, view);
				return;
			}

			case '/v1/kv-watch': {
				this.#watch({
					view, prefix, after: Number(url.searchParams.get('After')), outgoing,
				}, Number(url.searchParams.get('WaitMs')));
				return;
			}

			default: {
				outgoing.writeHead(404);
				outgoing.end();
			}
		}
	}

	#sendRange(prefix: string, after: string, outgoing: ServerResponse, view: StoreView | undefined): void {
		this.onRange?.();
		const keys = [...this.#items.keys()].filter(key => key.startsWith(prefix) && key > after).toSorted();
		const page = keys.slice(0, maxPageItems);
		sendJson(outgoing, {Items: page.map(key => applyView(this.#items.get(key)!, view)), MorePages: keys.length > page.length, AsOf: this.#revision});
	}

	#watch(query: Omit<PendingWatch, 'timer'>, timeout: number): void {
		const {prefix, after} = query;
		const hasEvents = this.#history.some(event => event.Revision > after && event.Key.startsWith(prefix));
		if (hasEvents || !this.#hasHistoryAfter(after)) {
			this.#sendEvents(query);
			return;
		}

		const watch: PendingWatch = {
			...query,
			timer: setTimeout(() => {
				this.#pendingWatches.delete(watch);
				this.#sendEvents(query);
			}, timeout),
		};
		this.#pendingWatches.add(watch);
	}

	#hasHistoryAfter(revision: number): boolean {
		return revision >= this.#compactedRevision && revision <= this.#revision;
	}

	#sendEvents({
		prefix, after, outgoing, view,
	}: Omit<PendingWatch, 'timer'>): void {
		if (!this.#hasHistoryAfter(after)) {
			outgoing.writeHead(410);
			outgoing.end();
			return;
		}

		const events = this.#history.filter(event => event.Revision > after && event.Key.startsWith(prefix));
		sendJson(outgoing, {events: events.map(event => 'Value' in event ? applyView(event, view) : event), AsOf: this.#revision});
	}
}

function applyView(item: Item, view: StoreView | undefined): Item {
	if (view === undefined) {
		return item;
	}

	const value: unknown = JSON.parse(Buffer.from(item.Value, 'base64').toString('utf8'));
	return {...item, Value: Buffer.from(JSON.stringify(view(item.Key, value))).toString('base64')};
}

function sendJson(outgoing: ServerResponse, value: unknown): void {
	const body = JSON.stringify(value);
	outgoing.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
	outgoing.end(body);
}

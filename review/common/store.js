/** Stand-in for the platform's store: paged ranges and watches over HTTP, as PROTOCOL.md describes them. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';

const loopback = '127.0.0.1';
const maxPageItems = 50;

function sendJson(outgoing, value) {
	const body = JSON.stringify(value);
	outgoing.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
	outgoing.end(body);
}

export class Store {
	#items = new Map();
	#history = [];
	#revision = 100;
	#watches = new Set();
	#servers = [];

	/**
	 * Opens an address of the store.
	 *
	 * @param view - Changes the value of a key for the readers at this address.
	 * @returns Host and port, as text.
	 */
	async listen(view = (key, value) => value) {
		const server = createServer((incoming, outgoing) => {
			this.#serve(incoming, outgoing, view);
		});
		this.#servers.push(server);
		server.listen(0, loopback);
		await once(server, 'listening');
		return `${loopback}:${server.address().port}`;
	}

	/** Number of watches that wait at present. */
	get waiting() {
		return this.#watches.size;
	}

	/** Writes a key; its value is stored as JSON, a buffer as it is. Readers learn of it at once if they watch. */
	put(key, value) {
		this.#revision++;
		const item = {
			Key: key, value, Revision: this.#revision, Created: this.#items.get(key)?.Created ?? this.#revision, Lease: 0,
		};
		this.#items.set(key, item);
		this.#record(item);
	}

	/** Removes a key. */
	remove(key) {
		this.#revision++;
		this.#items.delete(key);
		this.#record({Key: key, Revision: this.#revision, Deleted: true});
	}

	/** Cuts all watches that wait; nothing else is affected. */
	cutWatches() {
		const cut = this.#watches.size;
		for (const watch of this.#watches) {
			clearTimeout(watch.timer);
			watch.outgoing.destroy();
		}

		this.#watches.clear();
		return cut;
	}

	/** Closes the store. */
	close() {
		for (const server of this.#servers) {
			server.close();
			server.closeAllConnections();
		}
	}

	#record(event) {
		this.#history.push(event);
		for (const watch of this.#watches) {
			if (event.Key.startsWith(watch.prefix)) {
				this.#endWatch(watch);
			}
		}
	}

	#serve(incoming, outgoing, view) {
		const url = new URL(incoming.url, 'http://store');
		const prefix = url.searchParams.get('Prefix') ?? '';
		if (url.pathname === '/v1/kv-range') {
			const after = url.searchParams.get('After') ?? '';
			const keys = [...this.#items.keys()].filter(key => key.startsWith(prefix) && key > after).toSorted();
			const page = keys.slice(0, maxPageItems);
			sendJson(outgoing, {Items: page.map(key => this.#encode(this.#items.get(key), view)), MorePages: keys.length > page.length, AsOf: this.#revision});
			return;
		}

		if (url.pathname !== '/v1/kv-watch') {
			outgoing.writeHead(404).end();
			return;
		}

		const watch = {
			prefix, after: Number(url.searchParams.get('After')), outgoing, view,
		};
		if (this.#listEvents(watch).length > 0) {
			this.#sendEvents(watch);
			return;
		}

		watch.timer = setTimeout(() => {
			this.#endWatch(watch);
		}, Number(url.searchParams.get('WaitMs')));
		this.#watches.add(watch);
		outgoing.once('close', () => {
			clearTimeout(watch.timer);
			this.#watches.delete(watch);
		});
	}

	#endWatch(watch) {
		clearTimeout(watch.timer);
		this.#watches.delete(watch);
		this.#sendEvents(watch);
	}

	#listEvents({prefix, after}) {
		return this.#history.filter(event => event.Revision > after && event.Key.startsWith(prefix));
	}

	#sendEvents(watch) {
		sendJson(watch.outgoing, {events: this.#listEvents(watch).map(event => this.#encode(event, watch.view)), AsOf: this.#revision});
	}

	#encode({value, ...item}, view) {
		if (item.Deleted === true) {
			return item;
		}

		const bytes = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(view(item.Key, value)));
		return {...item, Value: bytes.toString('base64')};
	}
}

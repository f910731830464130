/** Connections to upstreams, and what is provable about a sending that broke. */
import http from 'node:http';
import {type Socket} from 'node:net';
import got, {type Got} from 'got';
import {type Address} from '../core/index.js';

/** Time without any byte after which a connection attempt is given up, in milliseconds. */
export const connectTimeout = 2000;

const idleSockets = 64;

/** Milliseconds that an idle connection is kept; shorter than servers' usual five seconds, so that it is not closed as it is used. */
const idleTimeout = 4000;

/** Reuses connections; for calls that may be repeated. */
export const reusingAgent = new http.Agent({keepAlive: true, maxFreeSockets: idleSockets, timeout: idleTimeout});

/** Opens a connection for each call: a reused one may close just as a call is written, which leaves its outcome unknown. */
export const singleAgent = new http.Agent({keepAlive: false});

/** Options are merged once, since got spends more time on them than on a call. */
const common = got.extend({
	retry: {limit: 0},
	throwHttpErrors: false,
	followRedirect: false,
	decompress: false,
	timeout: {connect: connectTimeout},
});
const reusing = common.extend({agent: {http: reusingAgent}});
const single = common.extend({agent: {http: singleAgent}});

/**
 * @param mayRepeat - Whether the call may be repeated.
 * @returns The client for it.
 */
export function clientFor(mayRepeat: boolean): Got {
	return mayRepeat ? reusing : single;
}

/**
 * @param address - Where the upstream listens.
 * @param path - Path with query.
 * @returns URL.
 */
export function urlOf(address: Address, path: string): string {
	return `http://${address.host}:${address.port}${path}`;
}

/** Watches whether a call's bytes may have left this host. */
export class Sending {
	#isConnected = false;

	/**
	 * @param onConnected - Called once bytes may leave.
	 * @returns A listener for got's `request` event.
	 */
	watch(onConnected: () => void): (request: http.ClientRequest) => void {
		const connected = () => {
			if (!this.#isConnected) {
				this.#isConnected = true;
				onConnected();
			}
		};

		return request => {
			request.once('socket', (socket: Socket) => {
				if (socket.connecting) {
					socket.once('connect', connected);
				} else {
					connected();
				}
			});
		};
	}

	/** Whether the upstream may have received anything. */
	get isWritten(): boolean {
		return this.#isConnected;
	}
}

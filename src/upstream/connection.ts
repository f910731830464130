/** HTTP clients for upstreams, and tracking of whether a failed call may have reached its upstream. */
import {type ClientRequest} from 'node:http';
import {type Socket} from 'node:net';
import {type Got} from 'got';
import {type Address} from '../core/index.js';
import {client, idleTimeoutMs} from '../protocol/http/client.js';
import {ValidatingAgent} from '../protocol/http/validated-request.js';

export const connectTimeoutMs = 2000;

const maxIdleSockets = 64;

/** For calls that may be repeated. */
export const keepAliveAgent = new ValidatingAgent({keepAlive: true, maxFreeSockets: maxIdleSockets, timeout: idleTimeoutMs});

/** For other calls: a reused connection may close while a call is written, which leaves the outcome of the call unknown. */
export const singleUseAgent = new ValidatingAgent({keepAlive: false});

/** Created once, because got spends more time on merging options than on a call. */
const baseClient = client.extend({
	retry: {limit: 0},
	throwHttpErrors: false,
	followRedirect: false,
	decompress: false,
	timeout: {connect: connectTimeoutMs},
});
const keepAliveClient = baseClient.extend({agent: {http: keepAliveAgent}});
const singleUseClient = baseClient.extend({agent: {http: singleUseAgent}});

/**
 * @param isRepeatable - Whether the call may be repeated; only such calls reuse connections.
 */
export function getClient(isRepeatable: boolean): Got {
	return isRepeatable ? keepAliveClient : singleUseClient;
}

/**
 * @param path - Path with query.
 */
export function createUrl(address: Address, path: string): string {
	return `http://${address.host}:${address.port}${path}`;
}

/** Tracks whether bytes of a call may have been sent. */
export class SendTracker {
	#isConnected = false;

	/**
	 * @param onConnected - Called once, as soon as bytes may be sent.
	 * @returns Listener for the `request` event of got.
	 */
	createRequestListener(onConnected: () => void): (request: ClientRequest) => void {
		const handleConnected = () => {
			if (!this.#isConnected) {
				this.#isConnected = true;
				onConnected();
			}
		};

		return request => {
			request.once('socket', (socket: Socket) => {
				if (socket.connecting) {
					socket.once('connect', handleConnected);
				} else {
					handleConnected();
				}
			});
		};
	}

	/** Whether the upstream may have received bytes of the call. */
	get isWritten(): boolean {
		return this.#isConnected;
	}
}

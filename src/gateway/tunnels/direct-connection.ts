/** Connects to an upstream over the link of this host. */
import {type Socket, type TcpNetConnectOpts} from 'node:net';
import {messageOf} from '../../core/index.js';
import {type LinkFailure} from '../../core/gateway/health/links.js';
import {openConnection} from '../../protocol/http/validated-socket.js';

/**
 * Covers several round trips between regions. A lost SYN packet is retransmitted only after a second; failing earlier leaves time for
 * another upstream to serve a short prompt.
 */
const connectTimeoutMs = 120;

export type ConnectionResult
	= | {readonly type: 'connected'; readonly socket: Socket}
		| {
			readonly type: 'failed';
			readonly failure: LinkFailure;
			/** Whether something accepted the connection and reset it at once. */
			readonly isReset: boolean;
			readonly detail: string;
		};

/**
 * @param options - Address and socket options.
 * @param open - Opens a socket.
 * @returns The connection, or how it failed.
 */
export async function connectDirectly(options: TcpNetConnectOpts, open: (options: TcpNetConnectOpts) => Socket = openConnection): Promise<ConnectionResult> {
	let socket: Socket;
	try {
		socket = open(options);
	} catch (error) {
		// Node.js throws if the address can't be one, which a peer may have passed on.
		return {
			type: 'failed', failure: 'refused', isReset: false, detail: messageOf(error),
		};
	}

	return new Promise(resolve => {
		const fail = (failure: LinkFailure, detail: string, isReset = false) => {
			clearTimeout(timer);
			socket.destroy();
			resolve({
				type: 'failed', failure, isReset, detail,
			});
		};

		const handleError = (error: NodeJS.ErrnoException) => {
			const isReset = error.code === 'ECONNRESET';
			fail(error.code === 'ECONNREFUSED' || isReset ? 'refused' : 'silent', error.message, isReset);
		};

		const timer = setTimeout(() => {
			// After a stall of this process, a connection made in the meantime is reported before this callback.
			setImmediate(() => {
				if (socket.connecting) {
					fail('silent', 'no connection in time');
				}
			});
		}, connectTimeoutMs);
		// Errors may follow the result; without a listener they would be thrown.
		socket.on('error', handleError);
		socket.once('connect', () => {
			clearTimeout(timer);
			resolve({type: 'connected', socket});
		});
	});
}

/**
 * @param result - Connection that isn't needed, if there is one.
 */
export function closeConnection(result: ConnectionResult): void {
	if (result.type === 'connected') {
		result.socket.destroy();
	}
}

/** Asks other hosts for a connection to an upstream. */
import {connect, type Socket} from 'node:net';
import {messageOf} from '../../core/index.js';
import {
	createTunnelReplyReader, encodeTunnelMessage, type OpenTunnelOffer, type TunnelReply,
} from './messages.js';

/** Time in milliseconds for the connection to the other host and its connection to the upstream. */
const openTimeoutMs = 300;

export type TunnelResult
	= | {readonly type: 'connected'; readonly socket: Socket; readonly tunnels?: number}
		| Exclude<TunnelReply, {readonly type: 'connected'}>
	/** The other host gave no reply. */
		| {readonly type: 'unreachable'; readonly detail: string};

/** A tunnel to open. */
export type TunnelTarget = {
	/** Id of the tunnel, for the logs of both hosts. */
	readonly id: string;
	/** Name of this host. */
	readonly from: string;
	/** Id of the upstream. */
	readonly upstream: string;
};

/**
 * @param offer - Offer of the other host.
 * @param target - Tunnel to open.
 * @param signal - Gives the tunnel up.
 * @returns The connection, or why there is none. Nothing has been sent to the upstream.
 */
export async function openTunnel(offer: OpenTunnelOffer, target: TunnelTarget, signal: AbortSignal): Promise<TunnelResult> {
	return new Promise(resolve => {
		const reader = createTunnelReplyReader();
		const socket = connect({host: offer.host, port: offer.port, noDelay: true});
		const finish = (result: TunnelResult) => {
			clearTimeout(timer);
			signal.removeEventListener('abort', giveUp);
			socket.off('data', read);
			if (result.type === 'connected') {
				// The listener for errors stays: until a request has the connection, nothing else listens.
				socket.off('close', handleClose);
			} else {
				socket.destroy();
			}

			resolve(result);
		};

		const fail = (detail: string) => {
			finish({type: 'unreachable', detail});
		};

		const giveUp = () => {
			fail('given up');
		};

		const handleError = (error: Error) => {
			fail(error.message);
		};

		const handleClose = () => {
			fail('closed');
		};

		const read = (chunk: Uint8Array) => {
			try {
				const [reply] = reader.push(chunk);
				if (reply !== undefined) {
					finish(reply.type === 'connected' ? {...reply, socket} : reply);
				}
			} catch (error) {
				fail(messageOf(error));
			}
		};

		const timer = setTimeout(() => {
			fail('no reply in time');
		}, openTimeoutMs);
		signal.addEventListener('abort', giveUp, {once: true});
		socket.on('error', handleError);
		socket.once('close', handleClose);
		socket.on('data', read);
		socket.once('connect', () => {
			socket.write(encodeTunnelMessage({...target, key: offer.key}));
		});
	});
}

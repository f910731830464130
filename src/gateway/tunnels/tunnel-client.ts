/** Asks other hosts for a connection to an upstream, and how it ended. */
import {type Socket} from 'node:net';
import {assertNever, messageOf} from '../../core/index.js';
import {type StatedEnd} from '../../core/gateway/health/connection-ends.js';
import {openConnection} from '../../protocol/http/validated-socket.js';
import {
	createTunnelReplyReader, encodeTunnelMessage, type OpenTunnelOffer, type TunnelReply, type TunnelRequest,
} from './messages.js';

/** Time in milliseconds for the connection to the other host and its connection to the upstream. */
const openTimeoutMs = 300;

/** Reply to a request of this host, and the connection over which it came; no reply if the other host gave none. */
type Exchange
	= | {readonly type: 'replied'; readonly reply: TunnelReply; readonly socket: Socket}
		| {readonly type: 'unreachable'; readonly detail: string};

export type TunnelResult
	= | {readonly type: 'connected'; readonly socket: Socket; readonly tunnels?: number}
		| Extract<TunnelReply, {readonly type: 'absent' | 'refused'}>
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
	const exchange = await request(offer, {...target, key: offer.key}, signal);
	if (exchange.type === 'unreachable') {
		return exchange;
	}

	const {reply, socket} = exchange;
	switch (reply.type) {
		case 'connected': {
			return {...reply, socket};
		}

		case 'absent':
		case 'refused': {
			socket.destroy();
			return reply;
		}

		case 'ended': {
			socket.destroy();
			return {type: 'unreachable', detail: 'reply to another request'};
		}

		default: {
			return assertNever(reply);
		}
	}
}

/**
 * @param offer - Offer by which the tunnel was opened: its key ends with the process of the other host.
 * @param target - Tunnel that has ended.
 * @returns What the other host says of its end.
 */
export async function askTunnelEnd(offer: OpenTunnelOffer, target: TunnelTarget): Promise<StatedEnd> {
	const exchange = await request(offer, {...target, key: offer.key, purpose: 'end'}, new AbortController().signal);
	if (exchange.type === 'unreachable') {
		return 'none';
	}

	exchange.socket.destroy();
	return exchange.reply.type === 'ended' ? exchange.reply.end : 'unstated';
}

async function request(offer: OpenTunnelOffer, message: TunnelRequest, signal: AbortSignal): Promise<Exchange> {
	return new Promise(resolve => {
		const reader = createTunnelReplyReader();
		const socket = openConnection({host: offer.host, port: offer.port, noDelay: true});
		const finish = (exchange: Exchange) => {
			clearTimeout(timer);
			signal.removeEventListener('abort', giveUp);
			socket.off('data', read);
			// The listener for errors stays: until a request has the connection, nothing else listens.
			socket.off('close', handleClose);
			if (exchange.type === 'unreachable') {
				socket.destroy();
			}

			resolve(exchange);
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
					finish({type: 'replied', reply, socket});
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
			socket.write(encodeTunnelMessage(message));
		});
	});
}

import {type Server} from 'node:net';

/**
 * @param listener - A listening TCP server.
 * @returns The port listened at; 0 if the server isn't listening on TCP.
 */
export function getPort(listener: Pick<Server, 'address'>): number {
	const address = listener.address();
	return typeof address === 'object' ? (address?.port ?? 0) : 0;
}

/** Ports that listeners got. */
import {type Server} from 'node:net';

/**
 * @param listener - A listening TCP server.
 * @returns Its port.
 */
export function portOf(listener: Pick<Server, 'address'>): number {
	const address = listener.address();
	return typeof address === 'object' ? (address?.port ?? 0) : 0;
}

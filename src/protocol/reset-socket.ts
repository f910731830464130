/** Resets connections. */
import {type Socket} from 'node:net';

/**
 * Resets a connection; one whose end is being sent is only closed, as Node.js would neither close its descriptor nor emit `close`.
 *
 * @param socket - Socket of the connection.
 */
export function resetSocket(socket: Socket): void {
	if (socket.writableEnded && socket.writableLength === 0) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}

/** Distinguishes how a connection ended whose end is that of a response. */
import {type Socket} from 'node:net';

/**
 * Distinguishes an end from a reset for a response whose body lasts until the connection ends. When bytes and a reset arrive together,
 * libuv reports an end and drops the reset (about 1 in 12 responses cut off this way). A write reveals the reset because it fails. The
 * empty line that is written has no effect: no request follows on this connection.
 *
 * @param socket - Connection of the response.
 * @returns Whether the connection ended without a reset.
 */
export async function probeEnd(socket: Socket): Promise<boolean> {
	return new Promise(resolve => {
		socket.once('error', () => {
			resolve(false);
		});
		socket.once('close', hadError => {
			resolve(!hadError);
		});
		socket.prependOnceListener('end', () => {
			socket.write('\r\n', error => {
				resolve(error === undefined || error === null);
			});
		});
	});
}

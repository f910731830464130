/** Tells connections that haven't ended from those whose end has arrived and isn't read yet. */
import {type Readable} from 'node:stream';
import {setImmediate as turn} from 'node:timers/promises';

/** Turns of the event loop after which an end that has arrived has been read: data and an end take one turn each. */
const readingTurns = 4;

/**
 * @param source - What is read from a connection.
 * @param hasEnded - Returns whether it has ended.
 * @returns Whether the connection is known not to have ended; not if it isn't being read, as its reader is slow.
 */
export async function isKnownOpen(source: Pick<Readable, 'destroyed' | 'readableLength'>, hasEnded: () => boolean): Promise<boolean> {
	const isBeingRead = () => !source.destroyed && !hasEnded() && source.readableLength === 0;
	if (!isBeingRead()) {
		return false;
	}

	for (let count = 0; count < readingTurns; count++) {
		await turn();
	}

	return isBeingRead();
}

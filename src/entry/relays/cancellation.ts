/** Tells an engine to stop an attempt until it confirms. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Address} from '../../core/index.js';
import {cancelAttempt} from '../../upstream/control.js';

/** Milliseconds between tries, and number of tries; after those the clean-up of holds goes on. */
const pause = 500;
const tries = 240;

/**
 * @param address - Engine's address.
 * @param attempt - Attempt to stop.
 * @param signal - Ends the tries.
 */
export async function cancelUntilConfirmed(address: Address, attempt: string, signal: AbortSignal): Promise<void> {
	for (let count = 0; count < tries && !signal.aborted; count++) {
		if (await isCancelled(address, attempt)) {
			return;
		}

		await sleep(pause, undefined, {ref: false});
	}
}

async function isCancelled(address: Address, attempt: string): Promise<boolean> {
	try {
		await cancelAttempt(address, attempt);
		return true;
	} catch {
		return false;
	}
}

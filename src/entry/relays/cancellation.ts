/** Cancels an attempt at an engine, with retries until the engine confirms. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Address} from '../../core/index.js';
import {cancelAttempt} from '../../upstream/control.js';

const retryIntervalMs = 500;

/** After the last cancellation, only the clean-up of holds continues. */
const maxCancellations = 240;

/**
 * Sends cancellations until the engine confirms one, the maximum number is reached or the signal aborts.
 *
 * @param address - Address of the engine.
 * @param attempt - Id of the attempt to cancel.
 * @param signal - Stops the retries.
 */
export async function cancelUntilConfirmed(address: Address, attempt: string, signal: AbortSignal): Promise<void> {
	for (let count = 0; count < maxCancellations && !signal.aborted; count++) {
		if (await tryCancel(address, attempt)) {
			return;
		}

		await sleep(retryIntervalMs, undefined, {ref: false});
	}
}

async function tryCancel(address: Address, attempt: string): Promise<boolean> {
	try {
		await cancelAttempt(address, attempt);
		return true;
	} catch {
		return false;
	}
}

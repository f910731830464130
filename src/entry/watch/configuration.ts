/** Watches the platform for new configurations and for changes to the host list. */
import {codes, type Event, type State} from '../../core/index.js';
import {type PlatformClient} from '../../configuration-service/client.js';
import {parseConfiguration} from '../../protocol/configuration/index.js';
import {Loop} from './loop.js';

/** Delay before the next watch after a failure, and after an answer. */
const retryDelayMs = 500;
const nextWatchDelayMs = 20;

/** Maximum time that the first watch waits for the first host list, and interval between checks for it. */
const maxHostListWaitMs = 3000;
const hostListCheckIntervalMs = 20;

/** Delay before the next watch after an answer with a document that is not newer. */
const unchangedDelayMs = 500;

/**
 * Parses a configuration document.
 *
 * @param text - The document.
 * @param source - Where the document came from.
 * @returns An event for the core with the configuration or, if the document is invalid, the code of its first mistake.
 */
export function createDocumentEvent(text: string, source: Extract<Event, {readonly type: 'configuration-received'}>['source']): Event {
	const parsed = parseConfiguration(text);
	switch (parsed.type) {
		case 'valid': {
			return {
				type: 'configuration-received',
				source,
				configuration: parsed.configuration,
				digest: parsed.digest,
				text,
			};
		}

		case 'invalid': {
			const firstMistake = parsed.mistakes[0];
			const code = codes[firstMistake?.code ?? 'badDocument'];
			const detail = parsed.mistakes.slice(0, 5).map(mistake => `${mistake.path}: ${mistake.text}`).join(' ');
			return {
				type: 'configuration-refused',
				source,
				code,
				detail,
			};
		}
	}
}

/**
 * Watches the platform for configurations with a higher revision.
 *
 * @param platform - Client of the platform.
 * @param maxWait - Maximum wait of one long poll in milliseconds.
 * @param state - Returns the core's state.
 * @param dispatch - Sends an event to the core.
 * @returns The running watch; dispose of it to stop.
 */
export function watchConfiguration(
	platform: PlatformClient,
	maxWait: number,
	state: () => State,
	dispatch: (event: Event) => void,
): Loop {
	let waited = 0;
	return new Loop(async signal => {
		// The peers must be known before the first document arrives, so that the core can ask them for a newer one.
		if (state().membership.listed === undefined && waited < maxHostListWaitMs) {
			waited += hostListCheckIntervalMs;
			return hostListCheckIntervalMs;
		}

		const currentRevision = state().configuration.inForce?.revision ?? 0;
		try {
			const text = await platform.watchConfiguration(currentRevision, maxWait, signal);
			if (text === undefined) {
				return nextWatchDelayMs;
			}

			dispatch(createDocumentEvent(text, {type: 'platform'}));
			const isNew = (state().configuration.inForce?.revision ?? 0) > currentRevision;
			return isNew ? nextWatchDelayMs : unchangedDelayMs;
		} catch {
			if (!signal.aborted) {
				dispatch({type: 'platform-unreachable'});
			}

			return retryDelayMs;
		}
	});
}

/**
 * Reads the platform's host list periodically.
 *
 * @param platform - Client of the platform.
 * @param interval - Milliseconds between two reads.
 * @param dispatch - Sends an event to the core.
 * @returns The running watch; dispose of it to stop.
 */
export function watchHostList(platform: PlatformClient, interval: number, dispatch: (event: Event) => void): Loop {
	return new Loop(async signal => {
		try {
			dispatch({type: 'hosts-listed', ...await platform.readHosts(signal)});
		} catch {
			if (!signal.aborted) {
				dispatch({type: 'platform-unreachable'});
			}
		}

		return interval;
	});
}

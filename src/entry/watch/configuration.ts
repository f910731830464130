/** Watches the platform's configuration service. */
import {codes, type Event, type State} from '../../core/index.js';
import {type Platform} from '../../configuration-service/client.js';
import {parseConfiguration} from '../../protocol/configuration/index.js';
import {Loop} from './loop.js';

/** Milliseconds until the platform is asked again after a failure, and after an answer. */
const failurePause = 500;
const answerPause = 20;

/** Longest time for which the first document waits for the first host list, and time between looks, in milliseconds. */
const listWait = 3000;
const listPause = 20;

/** Shortest time between two readings that brought nothing new, in milliseconds. */
const repeatPause = 500;

/**
 * Reads a document as any source gives it.
 *
 * @param text - The document.
 * @param source - Where it came from.
 * @returns The event that tells the core.
 */
export function documentEvent(text: string, source: Extract<Event, {readonly type: 'configuration-received'}>['source']): Event {
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
			const first = parsed.mistakes[0];
			const code = codes[first?.code ?? 'badDocument'];
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
 * @param platform - Platform.
 * @param wait - Longest wait of one watch in milliseconds.
 * @param state - Reads the core's state.
 * @param dispatch - Tells the core.
 * @returns The running watch.
 */
export function watchConfiguration(
	platform: Platform,
	wait: number,
	state: () => State,
	dispatch: (event: Event) => void,
): Loop {
	let waited = 0;
	return new Loop(async signal => {
		// Peers must be known before the first document comes, so that they are asked for a newer one.
		if (state().membership.listed === undefined && waited < listWait) {
			waited += listPause;
			return listPause;
		}

		const above = state().configuration.inForce?.revision ?? 0;
		try {
			const text = await platform.watchConfiguration(above, wait, signal);
			if (text === undefined) {
				return answerPause;
			}

			dispatch(documentEvent(text, {type: 'platform'}));
			const isNew = (state().configuration.inForce?.revision ?? 0) > above;
			return isNew ? answerPause : repeatPause;
		} catch {
			if (!signal.aborted) {
				dispatch({type: 'platform-unreachable'});
			}

			return failurePause;
		}
	});
}

/**
 * @param platform - Platform.
 * @param interval - Milliseconds between readings.
 * @param dispatch - Tells the core.
 * @returns The running watch of the host list.
 */
export function watchHosts(platform: Platform, interval: number, dispatch: (event: Event) => void): Loop {
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

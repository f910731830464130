/** Takes a valid document: only ever one with a higher revision. */
import {codes} from '../../../errors.js';
import {type EventOf, type Source} from '../../../types/event.js';
import {type State, type Step} from '../../../types/state.js';
import {only} from '../../../utils/common.js';
import {revision} from '../queries.js';

/**
 * @param source - Where a document came from.
 * @returns Words for the log.
 */
function describeSource(source: Source): string {
	return source.type === 'peer' ? `from peer ${source.host}` : `from ${source.type}`;
}

/**
 * @param state - Core state.
 * @param offered - Revision that was offered, or 0 if it could not be read.
 * @param code - Why it is refused.
 * @param reason - The same for people.
 * @returns A step that logs and counts the refusal.
 */
export function refuseDocument(state: State, offered: number, code: number, reason: string): Step {
	return {
		state,
		effects: [
			{
				type: 'log', decision: {
					type: 'configuration', revision: offered, accepted: false, code, reason,
				},
			},
			{
				type: 'count', name: 'configuration.refused', value: 1, tags: {code: String(code)},
			},
		],
	};
}

/**
 * @param state - Core state.
 * @param event - A document that was parsed and validated.
 * @returns The next step.
 */
export function adoptDocument(state: State, event: EventOf<'configuration-received'>): Step {
	const {
		configuration, digest, text, source,
	} = event;
	const before = state.configuration.inForce;
	const ownRevision = revision(state);
	if (configuration.revision < ownRevision) {
		return refuseDocument(state, configuration.revision, codes.staleRevision, `${describeSource(source)}; revision ${ownRevision} is in force`);
	}

	if (configuration.revision === ownRevision) {
		return digest === state.configuration.digest
			? only(state)
			: refuseDocument(state, ownRevision, codes.sameRevisionOtherContent, `${describeSource(source)}; same revision with other content`);
	}

	return {
		state: {
			...state, configuration: {
				...state.configuration, inForce: configuration, digest, text, documentRequest: undefined,
			},
		},
		effects: [
			{
				type: 'log', decision: {
					type: 'configuration', revision: configuration.revision, accepted: true, code: codes.done, reason: describeSource(source),
				},
			},
			{type: 'raise', event: {type: 'configuration-adopted', configuration, before}},
		],
	};
}

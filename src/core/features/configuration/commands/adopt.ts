/** Adopts valid documents with a higher revision than the one in force. */
import {codes} from '../../../errors.js';
import {type EventOf, type ConfigurationSource} from '../../../types/event.js';
import {type State, type StepResult} from '../../../types/state.js';
import {withoutEffects} from '../../../utils/common.js';
import {getRevision} from '../queries.js';

/**
 * @param source - Origin of a document.
 * @returns Its description for the log.
 */
function describeSource(source: ConfigurationSource): string {
	return source.type === 'peer' ? `from peer ${source.host}` : `from ${source.type}`;
}

/**
 * @param state - Core state.
 * @param offered - Revision of the refused document, or 0 if it could not be read.
 * @param code - Result code of the refusal.
 * @param reason - Reason, for people.
 * @returns A step that logs and counts the refusal.
 */
export function refuseDocument(state: State, offered: number, code: number, reason: string): StepResult {
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
 * @param event - A parsed and validated document.
 * @returns The next step.
 */
export function adoptDocument(state: State, event: EventOf<'configuration-received'>): StepResult {
	const {
		configuration, digest, text, source,
	} = event;
	const before = state.configuration.inForce;
	const ownRevision = getRevision(state);
	if (configuration.revision < ownRevision) {
		return refuseDocument(state, configuration.revision, codes.staleRevision, `${describeSource(source)}; revision ${ownRevision} is in force`);
	}

	if (configuration.revision === ownRevision) {
		return digest === state.configuration.digest
			? withoutEffects(state)
			: refuseDocument(state, ownRevision, codes.sameRevisionOtherContent, `${describeSource(source)}; same revision with different content`);
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

/** Adopts configuration documents: only ever a higher revision. */
import {codes} from '../../errors.js';
import {type EventOf} from '../../types/event.js';
import {type Feature, type State, type Step} from '../../types/state.js';
import {only} from '../../utils/common.js';
import {revision} from './queries.js';

function receive(state: State, event: EventOf<'configuration-received'>): Step {
	const {configuration, digest, text} = event;
	const before = state.configuration.inForce;
	const held = revision(state);
	if (configuration.revision < held) {
		return refuse(state, configuration.revision, codes.staleRevision, `revision ${held} is in force`);
	}

	if (configuration.revision === held) {
		return digest === state.configuration.digest
			? only(state)
			: refuse(state, held, codes.sameRevisionOtherContent, 'same revision with other content');
	}

	return {
		state: {...state, configuration: {inForce: configuration, digest, text}},
		effects: [
			{
				type: 'log', decision: {
					type: 'configuration', revision: configuration.revision, accepted: true, code: codes.done, reason: `from ${event.source.type}`,
				},
			},
			{type: 'raise', event: {type: 'configuration-adopted', configuration, before}},
		],
	};
}

function refuse(state: State, offered: number, code: number, reason: string): Step {
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

export const configurationFeature: Feature = {
	name: 'configuration',
	handle(state, event) {
		switch (event.type) {
			case 'configuration-received': {
				return receive(state, event);
			}

			case 'configuration-refused': {
				return refuse(state, 0, event.code, event.detail);
			}

			default: {
				return only(state);
			}
		}
	},
};

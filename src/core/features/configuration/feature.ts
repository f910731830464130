/** Adopts configuration documents, from the platform or from peers, and relays them. */
import {type Feature} from '../../types/state.js';
import {withoutEffects} from '../../utils/common.js';
import {adoptDocument, refuseDocument} from './commands/adopt.js';
import {backOffPeer, handlePeerMessage} from './commands/relay.js';

export const configurationFeature: Feature = {
	name: 'configuration',
	handle(state, event, {now}) {
		switch (event.type) {
			case 'configuration-received': {
				return adoptDocument(state, event);
			}

			case 'configuration-refused': {
				const next = event.source.type === 'peer' ? backOffPeer(state, event.source.host, now) : state;
				return refuseDocument(next, 0, event.code, event.detail);
			}

			case 'peer-message': {
				return handlePeerMessage(state, event.from, event.message, now);
			}

			default: {
				return withoutEffects(state);
			}
		}
	},
};

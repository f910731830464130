/** Adopts configuration documents, from the platform or from peers, and relays them. */
import {type Feature} from '../../types/state.js';
import {only} from '../../utils/common.js';
import {receive, refuse} from './commands/adopt.js';
import {distrust, relay} from './commands/relay.js';

export const configurationFeature: Feature = {
	name: 'configuration',
	handle(state, event, {now}) {
		switch (event.type) {
			case 'configuration-received': {
				return receive(state, event);
			}

			case 'configuration-refused': {
				const next = event.source.type === 'peer' ? distrust(state, event.source.host, now) : state;
				return refuse(next, 0, event.code, event.detail);
			}

			case 'peer-message': {
				return relay(state, event.from, event.message, now);
			}

			default: {
				return only(state);
			}
		}
	},
};

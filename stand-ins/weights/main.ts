#!/usr/bin/env node
/** Command line of the weight store stand-in. */
import {main} from '../common/command.js';
import {settingsSchema, WeightStoreService} from './service.js';

await main({
	name: 'weights',
	description: 'Weight store stand-in with a limited rate',
	settings: settingsSchema,
	start: async settings => WeightStoreService.start(settings),
});

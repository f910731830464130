#!/usr/bin/env node
/** Starts a weight store stand-in by hand. */
import {main} from '../common/command.js';
import {settingsSchema, WeightStoreService} from './service.js';

await main({
	name: 'weights',
	description: 'Weight store stand-in with a limited rate',
	settings: settingsSchema,
	start: async settings => WeightStoreService.start(settings),
});

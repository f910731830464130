#!/usr/bin/env node
/** Starts a platform stand-in by hand. */
import {main} from '../common/command.js';
import {PlatformService, settingsSchema} from './service.js';

await main({
	name: 'platform',
	description: 'Platform stand-in: configuration to read and watch, lagging host list',
	settings: settingsSchema,
	start: async settings => PlatformService.start(settings),
});

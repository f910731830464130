#!/usr/bin/env node
/** Command line of the plain service stand-in. */
import {main} from '../common/command.js';
import {PlainService, settingsSchema} from './service.js';

await main({
	name: 'plain',
	description: 'Plain service stand-in that counts its executions',
	settings: settingsSchema,
	start: async settings => PlainService.start(settings),
});

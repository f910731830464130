#!/usr/bin/env node
/** Starts a plain service stand-in by hand. */
import {main} from '../common/command.js';
import {PlainService, settingsSchema} from './service.js';

await main({
	name: 'plain',
	description: 'Plain service stand-in that counts its executions',
	settings: settingsSchema,
	start: async settings => PlainService.start(settings),
});

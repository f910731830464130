#!/usr/bin/env node
/** Command line of the engine stand-ins. */
import {main} from '../common/command.js';
import {EngineProcess} from './process.js';
import {settingsSchema} from './settings.js';

await main({
	name: 'engine',
	description: 'Model engine stand-ins, several in one process',
	settings: settingsSchema,
	start: async settings => EngineProcess.start(settings),
});

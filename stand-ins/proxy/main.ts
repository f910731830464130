#!/usr/bin/env node
/** Starts a fault proxy by hand. */
import {main} from '../common/command.js';
import {FaultProxy, settingsSchema} from './service.js';

await main({
	name: 'proxy',
	description: 'TCP proxy that delays, cuts, drops and black-holes connections',
	settings: settingsSchema,
	start: async settings => FaultProxy.start(settings),
});

#!/usr/bin/env node
/** The entry daemon: `cranberrytide-entry --settings FILE`. */
import process from 'node:process';
import 'reflect-metadata';
import {Command} from 'commander';
import {messageOf, isFailure} from '../core/index.js';
import {readSettings} from '../protocol/settings.js';
import {startDaemon} from './daemon.js';
import {getResultCode} from './result-code.js';
import {Log} from './logs.js';
import {settingsSchema, type Settings} from './settings.js';

const invalidSettingsExitCode = 2;
const errorExitCode = 1;

async function run(settings: Settings): Promise<void> {
	await using daemon = await startDaemon(settings);
	const stop = () => {
		daemon.stop();
	};

	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
	await daemon.finished;
}

const command = new Command('cranberrytide-entry')
	.description('Serves callers at one entry host.')
	.requiredOption('--settings <file>', 'JSON settings of this host')
	.addHelpText('after', '\nExample:\n  cranberrytide-entry --settings host-a1.json')
	.action(async ({settings}: {settings: string}) => {
		try {
			await run(readSettings(settingsSchema, settings));
			process.exitCode = 0;
		} catch (error) {
			new Log('').write({event: 'failed', code: getResultCode(error), detail: messageOf(error)}, 'error');
			process.exitCode = isFailure(error) ? invalidSettingsExitCode : errorExitCode;
		}
	});

await command.parseAsync();

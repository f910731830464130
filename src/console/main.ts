#!/usr/bin/env node
/** Command line of the console: `cranberrytide-console --settings FILE`. */
import process from 'node:process';
import {once} from 'node:events';
import {Command} from 'commander';
import {createConsola, type LogObject} from 'consola';
import {codes, isFailure} from '../core/index.js';
import {formatAddress} from '../protocol/address.js';
import {parseSettings, readSettings} from '../protocol/settings.js';
import {ConsoleServer} from './server.js';
import {settingsSchema, type Settings} from './settings.js';

type CommandOptions = {
	readonly settings?: string;
	readonly listen?: string;
	readonly hosts?: string;
	readonly document?: string;
};

const log = createConsola({
	reporters: [{
		log(entry: LogObject) {
			const fields: unknown = entry.args[0];
			process.stdout.write(`${JSON.stringify({time: entry.date.toISOString(), level: entry.type, ...(typeof fields === 'object' && fields)})}\n`);
		},
	}],
});

async function loadSettings({settings, listen, hosts, document}: CommandOptions): Promise<Settings> {
	if (settings !== undefined) {
		return readSettings(settingsSchema, settings);
	}

	return parseSettings(settingsSchema, {
		...(listen !== undefined && {listen: parseListenAddress(listen)}),
		...(hosts !== undefined && {admin: hosts.split(',')}),
		...(document !== undefined && {document}),
	});
}

/** Accepts port 0, unlike `parseAddress`, which parses addresses to connect to. */
function parseListenAddress(text: string) {
	const colon = text.lastIndexOf(':');
	return {host: text.slice(0, colon).replaceAll(/[\[\]]/gv, ''), port: Number(text.slice(colon + 1))};
}

async function serve(options: CommandOptions): Promise<void> {
	const settings = await loadSettings(options);
	await using server = new ConsoleServer(settings);
	const port = await server.listen();
	log.info({event: 'listening', url: `http://${formatAddress({host: settings.listen.host, port})}/`});
	await Promise.race([once(process, 'SIGTERM'), once(process, 'SIGINT')]);
}

function getResultCode(error: unknown): number {
	if (isFailure(error)) {
		return error.code;
	}

	return error instanceof Error && 'code' in error && error.code === 'EADDRINUSE' ? codes.portInUse : codes.internal;
}

const command = new Command('cranberrytide-console')
	.description('Serves HTML forms for editing the configuration document; never publishes it.')
	.option('--settings <file>', 'JSON settings file; the other options are then ignored')
	.option('--listen <address>', 'host:port to listen on, 127.0.0.1:7080 by default')
	.option('--hosts <addresses>', 'host:port,… of the operators\' listeners of hosts; drafts start from the document in force there')
	.option('--document <file>', 'file with the document to start from if --hosts is not given')
	.addHelpText('after', '\nExample:\n  cranberrytide-console --hosts 10.0.0.1:7071,10.0.0.2:7071')
	.action(async (options: CommandOptions) => {
		try {
			await serve(options);
		} catch (error) {
			log.error({event: 'failed', code: getResultCode(error), detail: error instanceof Error ? error.message : String(error)});
			process.exitCode = isFailure(error) ? 2 : 1;
		}
	});

await command.parseAsync();

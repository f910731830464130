#!/usr/bin/env node
/** The console of forms: `cranberrytide-console --settings FILE`. */
import process from 'node:process';
import {once} from 'node:events';
import {Command} from 'commander';
import {createConsola, type LogObject} from 'consola';
import {codes, isFailure} from '../core/index.js';
import {formatAddress} from '../protocol/address.js';
import {parseSettings, readSettings} from '../protocol/settings.js';
import {ConsoleServer} from './server.js';
import {settingsSchema, type Settings} from './settings.js';

type Choices = {
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

async function settingsOf({settings, listen, hosts, document}: Choices): Promise<Settings> {
	if (settings !== undefined) {
		return readSettings(settingsSchema, settings);
	}

	return parseSettings(settingsSchema, {
		...(listen !== undefined && {listen: splitListener(listen)}),
		...(hosts !== undefined && {admin: hosts.split(',')}),
		...(document !== undefined && {document}),
	});
}

/** Unlike an address to connect to, a listener may have port 0. */
function splitListener(text: string) {
	const colon = text.lastIndexOf(':');
	return {host: text.slice(0, colon).replaceAll(/[\[\]]/gv, ''), port: Number(text.slice(colon + 1))};
}

async function run(choices: Choices): Promise<void> {
	const settings = await settingsOf(choices);
	await using server = new ConsoleServer(settings);
	const port = await server.listen();
	log.info({event: 'listening', url: `http://${formatAddress({host: settings.listen.host, port})}/`});
	await Promise.race([once(process, 'SIGTERM'), once(process, 'SIGINT')]);
}

function codeOf(error: unknown): number {
	if (isFailure(error)) {
		return error.code;
	}

	return error instanceof Error && 'code' in error && error.code === 'EADDRINUSE' ? codes.portInUse : codes.internal;
}

const command = new Command('cranberrytide-console')
	.description('Serves forms in which operators change the configuration; publishes nothing itself.')
	.option('--settings <file>', 'JSON settings; the other options are then not read')
	.option('--listen <address>', 'host:port to listen at, 127.0.0.1:7080 unless told otherwise')
	.option('--hosts <addresses>', 'host:port,… of hosts\' operators\' listeners, to start from the document in force')
	.option('--document <file>', 'document to start from, where there are no hosts')
	.addHelpText('after', '\nExample:\n  cranberrytide-console --hosts 10.0.0.1:7071,10.0.0.2:7071')
	.action(async (choices: Choices) => {
		try {
			await run(choices);
		} catch (error) {
			log.error({event: 'failed', code: codeOf(error), detail: error instanceof Error ? error.message : String(error)});
			process.exitCode = isFailure(error) ? 2 : 1;
		}
	});

await command.parseAsync();

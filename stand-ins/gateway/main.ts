#!/usr/bin/env node
/** Runs an engine of the gateway's tests in a process of its own, which signals stop and continue. */
import process from 'node:process';
import {main, type RunningProgram} from '../common/command.js';
import {Ledger} from './ledger.js';
import {settingsSchema, type Message, type Settings} from './messages.js';
import {UpstreamStandIn} from './upstream.js';

function send(message: Message): void {
	process.send?.(message);
}

async function start(settings: Settings): Promise<RunningProgram> {
	const ledger = new Ledger(run => {
		send({type: 'run', run: {...run, at: performance.timeOrigin + run.at}});
	});
	const engine = new UpstreamStandIn({...settings, ledger});
	// It must not outlive the process that started it.
	process.once('disconnect', () => {
		process.exit();
	});
	// A shell that ends sends SIGHUP to stopped processes of its job.
	process.on('SIGHUP', () => undefined);
	await engine.listen();
	send({type: 'listening', registration: engine.createRegistration()});
	return {
		addresses: {engine: engine.address},
		async [Symbol.asyncDispose]() {
			await engine[Symbol.asyncDispose]();
			process.disconnect?.();
		},
	};
}

await main({
	name: 'gateway-engine', description: 'A model engine of the gateway\'s tests', settings: settingsSchema, start,
});

/** Logs that nobody reads hold nothing up. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {expect, it} from 'vitest';
import {z} from 'zod';

const logModule = new URL('../../dist/src/entry/logs.js', import.meta.url).href;

/** Writes far more than a pipe holds, a bounded part of it a turn, and tells on standard error when it is done. */
const floodingProgram = `
import {Log} from '${logModule}';
const log = new Log('h');
for (let turn = 0; turn < 200; turn++) {
	for (let index = 0; index < 9; index++) {
		log.write({event: 'x', turn, index, text: 'y'.repeat(1000)});
	}
	await new Promise(resolve => setImmediate(resolve));
}
process.stderr.write(JSON.stringify({waits: process.stdout.writableLength, dropped: log.dropped}));
process.exit(0);
`;

/** Writes a line a millisecond for a while, and ends by itself. */
const steadyProgram = `
import {Log} from '${logModule}';
const log = new Log('h');
for (let turn = 0; turn < 300; turn++) {
	log.write({event: 'x', turn});
	await new Promise(resolve => setTimeout(resolve, 1));
}
process.stderr.write(String(log.dropped));
`;

it('a reader of standard output that goes away does not end the process', async () => {
	const child = spawn(process.execPath, ['--input-type=module', '--eval', steadyProgram], {stdio: ['ignore', 'pipe', 'pipe']});
	let told = '';
	child.stderr.on('data', chunk => {
		told += String(chunk);
	});
	await once(child.stdout, 'data');
	child.stdout.destroy();
	await once(child, 'close');
	expect(child.exitCode).toBe(0);
	expect(Number(told)).toBeGreaterThan(0);
});

it('a standard output that nobody reads does not block, and what waits is bounded', async () => {
	const child = spawn(process.execPath, ['--input-type=module', '--eval', floodingProgram], {stdio: ['ignore', 'pipe', 'pipe']});
	child.stdout.pause();
	let told = '';
	child.stderr.on('data', chunk => {
		told += String(chunk);
	});
	await once(child, 'exit');
	const {waits, dropped} = z.object({waits: z.number(), dropped: z.number()}).parse(JSON.parse(told));
	expect(waits).toBeLessThan(300_000);
	expect(dropped).toBeGreaterThan(1000);
});

/** A log without a reader does not block the process. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {expect, it} from 'vitest';
import {z} from 'zod';

const logModule = new URL('../../dist/src/entry/logs.js', import.meta.url).href;

/** Writes far more than a pipe buffers, a limited amount in each turn, then reports the counts on standard error. */
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

/** Writes one line each millisecond, then reports the number of dropped lines on standard error. */
const steadyProgram = `
import {Log} from '${logModule}';
const log = new Log('h');
for (let turn = 0; turn < 300; turn++) {
	log.write({event: 'x', turn});
	await new Promise(resolve => setTimeout(resolve, 1));
}
process.stderr.write(String(log.dropped));
`;

it('the process keeps running when the reader of its standard output disconnects', async () => {
	const child = spawn(process.execPath, ['--input-type=module', '--eval', steadyProgram], {stdio: ['ignore', 'pipe', 'pipe']});
	let errorOutput = '';
	child.stderr.on('data', chunk => {
		errorOutput += String(chunk);
	});
	await once(child.stdout, 'data');
	child.stdout.destroy();
	await once(child, 'close');
	expect(child.exitCode).toBe(0);
	expect(Number(errorOutput)).toBeGreaterThan(0);
});

it('standard output without a reader does not block, and its backlog is bounded', async () => {
	const child = spawn(process.execPath, ['--input-type=module', '--eval', floodingProgram], {stdio: ['ignore', 'pipe', 'pipe']});
	child.stdout.pause();
	let errorOutput = '';
	child.stderr.on('data', chunk => {
		errorOutput += String(chunk);
	});
	await once(child, 'exit');
	const {waits, dropped} = z.object({waits: z.number(), dropped: z.number()}).parse(JSON.parse(errorOutput));
	expect(waits).toBeLessThan(300_000);
	expect(dropped).toBeGreaterThan(1000);
});

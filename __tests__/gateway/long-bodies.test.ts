/** Many callers that send long bodies at once: the host stays within its memory, and serves the short requests of others. */
import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect, it} from 'vitest';
import {createPromptHeaders} from '../../bench/gateway/caller-requests.js';
import {createConfiguration} from '../../bench/gateway/configuration.js';
import {Site} from '../../bench/gateway/site.js';

const bodyBytes = 4_194_304;
const longCount = 120;
const shortCount = 40;
const memoryMb = 350;

function readMemoryMb(pid: number | undefined): number {
	return Number(/^VmRSS:\s+(?<kb>\d+)/mv.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups?.kb ?? 0) / 1024;
}

it('a host whose callers send more than it can hold reads some bodies later, refuses the others as not run, and serves short requests', async () => {
	await using site = await Site.start({engines: 4, plains: 2, settings: {memory: memoryMb}});
	site.store.put('op/config', createConfiguration(2, {
		Limits: {
			MaxHeaderBytes: 16_384, MaxBodyBytes: bodyBytes, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
		},
	}));
	const host = site.hosts[0]!;
	await expect.poll(() => host.findLogLines('configuration').at(-1)?.version, {timeout: 5000}).toBe(2);
	let peak = 0;
	const watch = setInterval(() => {
		peak = Math.max(peak, readMemoryMb(host.process.pid));
	}, 20);
	const text = 'x'.repeat(bodyBytes);
	const long = Promise.all(Array.from({length: longCount}, async (_, index) => {
		const id = `long-${index}`;
		const {status, isWhole} = await site.ask({
			path: '/ask/x', id, body: text, headers: createPromptHeaders(100, 2),
		});
		return {id, status, isWhole};
	}));
	const short = [];
	for (let index = 0; index < shortCount; index++) {
		short.push(await site.ask({path: '/once/x', id: `short-${index}`, body: 'b'}));
		await sleep(10);
	}

	const answers = await long;
	clearInterval(watch);
	expect(short.filter(({status}) => status !== 200)).toEqual([]);
	expect(answers.filter(({status, isWhole}) => !isWhole || (status !== 200 && status !== 503))).toEqual([]);
	expect(answers.filter(({id, status}) => status === 503 && site.ledger.findRuns(id).length > 0)).toEqual([]);
	expect(answers.filter(({status}) => status === 200).length).toBeGreaterThan(10);
	expect(peak).toBeLessThan(memoryMb);
}, 90_000);

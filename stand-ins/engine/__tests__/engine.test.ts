import got from 'got';
import {describe, expect, it} from 'vitest';
import {hashBlocks, renderPrompt} from '../../../src/protocol/blocks.js';
import {frameSchema, streamEnd, type Frame} from '../../../src/upstream/protocol.js';
import {calculateAnswerLength, generateAnswer, digestPrompt} from '../answer.js';
import {EngineProcess} from '../process.js';
import {settingsSchema} from '../settings.js';
import {type Fault} from '../faults.js';

const target = {model: 'm', version: '1'};
const lengths = {least: 16, most: 256};

async function start(engine: Readonly<Record<string, unknown>> = {}) {
	return EngineProcess.start(settingsSchema.parse({
		timeScale: 50, engines: [{
			id: 'e', target, reportLag: 0, cacheEvents: {delay: 0, loss: 0}, ...engine,
		}],
	}));
}

function createClient(engines: EngineProcess) {
	const {host, port} = engines.hosts[0]!.address;
	return got.extend({prefixUrl: `http://${host}:${port}`, retry: {limit: 0}, throwHttpErrors: false});
}

async function applyFault(engines: EngineProcess, fault: Fault) {
	const {host, port} = engines.addresses.control;
	await got.post(`http://${host}:${port}/control`, {json: {engine: 'e', fault}});
}

async function getStatus(answer: Promise<{statusCode: number}>): Promise<number> {
	const {statusCode} = await answer;
	return statusCode;
}

function createBody(content: string, maxTokens = 40, stream = true) {
	return {
		model: 'm', messages: [{role: 'user', content}], stream, max_tokens: maxTokens,
	};
}

function digestContent(content: string): string {
	return digestPrompt(renderPrompt([{role: 'user', content}]));
}

function expectedAnswer(content: string, maxTokens = 40): string {
	const digest = digestContent(content);
	return generateAnswer(digest, calculateAnswerLength(digest, lengths, maxTokens));
}

function parseFrames(text: string): Frame[] {
	const data = [...text.matchAll(/^data: (.*)$/gmv)].map(match => match[1]!);
	return data.filter(each => each !== streamEnd).map(each => frameSchema.parse(JSON.parse(each)));
}

function joinContent(frames: readonly Frame[]): string {
	return frames.map(frame => frame.choices[0]!.delta.content).join('');
}

describe('engine', () => {
	it('streams the complete answer derived from the prompt, in order', async () => {
		await using engines = await start();
		const texts = await Promise.all(['a', 'b', 'c'].map(async content =>
			createClient(engines).post('v1/chat/completions', {json: createBody(content), headers: {'x-attempt-id': `t.${content}`}}).text()));
		for (const [index, content] of ['a', 'b', 'c'].entries()) {
			const frames = parseFrames(texts[index]!);
			expect(joinContent(frames)).toBe(expectedAnswer(content));
			expect(frames.map(frame => frame.offset)).toEqual(frames.map((_, offset) => offset));
			expect(frames.every(frame => frame.attempt === `t.${content}`)).toBe(true);
			expect(frames.at(-1)?.usage?.completion_tokens).toBe(frames.length);
			expect(texts[index]!.endsWith(`data: ${streamEnd}\n\n`)).toBe(true);
		}
	});

	it('returns the complete answer as JSON without streaming, and resumes a stream from an offset', async () => {
		await using engines = await start();
		const whole = await createClient(engines).post('v1/chat/completions', {json: createBody('w', 40, false), headers: {'x-attempt-id': 'w'}})
			.json<{choices: Array<{message: {content: string}}>}>();
		expect(whole.choices[0]?.message.content).toBe(expectedAnswer('w'));
		const frames = parseFrames(await createClient(engines).get('v1/attempts/w?offset=3').text());
		expect(frames[0]?.offset).toBe(3);
	});

	it('reuses a repeated prefix from its cache and publishes its blocks', async () => {
		await using engines = await start();
		const prefix = 'p'.repeat(8192);
		await createClient(engines).post('v1/chat/completions', {json: createBody(prefix)}).text();
		const text = await createClient(engines).post('v1/chat/completions', {json: createBody(`${prefix}q`)}).text();
		expect(parseFrames(text).at(-1)?.usage?.cached_tokens).toBe(8 * 256);
		const events = await createClient(engines).get('v1/cache-events?since=0&wait=1000').json<{changes: Array<{blocks: string[]}>}>();
		expect(events.changes[0]?.blocks).toEqual(hashBlocks(renderPrompt([{role: 'user', content: prefix}])));
	});

	it('releases all memory after answers, cancellations, holds and segments', async () => {
		await using engines = await start({memory: 4096});
		const http = createClient(engines);
		expect(await getStatus(http.post('v1/chat/completions', {json: createBody('x'.repeat(40_000))}))).toBe(413);
		const holdRequest = {owner: {host: 'a', started: 1}, tokens: 4000, deadline: Date.now()};
		expect(await getStatus(http.put('v1/holds/h', {json: holdRequest}))).toBe(201);
		expect(await getStatus(http.put('v1/holds/i', {json: holdRequest}))).toBe(409);
		expect(await getStatus(http.post('v1/segments/h', {json: {from: 0, to: 3000, blocks: []}}))).toBe(200);
		const longBody = createBody('y'.repeat(40_000));
		const held = await http.post('v1/chat/completions', {json: longBody, headers: {'x-holds': 'other, h'}}).text();
		expect(joinContent(parseFrames(held))).toBe(expectedAnswer('y'.repeat(40_000)));
		expect(engines.hosts[0]!.engine.load.usedMemory).toBe(4000);
		expect(await getStatus(http.delete('v1/holds/h'))).toBe(204);
		expect(await getStatus(http.delete('v1/attempts/unknown'))).toBe(204);
		expect(engines.hosts[0]!.engine.load.usedMemory).toBe(0);
	});

	it('continues an exported stream at another engine without a gap', async () => {
		await using first = await start({decodeInterval: 500});
		await using second = await start();
		const running = createClient(first).post('v1/chat/completions', {json: createBody('z'), headers: {'x-attempt-id': 'z'}}).text();
		running.catch(() => undefined);
		while ((first.hosts[0]!.engine.attempt('z')?.produced ?? 0) < 2) {
			await new Promise(resolve => {
				setTimeout(resolve, 5);
			});
		}

		const exported = await createClient(first).post('v1/kv/export/z').json<{offset: number}>();
		const frames = parseFrames(await createClient(second).post('v1/kv/import', {json: exported}).text());
		expect(frames[0]?.offset).toBe(exported.offset);
		expect(expectedAnswer('z').endsWith(joinContent(frames))).toBe(true);
		await expect(running).rejects.toThrow();
	});

	it('refuses an outdated order only when fencing is enabled', async () => {
		for (const fencing of [true, false]) {
			await using engines = await start({fencing, loadTime: 10});
			const http = createClient(engines);
			const order = (counter: number, model: string) => ({type: 'load', number: {counter, host: 'a'}, target: {model, version: '1', role: 'mixed'}});
			expect(await getStatus(http.post('v1/orders', {json: order(5, 'n')}))).toBe(200);
			expect(await getStatus(http.post('v1/orders', {json: order(4, 'o')}))).toBe(fencing ? 409 : 200);
			while (engines.hosts[0]!.engine.orders.loading !== undefined) {
				await new Promise(resolve => {
					setTimeout(resolve, 5);
				});
			}

			expect(engines.hosts[0]!.engine.orders.current?.model).toBe(fencing ? 'n' : 'o');
		}
	});

	it('keeps execution counts over a crash and restarts as a new incarnation', async () => {
		await using engines = await start();
		await applyFault(engines, {type: 'poison', marker: 'deadly', returnAfter: 20});
		const before = engines.hosts[0]!.engine.incarnation;
		await expect(createClient(engines).post('v1/chat/completions', {json: createBody('deadly')}).text()).rejects.toThrow();
		await applyFault(engines, {type: 'heal'});
		await applyFault(engines, {type: 'restart'});
		expect(engines.hosts[0]!.engine.incarnation).not.toBe(before);
		await createClient(engines).post('v1/chat/completions', {json: createBody('deadly')}).text();
		const {counters, executions} = engines.hosts[0]!.executions;
		expect(counters).toMatchObject({started: 2, finished: 1, crashes: 1});
		expect(executions.map(each => each.prompt)).toEqual([digestContent('deadly'), digestContent('deadly')]);
	});

	it('injects crossed, repeated and reordered frames, cut streams and refusals', async () => {
		await using engines = await start();
		const http = createClient(engines);
		await applyFault(engines, {type: 'cross', count: 1});
		const crossed = parseFrames(await http.post('v1/chat/completions', {json: createBody('a'), headers: {'x-attempt-id': 'a'}}).text());
		expect(crossed.filter(frame => frame.attempt !== 'a')).toHaveLength(1);
		await applyFault(engines, {type: 'repeat', count: 1});
		const repeated = parseFrames(await http.post('v1/chat/completions', {json: createBody('b')}).text());
		expect(repeated[1]?.offset).toBe(0);
		await applyFault(engines, {type: 'reorder', count: 1});
		const reordered = parseFrames(await http.post('v1/chat/completions', {json: createBody('c')}).text());
		expect(reordered.slice(0, 2).map(frame => frame.offset)).toEqual([1, 0]);
		await applyFault(engines, {type: 'cut', afterFrames: 3, count: 1});
		await expect(http.post('v1/chat/completions', {json: createBody('d')}).text()).rejects.toThrow();
		await applyFault(engines, {type: 'refuse', status: 429, count: 1});
		expect(await getStatus(http.post('v1/chat/completions', {json: createBody('e')}))).toBe(429);
	});
});

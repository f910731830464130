import got from 'got';
import {describe, expect, it} from 'vitest';
import {hashBlocks, renderPrompt} from '../../../src/protocol/blocks.js';
import {frameSchema, streamEnd, type Frame} from '../../../src/upstream/protocol.js';
import {answerLength, answerText, promptDigest} from '../answer.js';
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

function client(engines: EngineProcess) {
	const {host, port} = engines.hosts[0]!.address;
	return got.extend({prefixUrl: `http://${host}:${port}`, retry: {limit: 0}, throwHttpErrors: false});
}

async function control(engines: EngineProcess, fault: Fault) {
	const {host, port} = engines.addresses.control;
	await got.post(`http://${host}:${port}/control`, {json: {engine: 'e', fault}});
}

async function statusOf(answer: Promise<{statusCode: number}>): Promise<number> {
	const {statusCode} = await answer;
	return statusCode;
}

function body(content: string, maxTokens = 40, stream = true) {
	return {
		model: 'm', messages: [{role: 'user', content}], stream, max_tokens: maxTokens,
	};
}

function digestOf(content: string): string {
	return promptDigest(renderPrompt([{role: 'user', content}]));
}

function answerOf(content: string, maxTokens = 40): string {
	const digest = digestOf(content);
	return answerText(digest, answerLength(digest, lengths, maxTokens));
}

function framesIn(text: string): Frame[] {
	const data = [...text.matchAll(/^data: (.*)$/gmv)].map(match => match[1]!);
	return data.filter(each => each !== streamEnd).map(each => frameSchema.parse(JSON.parse(each)));
}

function contentOf(frames: readonly Frame[]): string {
	return frames.map(frame => frame.choices[0]!.delta.content).join('');
}

describe('engine', () => {
	it('streams the answer that its prompt decides, in order and to the end', async () => {
		await using engines = await start();
		const texts = await Promise.all(['a', 'b', 'c'].map(async content =>
			client(engines).post('v1/chat/completions', {json: body(content), headers: {'x-attempt-id': `t.${content}`}}).text()));
		for (const [index, content] of ['a', 'b', 'c'].entries()) {
			const frames = framesIn(texts[index]!);
			expect(contentOf(frames)).toBe(answerOf(content));
			expect(frames.map(frame => frame.offset)).toEqual(frames.map((_, offset) => offset));
			expect(frames.every(frame => frame.attempt === `t.${content}`)).toBe(true);
			expect(frames.at(-1)?.usage?.completion_tokens).toBe(frames.length);
			expect(texts[index]!.endsWith(`data: ${streamEnd}\n\n`)).toBe(true);
		}
	});

	it('answers whole when no stream is asked for, and resumes from an offset', async () => {
		await using engines = await start();
		const whole = await client(engines).post('v1/chat/completions', {json: body('w', 40, false), headers: {'x-attempt-id': 'w'}})
			.json<{choices: Array<{message: {content: string}}>}>();
		expect(whole.choices[0]?.message.content).toBe(answerOf('w'));
		const frames = framesIn(await client(engines).get('v1/attempts/w?offset=3').text());
		expect(frames[0]?.offset).toBe(3);
	});

	it('finds a repeated prefix in its cache and publishes it', async () => {
		await using engines = await start();
		const prefix = 'p'.repeat(8192);
		await client(engines).post('v1/chat/completions', {json: body(prefix)}).text();
		const text = await client(engines).post('v1/chat/completions', {json: body(`${prefix}q`)}).text();
		expect(framesIn(text).at(-1)?.usage?.cached_tokens).toBe(8 * 256);
		const events = await client(engines).get('v1/cache-events?since=0&wait=1000').json<{changes: Array<{blocks: string[]}>}>();
		expect(events.changes[0]?.blocks).toEqual(hashBlocks(renderPrompt([{role: 'user', content: prefix}])));
	});

	it('gives back all memory after answers, cancels, holds and segments', async () => {
		await using engines = await start({memory: 4096});
		const http = client(engines);
		expect(await statusOf(http.post('v1/chat/completions', {json: body('x'.repeat(40_000))}))).toBe(413);
		const wanted = {owner: {host: 'a', started: 1}, tokens: 4000, deadline: Date.now()};
		expect(await statusOf(http.put('v1/holds/h', {json: wanted}))).toBe(201);
		expect(await statusOf(http.put('v1/holds/i', {json: wanted}))).toBe(409);
		expect(await statusOf(http.post('v1/segments/h', {json: {from: 0, to: 3000, blocks: []}}))).toBe(200);
		const over = body('y'.repeat(40_000));
		const held = await http.post('v1/chat/completions', {json: over, headers: {'x-holds': 'other, h'}}).text();
		expect(contentOf(framesIn(held))).toBe(answerOf('y'.repeat(40_000)));
		expect(engines.hosts[0]!.engine.load.usedMemory).toBe(4000);
		expect(await statusOf(http.delete('v1/holds/h'))).toBe(204);
		expect(await statusOf(http.delete('v1/attempts/unknown'))).toBe(204);
		expect(engines.hosts[0]!.engine.load.usedMemory).toBe(0);
	});

	it('continues an exported stream elsewhere without a gap', async () => {
		await using first = await start({decodeInterval: 500});
		await using second = await start();
		const running = client(first).post('v1/chat/completions', {json: body('z'), headers: {'x-attempt-id': 'z'}}).text();
		running.catch(() => undefined);
		while ((first.hosts[0]!.engine.attempt('z')?.produced ?? 0) < 2) {
			await new Promise(resolve => {
				setTimeout(resolve, 5);
			});
		}

		const exported = await client(first).post('v1/kv/export/z').json<{offset: number}>();
		const frames = framesIn(await client(second).post('v1/kv/import', {json: exported}).text());
		expect(frames[0]?.offset).toBe(exported.offset);
		expect(answerOf('z').endsWith(contentOf(frames))).toBe(true);
		await expect(running).rejects.toThrow();
	});

	it('refuses an old order only where it checks numbers', async () => {
		for (const fencing of [true, false]) {
			await using engines = await start({fencing, loadTime: 10});
			const http = client(engines);
			const order = (counter: number, model: string) => ({type: 'load', number: {counter, host: 'a'}, target: {model, version: '1', role: 'mixed'}});
			expect(await statusOf(http.post('v1/orders', {json: order(5, 'n')}))).toBe(200);
			expect(await statusOf(http.post('v1/orders', {json: order(4, 'o')}))).toBe(fencing ? 409 : 200);
			while (engines.hosts[0]!.engine.orders.loading !== undefined) {
				await new Promise(resolve => {
					setTimeout(resolve, 5);
				});
			}

			expect(engines.hosts[0]!.engine.orders.current?.model).toBe(fencing ? 'n' : 'o');
		}
	});

	it('counts executions over a crash and comes back as another incarnation', async () => {
		await using engines = await start();
		await control(engines, {type: 'poison', marker: 'deadly', returnAfter: 20});
		const before = engines.hosts[0]!.engine.incarnation;
		await expect(client(engines).post('v1/chat/completions', {json: body('deadly')}).text()).rejects.toThrow();
		await control(engines, {type: 'heal'});
		await control(engines, {type: 'restart'});
		expect(engines.hosts[0]!.engine.incarnation).not.toBe(before);
		await client(engines).post('v1/chat/completions', {json: body('deadly')}).text();
		const {counters, executions} = engines.hosts[0]!.executions;
		expect(counters).toMatchObject({started: 2, finished: 1, crashes: 1});
		expect(executions.map(each => each.prompt)).toEqual([digestOf('deadly'), digestOf('deadly')]);
	});

	it('crosses, repeats, cuts and refuses on demand', async () => {
		await using engines = await start();
		const http = client(engines);
		await control(engines, {type: 'cross', count: 1});
		const crossed = framesIn(await http.post('v1/chat/completions', {json: body('a'), headers: {'x-attempt-id': 'a'}}).text());
		expect(crossed.filter(frame => frame.attempt !== 'a')).toHaveLength(1);
		await control(engines, {type: 'repeat', count: 1});
		const repeated = framesIn(await http.post('v1/chat/completions', {json: body('b')}).text());
		expect(repeated[1]?.offset).toBe(0);
		await control(engines, {type: 'reorder', count: 1});
		const reordered = framesIn(await http.post('v1/chat/completions', {json: body('c')}).text());
		expect(reordered.slice(0, 2).map(frame => frame.offset)).toEqual([1, 0]);
		await control(engines, {type: 'cut', afterFrames: 3, count: 1});
		await expect(http.post('v1/chat/completions', {json: body('d')}).text()).rejects.toThrow();
		await control(engines, {type: 'refuse', status: 429, count: 1});
		expect(await statusOf(http.post('v1/chat/completions', {json: body('e')}))).toBe(429);
	});
});

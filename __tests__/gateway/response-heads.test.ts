/** Upstreams whose heads can't be passed on: it depends on the head alone, not on the body, what becomes of their responses. */
import {
	afterAll, afterEach, beforeAll, describe, expect, it,
} from 'vitest';
import {createPromptHeaders, type Answer, type CallerRequest} from '../../bench/gateway/caller-requests.js';
import {Site, type SiteOptions} from '../../bench/gateway/site.js';
import {RawUpstream, type RawAnswer} from '../support/raw-upstream.js';

let site: Site;
let upstream: RawUpstream | undefined;

afterEach(async () => {
	await upstream?.[Symbol.asyncDispose]();
	upstream = undefined;
});

/** Starts one deployment for all tests of a group. */
function useSite(options: SiteOptions): void {
	beforeAll(async () => {
		site = await Site.start(options);
	});
	afterAll(async () => {
		await site[Symbol.asyncDispose]();
	});
}

const longBytes = 1_300_000;
const longText = 'x'.repeat(longBytes);
const requestCount = 12;

function createHead(status: string, request: string, fields: string): string {
	return `HTTP/1.1 ${status}\r\nX-Request-Id: ${request}\r\nX-Response-Signature: s\r\n${fields}\r\n`;
}

function answerWith(status: string, fields = 'Content-Length: 2\r\n', body = 'ok'): RawAnswer {
	return {first: request => createHead(status, request, fields) + body};
}

const chunk = `2710\r\n${'x'.repeat(10_000)}\r\n`;

/** Answers that break off, or fail, whatever their bodies hold. */
const failures: Readonly<Record<string, RawAnswer>> = {
	'status 000': answerWith('000 None'),
	'status 099': answerWith('099 None'),
	'status 101': answerWith('101 Switching Protocols'),
	'status 101 with an upgrade': answerWith('101 Switching Protocols', 'Connection: Upgrade\r\nUpgrade: x\r\n'),
	'status 600': answerWith('600 Odd'),
	'status 999': answerWith('999 Odd'),
	'status 204 with a body': answerWith('204 No Content'),
	'no head': {first: () => 'no response\r\n\r\n'},
	'a chunk without a length': answerWith('200 OK', 'Transfer-Encoding: chunked\r\n', '5\r\nhello\r\nno length\r\n'),
	...Object.fromEntries(['503 Busy', '429 Busy', '408 Late'].flatMap((status): ReadonlyArray<readonly [string, RawAnswer]> => [
		[`a long ${status} with a length`, answerWith(status, `Content-Length: ${longBytes}\r\n`, longText)],
		[`a long ${status} in chunks`, answerWith(status, 'Transfer-Encoding: chunked\r\n', `${longBytes.toString(16)}\r\n${longText}\r\n0\r\n\r\n`)],
		[`a long ${status} that ends with its connection`, {...answerWith(status, 'Connection: close\r\n', longText), end: {type: 'close', after: 20}}],
		[`${status} without end`, {first: (request: string) => createHead(status, request, 'Transfer-Encoding: chunked\r\n'), next: chunk}],
	])),
};

let groupCount = 0;

/** Returns requests of a group, with ids of their own. */
function createRequests(path: string, headers?: Readonly<Record<string, string>>): readonly CallerRequest[] {
	groupCount++;
	return Array.from({length: requestCount}, (_, index) => ({path, id: `r${groupCount}-${index}`, headers}));
}

async function askInTurn(requests: readonly CallerRequest[]): Promise<ReadonlyMap<string, Answer>> {
	const answers = new Map<string, Answer>();
	for (const request of requests) {
		answers.set(request.id, await site.ask(request));
	}

	return answers;
}

function listUnserved(answers: ReadonlyMap<string, Answer>): readonly string[] {
	return [...answers].filter(([, {status, isWhole}]) => status !== 200 || !isWhole).map(([id, {status}]) => `${id}: ${status}`);
}

/** Payments that were answered otherwise than as unknown if the upstream has had them, or as done if another one has. */
function listWrong(answers: ReadonlyMap<string, Answer>, answered: ReadonlySet<string>): readonly string[] {
	return [...answers].filter(([id, {status}]) => status !== (answered.has(id) ? 502 : 200)).map(([id, {status}]) => `${id}: ${status}`);
}

describe('an answer that can\'t be passed on', () => {
	useSite({engines: 1, plains: 2});

	it.each(Object.keys(failures))('promises nothing to a caller whose request has run, and is repeated elsewhere where that is safe: %s', async name => {
		upstream = await RawUpstream.start(site, 'plain', failures[name]!);
		const payments = await askInTurn(createRequests('/once/x'));
		expect(upstream.requests.length).toBeGreaterThan(0);
		expect(listWrong(payments, new Set(upstream.requests))).toEqual([]);
		await upstream[Symbol.asyncDispose]();
		upstream = await RawUpstream.start(site, 'plain', failures[name]!);
		expect(listUnserved(await askInTurn(createRequests('/read/x')))).toEqual([]);
		expect(upstream.requests.length).toBeGreaterThan(0);
		await expect.poll(() => upstream!.connectionCount, {timeout: 2500}).toBeLessThanOrEqual(1);
		// It counts against the upstream, but not as a crash.
		expect(site.hosts[0]!.findLogLines('suspected')).toEqual([]);
		expect(site.hosts[0]!.findLogLines('exchange-failed')).toEqual([]);
	});

	it.each(['status 000', 'status 101', 'status 600', 'a long 503 Busy with a length', '429 Busy without end'])('makes a stream go on elsewhere: %s', async name => {
		upstream = await RawUpstream.start(site, 'model', failures[name]!);
		const requests = createRequests('/ask/x', createPromptHeaders(10_000, 3)).slice(0, 4);
		expect(listUnserved(new Map(await Promise.all(requests.map(async request => [request.id, await site.ask(request)] as const))))).toEqual([]);
		expect(upstream.requests.length).toBeGreaterThan(0);
	});

	it('is repeated elsewhere at once if it is a failure whose body has no end', async () => {
		upstream = await RawUpstream.start(site, 'plain', {first: request => createHead('500 Failed', request, 'Transfer-Encoding: chunked\r\n'), next: chunk, interval: 50});
		const answers = await askInTurn(createRequests('/read/x'));
		expect(listUnserved(answers)).toEqual([]);
		expect(upstream.requests.length).toBeGreaterThan(0);
		expect(Math.max(...[...answers.values()].map(({took}) => took))).toBeLessThan(1000);
		await expect.poll(() => upstream!.connectionCount, {timeout: 2500}).toBe(0);
	});

	it.each([[undefined], [20]])('is read for a short time only if it states that nothing ran, though its body has no end (a piece in %s ms)', async interval => {
		upstream = await RawUpstream.start(site, 'plain', {
			first: request => createHead('503 Busy', request, 'X-Not-Executed: full\r\nTransfer-Encoding: chunked\r\n'), next: interval === undefined ? chunk : '2\r\nxx\r\n', interval,
		});
		expect(listUnserved(await askInTurn(createRequests('/once/x')))).toEqual([]);
		expect(upstream.requests.length).toBeGreaterThan(0);
		await expect.poll(() => upstream!.connectionCount, {timeout: 2500}).toBe(0);
	});
});

describe('the answer of the only upstream', () => {
	useSite({engines: 1, plains: 0});

	it('is replaced by one of the host if it is a failure whose body has no end', async () => {
		upstream = await RawUpstream.start(site, 'plain', {first: request => createHead('500 Failed', request, 'Transfer-Encoding: chunked\r\n'), next: chunk, interval: 50});
		const answer = await site.ask({path: '/read/x', id: 'endless'});
		expect(answer).toMatchObject({status: 502, isWhole: true});
		expect(answer.took).toBeLessThan(1450);
	});

	it('is passed on whole if it is a failure', async () => {
		const text = 'x'.repeat(300_000);
		upstream = await RawUpstream.start(site, 'plain', answerWith('500 Failed', `Content-Length: ${text.length}\r\n`, text));
		expect(await site.ask({path: '/read/x', id: 'failed'})).toMatchObject({status: 500, isWhole: true, body: text});
	});

	it('is passed on as it is if it has no content', async () => {
		upstream = await RawUpstream.start(site, 'plain', answerWith('204 No Content', '', ''));
		expect(await site.ask({path: '/once/x', id: 'no-content'})).toMatchObject({status: 204, isWhole: true, body: ''});
	});

	it('keeps the length that it states to HEAD', async () => {
		upstream = await RawUpstream.start(site, 'plain', answerWith('200 OK', 'Content-Length: 12\r\n', ''));
		const answer = await site.ask({path: '/read/x', id: 'head', method: 'HEAD'});
		expect([answer.status, answer.headers['content-length']]).toEqual([200, '12']);
	});
});

describe('a body without end', () => {
	const maxBodyBytes = 5_000_000;

	useSite({engines: 1, plains: 0, settings: {responses: {bodyBytes: maxBodyBytes}}});

	it.each(['/once/x', '/read/x'])('that is passed on is broken off once it exceeds the bound, and counts against its upstream (%s)', async path => {
		upstream = await RawUpstream.start(site, 'plain', {first: request => createHead('200 OK', request, 'Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n'), next: chunk});
		const answer = await site.ask({path, id: `endless${path}`});
		expect([answer.isWhole, answer.body.length <= maxBodyBytes, answer.took < 1400]).toEqual([false, true, true]);
		await expect.poll(() => upstream!.connectionCount, {timeout: 2500}).toBe(0);
		const findReasons = () => site.hosts[0]!.findLogLines('attempt-ended', `endless${path}`).map(({ending, reason}) => [ending, reason]);
		await expect.poll(findReasons, {timeout: 2000}).toEqual([['unknown', `the body didn't end within ${maxBodyBytes} bytes`]]);
	});
});

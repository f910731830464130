/** Upstreams whose responses break the grammar of HTTP: no byte of them reaches a caller, whatever the HTTP parser of Node.js accepts. */
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {createPromptHeaders, parseEventIds, type Answer} from '../../bench/gateway/caller-requests.js';
import {Site} from '../../bench/gateway/site.js';
import {malformedHeads} from '../../stand-ins/gateway/odd-heads.js';
import {askAll, type Exchange} from '../support/exchanges.js';
import {RawUpstream, type RawAnswer} from '../support/raw-upstream.js';

/** Bytes of a response beside its status line, id and signature. */
type Rest = {
	/** Lines after the status line, each with its end. */
	readonly lines: string;
	/** What follows the empty line after the head. */
	readonly body: string;
};

const text = 'x'.repeat(2000);
const framings = {
	length: {lines: `Content-Length: ${text.length}\r\n`, body: text},
	chunks: {lines: 'Transfer-Encoding: chunked\r\n', body: `7d0\r\n${text}\r\n0\r\n\r\n`},
	connection: {lines: 'Connection: close\r\n', body: text},
} as const satisfies Readonly<Record<string, Rest>>;

/** Lines of a head that are no field, beside a sound framing. */
const lines: Readonly<Record<string, string>> = {
	'a blank inside a name': 'X Odd: 1\r\n',
	'a blank before the colon': 'X-Odd : 1\r\n',
	'a tab before the colon': 'X-Odd\t: 1\r\n',
	'an empty name': ': 1\r\n',
	'a blank before the name': ' X-Odd: 1\r\n',
	'a tab before the name': '\tX-Odd: 1\r\n',
	'a control byte inside a name': 'X\u0001Odd: 1\r\n',
	'a delete character inside a name': 'X\u007FOdd: 1\r\n',
	'a byte over 127 inside a name': 'X\u00E9Odd: 1\r\n',
	'no colon': 'X-Odd\r\n',
	'a blank inside the name of the length': 'Content- Length: 10\r\n',
	'a blank before the colon of the length': 'Content-Length : 10\r\n',
	'a blank before the colon of the coding': 'Transfer-Encoding : chunked\r\n',
	'a blank before the name of the coding': ' Transfer-Encoding: chunked\r\n',
	'a blank before the colon of an upgrade': 'Upgrade : odd\r\n',
	'a blank before the colon of a connection': 'Connection : close\r\n',
	'a blank before the colon of the signature': 'X-Response-Signature : other\r\n',
	'a null byte in a value': 'X-Odd: 1\u00002\r\n',
	'a delete character in a value': 'X-Odd: 1\u007F2\r\n',
	'a carriage return in a value': 'X-Odd: 1\r2\r\n',
	'a line that ends without a carriage return': 'X-Odd: 1\n',
	'a second length': 'Content-Length: 10\r\nContent-Length: 2000\r\n',
	'a length that is no number': 'Content-Length: 2e3\r\n',
	'a length beside chunks': 'Transfer-Encoding: chunked\r\nContent-Length: 2000\r\n',
};

/** Responses whose heads announce bodies that can't be read. */
const announcements: Readonly<Record<string, Rest>> = {
	'chunks announced by a line with a blank before the name': {lines: `X-Odd: 1\r\n ${framings.chunks.lines}`, body: framings.chunks.body},
	'a coding beside chunks': {lines: 'Transfer-Encoding: chunked, odd\r\n', body: text},
	'chunks announced by a line with a blank before the colon': {lines: 'Transfer-Encoding : chunked\r\n', body: framings.chunks.body},
};

/** Responses with sound heads: the events before the fault are passed on, and the rest of the stream comes from elsewhere. */
const bodies: Readonly<Record<string, Rest>> = {
	'a trailer with a blank inside its name': {...framings.chunks, body: `7d0\r\n${text}\r\n0\r\nX Odd: 1\r\n\r\n`},
	'a trailer with a blank before the colon': {...framings.chunks, body: `7d0\r\n${text}\r\n0\r\nX-Odd : 1\r\n\r\n`},
	'a blank behind the size of a chunk': {...framings.chunks, body: `7d0 \r\n${text}\r\n0\r\n\r\n`},
	'a chunk that is longer than its size': {...framings.chunks, body: `7cf\r\n${text}\r\n0\r\n\r\n`},
	'chunk lines that end without a carriage return': {...framings.chunks, body: `7d0\n${text}\n0\n\n`},
};

const framingNames = ['length', 'chunks', 'connection'] as const;

type Case = {
	readonly name: string;
	readonly rest: Rest;
	readonly isHeadSound: boolean;
};

const cases: readonly Case[] = [
	...Object.entries(lines).map(([name, line], index) => {
		const framing = framingNames[index % framingNames.length]!;
		const {lines: sound, body} = framings[framing];
		return {name: `${name}, framed by ${framing}`, rest: {lines: index % 2 === 0 ? line + sound : sound + line, body}, isHeadSound: false};
	}),
	...Object.entries(announcements).map(([name, rest]) => ({name, rest, isHeadSound: false})),
	...Object.entries(bodies).map(([name, rest]) => ({name, rest, isHeadSound: true})),
];

function createAnswer({lines: fields, body}: Rest): RawAnswer {
	return {
		first: request => `HTTP/1.1 200 OK\r\n${fields}X-Request-Id: ${request}\r\nX-Response-Signature: s\r\n\r\n${body}`,
		end: {type: 'close', after: 5},
	};
}

/** The same response as a stream of events. */
function createStream({lines: fields, body}: Rest): RawAnswer {
	const event = 'id: 1\ndata: odd\n\n';
	const padded = event + ':'.padEnd(text.length - event.length - 2, 'x') + '\n\n';
	return createAnswer({lines: `${fields}Content-Type: text/event-stream\r\n`, body: body.replace(text, padded)});
}

let site: Site;

const events = 3;

/** Asks for streams, again if none was placed at the engine. */
async function askForStreams({requests}: RawUpstream): Promise<readonly Exchange[]> {
	const exchanges: Exchange[] = [];
	for (let round = 0; round < 10 && requests.length === 0; round++) {
		exchanges.push(...await askAll(site, 6, '/ask/', createPromptHeaders(10_000, events)));
	}

	return exchanges;
}

/** Returns what the host has logged of suspected requests, and of failures of its own. */
function listFailures(): ReadonlyArray<Readonly<Record<string, unknown>>> {
	return site.hosts[0]!.lines.filter(({event}) => event === 'suspected' || event === 'exchange-failed');
}

function describeAnswer(answer: Answer | undefined): string {
	return answer === undefined ? 'no answer' : `${answer.status} ${answer.isWhole ? 'whole' : 'broken'} ${answer.body.slice(0, 40)}`;
}

function listWrong(exchanges: readonly Exchange[], isRight: (id: string, answer: Answer) => boolean): readonly string[] {
	return exchanges.filter(({id, answer}) => answer === undefined || !answer.isWhole || answer.headers['x-odd'] !== undefined || !isRight(id, answer))
		.map(({id, answer}) => `${id}: ${describeAnswer(answer)}`);
}

function isSoundAnswer(id: string, {status, body}: Answer): boolean {
	return status === 200 && body === `answer to ${id}: `;
}

function isSoundStream(answer: Answer): boolean {
	return answer.status === 200 && parseEventIds(answer).join(' ') === '1 2 3';
}

/** The lenient parser accepts here what that of other releases accepts as it is. */
describe.each([
	['as it is', []],
	['lenient', ['--insecure-http-parser']],
])('a malformed response never reaches a caller where the parser of Node.js is %s', (_, nodeOptions) => {
	beforeAll(async () => {
		// Every case repeats some requests.
		site = await Site.start({
			engines: 2, plains: 2, nodeOptions, settings: {retries: {allowance: 1000}},
		});
	});
	afterAll(async () => {
		await site[Symbol.asyncDispose]();
	});

	it.each(cases)('$name', async ({rest, isHeadSound}) => {
		const failures = listFailures();
		const [startedPlain, startedEngine] = await Promise.all([
			RawUpstream.start(site, 'plain', createAnswer(rest)),
			RawUpstream.start(site, 'model', createStream(rest)),
		]);
		await using plain = startedPlain;
		await using engine = startedEngine;
		const [payments, calls, streams] = await Promise.all([
			askAll(site, 8, '/once/'),
			askAll(site, 8, '/read/'),
			askForStreams(engine),
		]);
		expect([plain.requests.length > 0, engine.requests.length > 0]).toEqual([true, true]);
		expect(listWrong(payments, (id, answer) => plain.requests.includes(id) ? answer.status === 502 : isSoundAnswer(id, answer))).toEqual([]);
		expect(listWrong(calls, isSoundAnswer)).toEqual([]);
		expect(listWrong(streams, (_id, answer) => isSoundStream(answer) && (isHeadSound || !answer.body.includes('odd')))).toEqual([]);
		// It counts against the upstream, but not as a crash.
		expect(listFailures().slice(failures.length)).toEqual([]);
	});
});

it.each(malformedHeads)('a malformed response never reaches a caller over another host: %s', async head => {
	await using deployment = await Site.start({
		hosts: 2, engines: 2, plains: 2, hasSeverableLinks: true, nodeOptions: ['--insecure-http-parser'],
	});
	const [host] = deployment.hosts;
	const askHost = async (path: string) => Promise.all(Array.from({length: 8}, async (_, index): Promise<Exchange> => {
		const id = `${path.replaceAll('/', '')}-${index}`;
		return {id, answer: await deployment.ask({path: path + id, id}, host)};
	}));
	await expect.poll(() => host!.findLogLines('peer-linked').length, {timeout: 5000}).toBeGreaterThan(0);
	await deployment.sever(0, 'refuse-new');
	expect(listWrong(await askHost('/read/sound/'), isSoundAnswer)).toEqual([]);
	expect(host!.findLogLines('tunnel-opened').length).toBeGreaterThan(0);
	const [odd] = deployment.plains;
	odd!.fault = head;
	const [payments, calls] = await Promise.all([askHost('/once/odd/'), askHost('/read/odd/')]);
	const reached = new Set(odd!.arrivals.map(({request}) => request));
	expect([...payments, ...calls].some(({id}) => reached.has(id))).toBe(true);
	expect(listWrong(payments, (id, answer) => reached.has(id) ? answer.status === 502 : isSoundAnswer(id, answer))).toEqual([]);
	expect(listWrong(calls, isSoundAnswer)).toEqual([]);
});

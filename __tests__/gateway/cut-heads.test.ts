/** Upstreams that stop in the middle of the head of a response and close: no caller gets a response that looks complete. */
import {
	afterAll, beforeAll, expect, it,
} from 'vitest';
import {createPromptHeaders, parseEventIds, type Answer} from '../../bench/gateway/caller-requests.js';
import {Site} from '../../bench/gateway/site.js';
import {RawUpstream} from '../support/raw-upstream.js';

const framings = ['Content-Length: 2000\r\n', 'Transfer-Encoding: chunked\r\n', 'Connection: close\r\n'];
const ends = ['close', 'reset'] as const;
const cutCount = 15;

function createHead(framing: string, request: string): string {
	return `HTTP/1.1 200 OK\r\n${framing}X-Response-Signature: s\r\nContent-Type: text/event-stream\r\nX-Request-Id: ${request}\r\n\r\n`;
}

const cuts = Array.from({length: cutCount}, (_, index) => ({
	framing: framings[index % framings.length]!,
	end: ends[index % ends.length]!,
	/** Part of the head that is sent; all but its last byte in the last case. */
	share: index / (cutCount - 1),
}));

let site: Site;
let requestCount = 0;

beforeAll(async () => {
	// Every case repeats some requests.
	site = await Site.start({engines: 2, plains: 2, settings: {retries: {allowance: 1000}}});
});

afterAll(async () => {
	await site[Symbol.asyncDispose]();
});

type Exchange = {
	readonly id: string;
	readonly answer: Answer;
};

/** Asks for different things: a request that seems to crash upstreams is refused. */
async function askAll(count: number, path: string, headers?: Readonly<Record<string, string>>): Promise<readonly Exchange[]> {
	return Promise.all(Array.from({length: count}, async () => {
		requestCount++;
		const id = `r${requestCount}`;
		return {id, answer: await site.ask({path: path + id, id, headers})};
	}));
}

function listWrong(exchanges: readonly Exchange[], isRight: (exchange: Exchange) => boolean): readonly string[] {
	return exchanges.filter(exchange => !exchange.answer.isWhole || !isRight(exchange)).map(({id, answer: {status, body}}) => `${id}: ${status} ${body.slice(0, 40)}`);
}

it.each(cuts)('$share of a head with $framing, then $end', async ({framing, end, share}) => {
	const answer = {
		first(request: string) {
			const head = createHead(framing, request);
			return head.slice(0, Math.max(1, Math.floor(share * (head.length - 1))));
		},
		end: {type: end, after: 5},
	} as const;
	const [startedPlain, startedEngine] = await Promise.all([RawUpstream.start(site, 'plain', answer), RawUpstream.start(site, 'model', answer)]);
	await using plain = startedPlain;
	await using engine = startedEngine;
	const [payments, calls, streams] = await Promise.all([askAll(8, '/once/'), askAll(8, '/read/'), askAll(6, '/ask/', createPromptHeaders(10_000, 3))]);
	expect(plain.requests.length + engine.requests.length).toBeGreaterThan(0);
	const isSound = ({id, answer: {status, body}}: Exchange) => status === 200 && body === `answer to ${id}: `;
	expect(listWrong(payments, exchange => plain.requests.includes(exchange.id) ? exchange.answer.status === 502 : isSound(exchange))).toEqual([]);
	expect(listWrong(calls, isSound)).toEqual([]);
	expect(listWrong(streams, ({answer: stream}) => stream.status === 200 && parseEventIds(stream).join(' ') === '1 2 3')).toEqual([]);
});

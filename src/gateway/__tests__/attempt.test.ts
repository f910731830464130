import {Buffer} from 'node:buffer';
import {Socket} from 'node:net';
import {setImmediate as turn} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {Attempt, type EndedAttempt, type Reply} from '../upstreams/attempt.js';
import {UpstreamAgent} from '../upstreams/agent.js';
import {takeSocket} from '../upstreams/connector.js';
import {connectDirectly} from '../tunnels/direct-connection.js';
import {type HeaderFormat} from '../platform-adapter.js';

const headerFormat: HeaderFormat = {
	parseRequest: () => undefined,
	formatUpstreamHeaders: () => [],
	parseResponse: () => ({
		isSigned: true, isNotRun: false, isMisdirected: false, report: {isLeaving: false},
	}),
};

/** Opens connections that are never established. */
function openUnresponsive(): Socket {
	const socket = new Socket();
	Object.defineProperty(socket, 'connecting', {value: true});
	return socket;
}

function createAttempt(): Attempt {
	const agent = new UpstreamAgent({
		connect: async options => takeSocket(await connectDirectly(options, openUnresponsive)),
		findRoute: () => ({type: 'direct'}),
		isOffered: () => false,
	});
	return new Attempt({
		id: 'r', method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), address: {host: '127.0.0.1', port: 1}, isIdempotent: false, maxInterimResponses: 16,
	}, headerFormat, agent);
}

beforeEach(() => {
	vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout']});
});

afterEach(() => {
	vi.useRealTimers();
});

it('gives up on a connection early enough for another upstream to answer a short prompt in time', async () => {
	const attempt = createAttempt();
	const replies: Array<Reply | EndedAttempt> = [];
	void (async () => {
		replies.push(await attempt.reply());
	})();

	await turn();
	await vi.advanceTimersByTimeAsync(150);
	await turn();
	await turn();
	expect(replies).toEqual([{type: 'ended', ending: {type: 'not-run', reason: 'no connection in time', isShed: false}, absence: {failure: 'silent', isLinkDoubtful: false}}]);
});

it('ends at once without having run if it is cancelled while it has no connection', async () => {
	const attempt = createAttempt();
	const pending = attempt.reply();
	attempt.cancel('caller left');
	expect(await pending).toEqual({type: 'ended', ending: {type: 'not-run', reason: 'cancelled', isShed: false}, absence: undefined});
});

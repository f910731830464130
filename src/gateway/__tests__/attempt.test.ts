import {Buffer} from 'node:buffer';
import {Agent} from 'node:http';
import {Socket} from 'node:net';
import {setImmediate as turn} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {Attempt, type EndedAttempt, type Reply} from '../upstreams/attempt.js';
import {type HeaderFormat} from '../platform-adapter.js';

const headerFormat: HeaderFormat = {
	parseRequest: () => undefined,
	formatUpstreamHeaders: () => [],
	parseResponse: () => ({
		isSigned: true, isNotRun: false, isMisdirected: false, report: {isLeaving: false},
	}),
};

/** Creates connections that are never established. */
class UnresponsiveAgent extends Agent {
	override createConnection(): Socket {
		const socket = new Socket();
		Object.defineProperty(socket, 'connecting', {value: true});
		return socket;
	}
}

beforeEach(() => {
	vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout']});
});

afterEach(() => {
	vi.useRealTimers();
});

it('gives up on a connection early enough for another upstream to answer a short prompt in time', async () => {
	const attempt = new Attempt({
		id: 'r', method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), address: {host: '127.0.0.1', port: 1},
	}, headerFormat, new UnresponsiveAgent());
	const replies: Array<Reply | EndedAttempt> = [];
	void (async () => {
		replies.push(await attempt.reply());
	})();

	await turn();
	await vi.advanceTimersByTimeAsync(150);
	await turn();
	expect(replies).toEqual([{type: 'ended', ending: {type: 'not-run', reason: 'no connection in time', isShed: false}, absence: 'silent'}]);
});

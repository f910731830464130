import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {probeEnd} from '../connection-end.js';
import {resetSocket} from '../reset-socket.js';

const server = createServer({allowHalfOpen: true});
let near: Socket;
let far: Socket;
let nearErrors: Array<string | undefined>;

beforeEach(async () => {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const port = typeof address === 'object' && address !== null ? address.port : 0;
	const accepted = new Promise<Socket>(resolve => {
		server.once('connection', resolve);
	});
	near = connect({port, host: '127.0.0.1', allowHalfOpen: true});
	await once(near, 'connect');
	far = await accepted;
	nearErrors = [];
	near.on('error', (error: NodeJS.ErrnoException) => {
		nearErrors.push(error.code);
	});
	far.on('error', () => undefined);
	far.resume();
});

afterEach(() => {
	near.destroy();
	far.destroy();
	server.close();
});

describe('a connection that is reset', () => {
	// Guards against descriptors that are never closed, which keep a process from ending.
	it('closes if its end is being sent', async () => {
		near.end();
		resetSocket(near);
		await expect.poll(() => near.closed).toBe(true);
		expect(nearErrors).toEqual([]);
	});

	it('doesn\'t look complete if bytes before its end are still to be sent', async () => {
		const ended = probeEnd(far);
		far.pause();
		near.end(new Uint8Array(20_000_000));
		resetSocket(near);
		far.resume();
		expect(await ended).toBe(false);
	});

	it('doesn\'t look complete if it has not ended', async () => {
		const ended = probeEnd(far);
		near.write('part');
		resetSocket(near);
		expect(await ended).toBe(false);
	});
});

import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {FaultProxy, settingsSchema} from '../service.js';

const sourceOfA = '127.1.0.1';

/** A server that echoes, behind a proxy link into domain b. */
class Echo {
	received = '';
	readonly #server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', chunk => {
			this.received += chunk.toString();
			socket.write(chunk);
		});
	});

	async listen(): Promise<number> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		const address = this.#server.address();
		return typeof address === 'object' ? address!.port : 0;
	}

	close() {
		this.#server.close();
	}
}

async function closed(socket: Socket): Promise<void> {
	await new Promise<void>(resolve => {
		socket.once('close', () => {
			resolve();
		});
		if (socket.destroyed) {
			resolve();
		}
	});
}

it('passes on a reset that comes together with the last bytes as a reset', async () => {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write('part');
			socket.resetAndDestroy();
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const target = server.address();
	await using proxy = await FaultProxy.start(settingsSchema.parse({}));
	const address = await proxy.openLink({name: 'reset', target: {host: '127.0.0.1', port: typeof target === 'object' ? target!.port : 0}});
	for (let turn = 0; turn < 20; turn++) {
		const socket = connect(address.port, address.host);
		let isReset = false;
		socket.resume().on('error', () => {
			isReset = true;
		}).prependOnceListener('end', () => {
			socket.write('\r\n');
		});
		socket.write('go');
		await closed(socket);
		expect(isReset).toBe(true);
	}

	server.close();
});

describe('fault proxy', () => {
	let echo: Echo;
	let proxy: FaultProxy;
	let address: {host: string; port: number};
	let opened: Socket[];

	beforeEach(async () => {
		opened = [];
		echo = new Echo();
		proxy = await FaultProxy.start(settingsSchema.parse({sources: {[sourceOfA]: 'a'}}));
		address = await proxy.openLink({name: 'echo', target: {host: '127.0.0.1', port: await echo.listen()}, domain: 'b'});
	});

	afterEach(async () => {
		for (const socket of opened) {
			socket.destroy();
		}

		await proxy[Symbol.asyncDispose]();
		echo.close();
	});

	function dial(from = '127.0.0.1'): Socket {
		const socket = connect({...address, localAddress: from});
		opened.push(socket);
		socket.on('error', () => undefined);
		return socket;
	}

	async function open(from?: string): Promise<Socket> {
		const socket = dial(from);
		await once(socket, 'connect');
		return socket;
	}

	async function ask(socket: Socket, text: string): Promise<string> {
		socket.write(text);
		return new Promise(resolve => {
			socket.once('data', chunk => {
				resolve(chunk.toString());
			});
		});
	}

	it('partitions by failure domain and delivers late once healed', async () => {
		const inside = await open(sourceOfA);
		const client = await open();
		expect(await ask(inside, 'one')).toBe('one');
		proxy.apply({type: 'partition', groups: [['a'], ['b']]});
		const late = ask(inside, 'two');
		expect(await ask(client, 'client')).toBe('client');
		expect(echo.received).toBe('oneclient');
		proxy.apply({type: 'heal'});
		expect(await late).toBe('two');
	});

	it('resets open connections on a cut and new ones on a refusal', async () => {
		const socket = await open();
		expect(await ask(socket, 'x')).toBe('x');
		proxy.apply({type: 'cut', where: {to: 'b'}});
		await closed(socket);
		const again = await open();
		expect(await ask(again, 'y')).toBe('y');
		proxy.apply({type: 'refuse', where: {link: 'echo'}});
		await closed(again);
		await closed(dial());
		expect(echo.received).toBe('xy');
	});

	it('drops a connection after a number of bytes, and delays in order', async () => {
		proxy.apply({type: 'delay', where: {}, delay: 5});
		const slow = await open();
		slow.write('a');
		expect(await ask(slow, 'b')).toMatch(/^a/v);
		proxy.apply({type: 'heal'});
		proxy.apply({type: 'drop-after', where: {}, bytes: 8});
		const short = await open();
		expect(await ask(short, '1234')).toBe('1234');
		short.write('5');
		await closed(short);
		expect(proxy.connections).toBeLessThanOrEqual(2);
	});
});

/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- The mocks contain only the members that these tests use. */
/** Tunnels between two hosts: what passes, what is refused, and how each end shows. */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {type LinkRoute, type LinkScope} from '../../../core/gateway/health/links.js';
import {type GatewayUpstream} from '../../../core/gateway/types.js';
import {type Host} from '../../peers/messages.js';
import {type StatedEnd} from '../../../core/gateway/health/connection-ends.js';
import {encodeTunnelMessage, type OpenTunnelOffer} from '../messages.js';
import {askTunnelEnd, openTunnel, type TunnelResult} from '../tunnel-client.js';
import {TunnelPeers, type TunnelPeersOptions} from '../tunnel-peers.js';
import {TunnelServer} from '../tunnel-server.js';

const disposables: Array<() => Promise<unknown>> = [];
const lines: Array<Readonly<Record<string, unknown>>> = [];
const log = {
	write(fields: Readonly<Record<string, unknown>>) {
		lines.push(fields);
	},
};

afterEach(async () => {
	for (const dispose of disposables.splice(0).toReversed()) {
		await dispose();
	}

	lines.length = 0;
});

async function listen(server: Server): Promise<number> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	disposables.push(async () => new Promise(resolve => {
		server.close(resolve);
	}));
	return (server.address() as AddressInfo).port;
}

/** Starts an upstream that treats its connections as stated; returns its port. */
async function startUpstream(handle: (socket: Socket) => void): Promise<number> {
	return listen(createServer(socket => {
		socket.on('error', () => undefined);
		disposables.push(async () => socket.destroy());
		handle(socket);
	}));
}

async function findFreePort(): Promise<number> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
}

const direct: LinkRoute = {type: 'direct'};

async function startServer(upstreamPort: number, route: LinkRoute = direct, scope: LinkScope = 'group'): Promise<{readonly server: TunnelServer; readonly offer: OpenTunnelOffer}> {
	const server = new TunnelServer({
		address: {host: '127.0.0.1', port: await findFreePort()},
		log,
		now: () => performance.now(),
		findUpstream: id => id === 'e' ? {id, address: {host: '127.0.0.1', port: upstreamPort}} as unknown as GatewayUpstream : undefined,
		findRoute: () => route,
		findSoundScope: async () => scope,
		onAbsent: () => undefined,
		onResult: () => undefined,
	});
	await server.listen();
	disposables.push(async () => server[Symbol.asyncDispose]());
	return {server, offer: server.createOffer('h') as OpenTunnelOffer};
}

async function open(offer: OpenTunnelOffer, upstream = 'e'): Promise<TunnelResult> {
	return openTunnel(offer, {id: 'h.t1', from: 'h', upstream}, new AbortController().signal);
}

async function openConnected(offer: OpenTunnelOffer): Promise<Socket> {
	const result = await open(offer);
	if (result.type !== 'connected') {
		throw new Error(`no tunnel: ${JSON.stringify(result)}`);
	}

	disposables.push(async () => result.socket.destroy());
	return result.socket;
}

/** Asks how the tunnel ended that `openConnected` has opened. */
async function askEnd(offer: OpenTunnelOffer): Promise<StatedEnd> {
	return askTunnelEnd(offer, {id: 'h.t1', from: 'h', upstream: 'e'});
}

describe('the host that carries a tunnel', () => {
	it.each([
		['proper', 'end', 'none'],
		['broken', 'resetAndDestroy', 'group'],
		['doubtful', 'resetAndDestroy', 'none'],
	] as const)('states that its end was %s', async (expected, method, scope) => {
		const upstreams: Socket[] = [];
		const {offer} = await startServer(await startUpstream(socket => {
			upstreams.push(socket);
		}), direct, scope);
		const socket = await openConnected(offer);
		socket.write('go');
		await expect.poll(() => upstreams.length).toBe(1);
		expect(await askEnd(offer)).toBe('open');
		socket.on('error', () => undefined).resume();
		upstreams[0]![method]();
		await expect.poll(() => socket.closed).toBe(true);
		expect(await askEnd(offer)).toBe(expected);
	});

	it('does not say that a connection is open which it does not read', async () => {
		const {offer} = await startServer(await startUpstream(socket => {
			socket.once('data', () => {
				socket.write(Buffer.alloc(20_000_000));
			});
		}));
		const socket = await openConnected(offer);
		socket.pause();
		socket.write('go');
		await expect.poll(async () => askEnd(offer)).toBe('unknown');
	});

	it('does not know tunnels of other hosts or of an earlier process', async () => {
		const {server, offer} = await startServer(await startUpstream(() => undefined));
		await openConnected(offer);
		const other = server.createOffer('g') as OpenTunnelOffer;
		expect(await askTunnelEnd(other, {id: 'h.t1', from: 'g', upstream: 'e'})).toBe('unknown');
		expect(await askTunnelEnd(other, {id: 'h.t1', from: 'h', upstream: 'e'})).toBe('none');
	});

	it('states nothing once its process is gone', async () => {
		const {server, offer} = await startServer(await startUpstream(() => undefined));
		await openConnected(offer);
		await server[Symbol.asyncDispose]();
		expect(await askEnd(offer)).toBe('none');
	});

	it('is known to run though an earlier release answers the question as a request for a tunnel', async () => {
		const port = await listen(createServer(socket => {
			socket.on('error', () => undefined).once('data', () => {
				socket.write(encodeTunnelMessage({type: 'connected', tunnels: 1}));
			});
		}));
		expect(await askEnd({
			type: 'open', host: '127.0.0.1', port, key: new Uint8Array(16),
		})).toBe('unstated');
	});

	it('counts as idle only once hosts have had time to ask how their tunnels ended', async () => {
		const {server, offer} = await startServer(await startUpstream(socket => {
			socket.end();
		}));
		expect(server.isIdle).toBe(true);
		const socket = await openConnected(offer);
		const closed = once(socket, 'close');
		socket.resume();
		await closed;
		await expect.poll(() => server.size).toBe(0);
		expect(server.isIdle).toBe(false);
		await expect.poll(() => server.isIdle).toBe(true);
	});
});

describe('a tunnel', () => {
	it('carries bytes both ways, and both hosts log it under one id', async () => {
		const {offer} = await startServer(await startUpstream(socket => {
			socket.on('data', chunk => {
				socket.write(`echo ${String(chunk)}`);
			});
		}));
		const socket = await openConnected(offer);
		socket.write('hello');
		const [chunk] = await once(socket, 'data') as [Buffer];
		expect(chunk.toString()).toBe('echo hello');
		expect(lines).toMatchObject([{
			event: 'tunnel-served', tunnel: 'h.t1', peer: 'h', upstream: 'e',
		}]);
	});

	it.each([
		['properly', 'end'],
		['by a reset', 'resetAndDestroy'],
	] as const)('ends %s as the upstream does, after all of its bytes', async (name, method) => {
		const size = 1_000_000;
		const {offer} = await startServer(await startUpstream(socket => {
			socket.once('data', () => {
				socket.write(Buffer.alloc(size), () => {
					setTimeout(() => {
						socket[method]();
					}, 100);
				});
			});
		}));
		const socket = await openConnected(offer);
		let received = 0;
		let isReset = false;
		socket.on('data', (chunk: Buffer) => {
			received += chunk.length;
		}).on('error', () => {
			isReset = true;
		}).prependOnceListener('end', () => {
			socket.write('\r\n');
		});
		socket.write('go');
		await new Promise(resolve => {
			socket.once('close', resolve);
		});
		expect([received, isReset]).toEqual([size, name === 'by a reset']);
	});

	it('ends by a reset that comes together with the last bytes, each time', async () => {
		const {offer} = await startServer(await startUpstream(socket => {
			socket.once('data', () => {
				socket.write('answe');
				socket.resetAndDestroy();
			});
		}));
		for (let turn = 0; turn < 40; turn++) {
			const socket = await openConnected(offer);
			let isReset = false;
			socket.resume().on('error', () => {
				isReset = true;
			}).prependOnceListener('end', () => {
				socket.write('\r\n');
			});
			socket.write('go');
			await new Promise(resolve => {
				socket.once('close', resolve);
			});
			expect(isReset).toBe(true);
		}
	});

	it('closes the connection to the upstream when its host closes it', async () => {
		const upstreamSockets: Socket[] = [];
		const {offer} = await startServer(await startUpstream(upstreamSocket => {
			upstreamSockets.push(upstreamSocket);
		}));
		const socket = await openConnected(offer);
		await expect.poll(() => upstreamSockets.length).toBe(1);
		const closed = once(upstreamSockets[0]!.resume(), 'close');
		socket.destroy();
		await closed;
	});

	it('holds only a little of what its host doesn\'t read', async () => {
		let written = 0;
		const {offer} = await startServer(await startUpstream(socket => {
			const write = () => {
				let isFull = false;
				while (!isFull) {
					written += 65_536;
					isFull = !socket.write(Buffer.alloc(65_536));
				}
			};

			socket.on('drain', write);
			socket.once('data', write);
		}));
		const socket = await openConnected(offer);
		socket.pause();
		socket.write('go');
		let before = -1;
		await expect.poll(() => {
			const isStill = written === before && written > 0;
			before = written;
			return isStill;
		}, {interval: 300, timeout: 5000}).toBe(true);
		expect(process.memoryUsage().arrayBuffers).toBeLessThan(50_000_000);
	});
});

describe('a tunnel is refused', () => {
	it('to an upstream that isn\'t registered', async () => {
		const {offer} = await startServer(1);
		expect(await open(offer, 'other')).toEqual({type: 'refused', reason: 'unknown'});
	});

	it('to an upstream that this host reaches over a tunnel only: none leads through a third host', async () => {
		const {offer} = await startServer(await startUpstream(() => undefined), {type: 'tunnel', fault: 'silent', isShown: true});
		expect(await open(offer)).toEqual({type: 'refused', reason: 'cut'});
	});

	it('to an upstream that refuses connections', async () => {
		const {offer} = await startServer(await findFreePort());
		expect(await open(offer)).toEqual({type: 'absent', failure: 'refused', scope: 'group'});
	});

	it('by a host that is about to stop', async () => {
		const {server, offer} = await startServer(await startUpstream(() => undefined));
		server.leave();
		expect(server.createOffer('h')).toEqual({type: 'closed'});
		expect(await open(offer)).toEqual({type: 'refused', reason: 'leaving'});
	});

	it('without the key of the offer, or for bytes that are no request', async () => {
		let connections = 0;
		const {offer} = await startServer(await startUpstream(() => {
			connections++;
		}));
		expect(await open({...offer, key: Buffer.alloc(16)})).toMatchObject({type: 'unreachable'});
		const stranger = connect(offer.port, offer.host);
		stranger.on('error', () => undefined);
		stranger.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
		await new Promise(resolve => {
			stranger.once('close', resolve);
		});
		expect(connections).toBe(0);
		expect(lines.filter(({event}) => event === 'tunnel-invalid')).toHaveLength(1);
	});
});

describe('the search for a tunnel', () => {
	const createPeers = (changes: Partial<TunnelPeersOptions> = {}) => new TunnelPeers({
		host: 'h',
		failureDomain: 'a',
		incarnation: 'h.1',
		log,
		now: () => performance.now(),
		listLostGroups: () => [],
		listUnlinkedHosts: () => [],
		dial: () => undefined,
		release: () => undefined,
		onWay: () => undefined,
		...changes,
	});
	const upstream = {id: 'e', service: 's', failureDomain: 'b'};
	const createHost = (name: string, failureDomain: string) => ({name, failureDomain, address: {host: '127.0.0.1', port: 1}}) as unknown as Host;

	it('goes on to another host after one that is cut, gone or silent', async () => {
		const port = await startUpstream(() => undefined);
		const cut = await startServer(port, {type: 'tunnel', fault: 'silent', isShown: true});
		const sound = await startServer(port);
		const silent = await startUpstream(() => undefined);
		for (let turn = 0; turn < 6; turn++) {
			const peers = createPeers();
			peers.applyOffer(createHost('cut', 'a'), cut.offer);
			peers.applyOffer(createHost('silent', 'a'), {...sound.offer, port: silent});
			peers.applyOffer(createHost('gone', 'b'), {...sound.offer, port: await findFreePort()});
			peers.applyOffer(createHost('sound', 'c'), sound.offer);
			const search = await peers.search(upstream, new AbortController().signal);
			expect(search).toMatchObject({type: 'connected', peer: 'sound'});
			if (search.type === 'connected') {
				search.result.socket.destroy();
			}
		}
	});

	it('ends when hosts of two failure domains couldn\'t connect either', async () => {
		const gone = await startServer(await findFreePort());
		const peers = createPeers();
		for (const [name, domain] of [['x', 'a'], ['y', 'b'], ['z', 'c']] as const) {
			peers.applyOffer(createHost(name, domain), gone.offer);
		}

		expect(await peers.search(upstream, new AbortController().signal)).toEqual({type: 'absent', failure: 'refused'});
		expect(lines.filter(({event}) => event === 'tunnel-refused')).toHaveLength(2);
	});

	it('asks nothing at an address that isn\'t that of the host that offers it', async () => {
		let connections = 0;
		const port = await startUpstream(() => {
			connections++;
		});
		const {offer} = await startServer(port);
		const peers = createPeers();
		expect(peers.applyOffer(createHost('false', 'a'), {...offer, host: 'localhost', port})).toBe(false);
		expect(lines).toMatchObject([{event: 'tunnel-offer-ignored', peer: 'false'}]);
		expect(await peers.search(upstream, new AbortController().signal)).toEqual({type: 'none'});
		expect(connections).toBe(0);
	});

	it('asks no host whose offer is invalid, withdrawn, or no longer linked', async () => {
		const {offer} = await startServer(await startUpstream(() => undefined));
		const peers = createPeers();
		expect(peers.applyOffer(createHost('odd', 'a'), {type: 'open', host: 'x'})).toBe(false);
		expect(lines).toMatchObject([{event: 'tunnel-offer-ignored', peer: 'odd'}]);
		peers.applyOffer(createHost('stopping', 'a'), offer);
		expect(peers.applyOffer(createHost('stopping', 'a'), {type: 'closed'})).toBe(true);
		peers.applyOffer(createHost('lost', 'a'), offer);
		peers.remove('lost');
		expect(peers.isAvailable).toBe(false);
		expect(await peers.search(upstream, new AbortController().signal)).toEqual({type: 'none'});
	});
});

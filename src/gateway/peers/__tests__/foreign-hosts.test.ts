/** Connections to and from hosts of another fleet, and to and from processes that send no valid handshake. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createConnection, createServer, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect, it} from 'vitest';
import {claimWorkerPort} from '../../../../bench/fleet/ports.js';
import {type GatewayUpstream} from '../../../core/gateway/types.js';
import {ignore} from '../../../entry/ignore.js';
import {FleetView} from '../fleet-view.js';
import {ForeignHosts} from '../foreign-hosts.js';
import {type Identification} from '../gatekeeper.js';
import {
	createMessageReader, encode, type Hello, type Host, type Message,
} from '../messages.js';
import {Peers} from '../peers.js';

const loopback = '127.0.0.1';
const maxPendingLinks = 512;
const handshakeTimeoutMs = 3000;

type Line = Readonly<Record<string, unknown>>;

function createHost(name: string, port: number): Host {
	return {
		name, failureDomain: 'a', address: {host: loopback, port}, started: 1,
	};
}

function createUpstream(id: string, port: number): GatewayUpstream {
	return {
		id, service: 'plain', address: {host: loopback, port}, failureDomain: 'a', slots: 1, isDraining: false,
	};
}

/** Identifies hosts of a fleet by its store and its upstreams, which have the same ids in all fleets. */
function identifyFleet(number: number): Identification {
	const all = ['u1', 'u2', 'u3'].map((id, index) => createUpstream(id, (1000 * number) + index));
	return {type: 'knowledge', view: new FleetView({host: loopback, port: number}, () => ({all, changeCount: 0}))};
}

const keyed: Identification = {type: 'keys', keys: ['a key of 16 characters or more']};

class TestHost implements AsyncDisposable {
	readonly lines: Line[] = [];
	readonly messages: Message[] = [];
	readonly peers: Peers;
	readonly port: number;

	constructor(name: string, port: number, seeds: readonly number[], identification: Identification) {
		this.port = port;
		this.peers = new Peers({
			self: createHost(name, port),
			seeds: seeds.map(seed => ({host: loopback, port: seed})),
			identification,
			log: {
				write: line => {
					this.lines.push(line);
				},
			},
			now: () => performance.now(),
			events: {
				joined: ignore,
				message: (_, message) => {
					this.messages.push(message);
				},
				lost: ignore,
			},
		});
	}

	findLines(event: string): readonly Line[] {
		return this.lines.filter(line => line.event === event);
	}

	async connect(): Promise<RawPeer> {
		const socket = createConnection({host: loopback, port: this.port});
		await once(socket, 'connect');
		return new RawPeer(socket);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.peers[Symbol.asyncDispose]();
	}
}

/** A connection over which a test sends what it likes. */
class RawPeer implements Disposable {
	readonly socket: Socket;
	readonly received: Message[] = [];
	readonly #reader = createMessageReader();

	constructor(socket: Socket) {
		this.socket = socket;
		socket.on('error', ignore);
		socket.on('data', chunk => {
			this.received.push(...this.#reader.push(chunk));
		});
	}

	get isClosed(): boolean {
		return this.socket.destroyed || this.socket.readableEnded;
	}

	[Symbol.dispose](): void {
		this.socket.destroy();
	}
}

async function startHost(name: string, seeds: readonly number[], identification: Identification, port?: number): Promise<TestHost> {
	const host = new TestHost(name, port ?? await claimWorkerPort(), seeds, identification);
	await host.peers.start();
	return host;
}

function createHello(changes: Partial<Hello> = {}): Hello {
	return {
		type: 'hello', from: createHost('raw', 1), known: [], ...changes,
	};
}

it('a foreign seed is told, logged once, dialled rarely and part of nothing', {timeout: 20_000}, async () => {
	await using other = await startHost('same-name', [], identifyFleet(2));
	await using host = await startHost('same-name', [other.port], identifyFleet(1));
	await sleep(3800);
	for (const {peers, lines} of [host, other]) {
		expect([peers.hosts, peers.fleetSize, peers.listDomainHosts('a'), peers.relays]).toEqual([[], 1, [], ['same-name']]);
		expect(lines.map(({event, code}) => [event, code])).toEqual([['peer-foreign', 8005]]);
	}

	// Dialled at 0, 1 and 3 s.
	const refusals = host.peers.refusals.get('foreign')!;
	expect(refusals).toBeGreaterThanOrEqual(2);
	expect(refusals).toBeLessThanOrEqual(6);
});

it('never dials an address that a foreign host named, and believes none of its messages', {timeout: 20_000}, async () => {
	let connections = 0;
	const named = createServer(socket => {
		connections++;
		socket.destroy();
	});
	const namedPort = await claimWorkerPort();
	named.listen(namedPort, loopback);
	await using host = await startHost('host', [], identifyFleet(1));
	using foreign = await host.connect();
	const known = [createHost('named', namedPort)];
	foreign.socket.write(Buffer.concat([
		encode(createHello({known, fleet: {stores: [7], upstreams: [1, 2, 3]}})),
		encode({type: 'heartbeat', known}),
		encode({type: 'hosts-lost', hosts: ['host']}),
	]));
	await expect.poll(() => foreign.isClosed, {timeout: 3000}).toBe(true);
	await sleep(700);
	expect([connections, host.messages, host.peers.fleetSize]).toEqual([0, [], 1]);
	expect(foreign.received.at(-1)).toEqual({type: 'foreign', code: 8005});
	named.close();
});

it('accepts a host that sends no identity where no key is set, and refuses it where one is', {timeout: 20_000}, async () => {
	await using open = await startHost('open', [], identifyFleet(1));
	using accepted = await open.connect();
	accepted.socket.write(encode(createHello()));
	await expect.poll(() => open.peers.hosts.map(({name}) => name)).toEqual(['raw']);
	await using closed = await startHost('closed', [], keyed);
	using refused = await closed.connect();
	refused.socket.write(encode(createHello()));
	await expect.poll(() => refused.isClosed, {timeout: 3000}).toBe(true);
	expect(refused.received.map(({type}) => type)).toEqual(['challenge', 'foreign']);
	expect([closed.peers.hosts, closed.findLines('peer-foreign').length]).toEqual([[], 1]);
});

it.each([
	['too many registrations', {stores: [1], upstreams: Array.from({length: 9}, (_, index) => index)}],
	['a text', 'fleet'],
	['hashes out of range', {stores: [-1], upstreams: []}],
])('closes a link whose identity is invalid: %s', async (_, fleet) => {
	await using host = await startHost('host', [], identifyFleet(1));
	using peer = await host.connect();
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Sends what the type excludes.
	peer.socket.write(encode({...createHello(), fleet} as unknown as Message));
	await expect.poll(() => peer.isClosed, {timeout: 3000}).toBe(true);
	expect(host.findLines('peer-refused').map(({code}) => code)).toEqual([8001]);
	expect(host.peers.hosts).toEqual([]);
});

it('closes handshakes that stay incomplete, also when bytes keep arriving', {timeout: 20_000}, async () => {
	for (const identification of [identifyFleet(1), keyed]) {
		await using host = await startHost('host', [], identification);
		using silent = await host.connect();
		using slow = await host.connect();
		slow.socket.write(Uint8Array.of(0, 0, 0, 100));
		const timer = setInterval(() => {
			slow.socket.write(Uint8Array.of(0));
		}, 100);
		await expect.poll(() => [silent.isClosed, slow.isClosed], {timeout: handshakeTimeoutMs}).toEqual([true, true]);
		clearInterval(timer);
	}
});

it('reads no large message before a peer is authenticated', async () => {
	await using host = await startHost('host', [], keyed);
	using peer = await host.connect();
	peer.socket.write(Uint8Array.of(0, 0, 1, 0));
	await expect.poll(() => peer.isClosed, {timeout: 1500}).toBe(true);
	expect(host.peers.refusals.get('foreign')).toBe(1);
});

it('bounds the connections in their handshake, and links hosts again once these have timed out', {timeout: 40_000}, async () => {
	await using host = await startHost('host', [], keyed);
	const sockets = Array.from({length: maxPendingLinks + 40}, () => createConnection({host: loopback, port: host.port}));
	for (const socket of sockets) {
		socket.on('error', ignore);
		socket.resume();
	}

	await expect.poll(() => host.peers.refusals.get('too many'), {timeout: 10_000}).toBe(40);
	expect(host.findLines('peer-refused')).toHaveLength(1);
	await using joining = await startHost('joining', [host.port], keyed);
	await expect.poll(() => joining.peers.hosts.length, {timeout: 10_000}).toBe(1);
	for (const socket of sockets) {
		socket.destroy();
	}
});

it('forgets a host whose address was given to a host of another fleet', {timeout: 20_000}, async () => {
	await using host = await startHost('host', [], identifyFleet(1));
	const port = await claimWorkerPort();
	const former = await startHost('former', [host.port], identifyFleet(1), port);
	await expect.poll(() => host.peers.listDomainHosts('a')).toEqual(['former']);
	await former[Symbol.asyncDispose]();
	await using successor = await startHost('successor', [], identifyFleet(2), port);
	await expect.poll(() => host.peers.refusals.get('foreign'), {timeout: 8000}).toBeGreaterThan(0);
	expect([host.peers.hosts, host.peers.listDomainHosts('a'), successor.peers.hosts]).toEqual([[], [], []]);
});

it('links hosts whose keys changed while they ran', {timeout: 20_000}, async () => {
	await using host = await startHost('host', [], keyed);
	await using joining = await startHost('joining', [host.port], {type: 'keys', keys: ['the next key of the fleet']});
	await expect.poll(() => host.peers.refusals.get('foreign')).toBeGreaterThan(0);
	host.peers.updateKeys(['a key of 16 characters or more', 'the next key of the fleet']);
	await expect.poll(() => joining.peers.hosts.length, {timeout: 8000}).toBe(1);
});

it('logs each address once a minute, and remembers a bounded number of them', () => {
	const lines: Line[] = [];
	let now = 0;
	const foreignHosts = new ForeignHosts({
		write(line) {
			lines.push(line);
		},
	}, () => now);
	const record = (address: string) => {
		foreignHosts.record({
			reason: 'foreign', address, own: 'a', peer: 'b',
		});
	};

	for (now = 0; now < 120_000; now += 1000) {
		record('h:1');
	}

	expect(lines).toHaveLength(2);
	for (let index = 0; index < 5000; index++) {
		record(`attacker:${index}`);
	}

	expect(lines.length).toBeLessThanOrEqual(2 + 256);
	expect(foreignHosts.counts.get('foreign')).toBe(120 + 5000);
});

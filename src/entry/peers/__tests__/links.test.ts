import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import {describe, expect, it} from 'vitest';
import {type Hello} from '../connection.js';
import {Links, type LinkEvent} from '../links.js';
import {encodeFrame, createMessageReader} from '../../../protocol/peers.js';

function createHello(host: string, started: number, port = 1): Hello {
	return {
		type: 'hello',
		member: {
			incarnation: {host, started},
			failureDomain: 'a',
			peerAddress: {host: '127.0.0.1', port},
			callerAddress: {host: '127.0.0.1', port: 2},
		},
		phase: 'serving',
		revision: 0,
	};
}

class TestHost implements AsyncDisposable {
	static async open(host: string, started = 1): Promise<TestHost> {
		const events: LinkEvent[] = [];
		const reasons: string[] = [];
		const links = await Links.listen({
			listen: {host: '127.0.0.1', port: 0},
			hello: () => createHello(host, started),
			emit(event) {
				events.push(event);
			},
			report(_host, reason) {
				reasons.push(reason);
			},
		});
		return new TestHost(host, links, events, reasons);
	}

	readonly host: string;
	readonly links: Links;
	readonly events: LinkEvent[];
	readonly reasons: string[];

	private constructor(host: string, links: Links, events: LinkEvent[], reasons: string[]) {
		this.host = host;
		this.links = links;
		this.events = events;
		this.reasons = reasons;
	}

	get address() {
		return {host: '127.0.0.1', port: this.links.port};
	}

	dial(other: TestHost) {
		this.links.connect(other.host, other.address);
	}

	messages(): readonly string[] {
		return this.events.flatMap(event => event.type === 'peer-message' && event.message.type === 'seal' ? [event.message.id] : []);
	}

	async [Symbol.asyncDispose]() {
		await this.links[Symbol.asyncDispose]();
	}
}

function createSeal(id: string) {
	return {
		type: 'seal', id, right: 't/1', expires: 1, keeper: {host: 'a', started: 1},
	} as const;
}

async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}
}

function ignore() {
	// These tests don't check the events.
}

function countEvents(end: TestHost, type: LinkEvent['type']): number {
	return end.events.filter(event => event.type === type).length;
}

describe('links', () => {
	it('exchanges hellos and delivers messages in order', async () => {
		await using a = await TestHost.open('a');
		await using b = await TestHost.open('b');
		a.dial(b);
		await waitUntil(() => a.links.count === 1 && b.links.count === 1);
		expect(a.events.slice(0, 2).map(event => event.type)).toEqual(['peer-connected', 'peer-message']);
		for (const id of ['1', '2', '3']) {
			a.links.send('b', createSeal(id));
		}

		await waitUntil(() => b.messages().length === 3);
		expect(b.messages()).toEqual(['1', '2', '3']);
		expect(b.links.traffic.received).toBe(a.links.traffic.sent);
	});

	it('keeps one link when both hosts dial at the same time, without losing messages', async () => {
		for (let round = 0; round < 10; round++) {
			await using a = await TestHost.open('a');
			await using b = await TestHost.open('b');
			a.dial(b);
			b.dial(a);
			await waitUntil(() => a.links.count === 1 && b.links.count === 1);
			let sent = 0;
			for (let index = 0; index < 50; index++) {
				sent += a.links.send('b', createSeal(String(index))) ? 1 : 0;
				await new Promise(resolve => {
					setImmediate(resolve);
				});
			}

			await waitUntil(() => b.messages().length === sent);
			expect([countEvents(a, 'peer-connected'), countEvents(b, 'peer-connected')]).toEqual([1, 1]);
			expect([countEvents(a, 'peer-lost'), countEvents(b, 'peer-lost')]).toEqual([0, 0]);
		}
	});

	it('redials a lost host until it is disconnected', async () => {
		await using a = await TestHost.open('a');
		const first = await TestHost.open('b');
		a.dial(first);
		await waitUntil(() => a.links.count === 1);
		const {port} = first.links;
		await first[Symbol.asyncDispose]();
		await waitUntil(() => countEvents(a, 'peer-lost') === 1);
		await using restarted = await Links.listen({listen: {host: '127.0.0.1', port}, hello: () => createHello('b', 2), emit: ignore});
		await waitUntil(() => a.links.count === 1);
		a.links.disconnect('b');
		await waitUntil(() => a.links.count === 0 && restarted.count === 0);
		expect(countEvents(a, 'peer-connected')).toBe(2);
	});

	it('refuses an older incarnation and lets a newer one take over', async () => {
		await using a = await TestHost.open('a');
		await using current = await TestHost.open('b', 5);
		await using stale = await TestHost.open('b', 4);
		await using newer = await TestHost.open('b', 6);
		current.dial(a);
		await waitUntil(() => a.links.count === 1);
		stale.dial(a);
		await waitUntil(() => a.reasons.includes('an older incarnation'));
		expect(countEvents(a, 'peer-lost')).toBe(0);
		newer.dial(a);
		await waitUntil(() => countEvents(a, 'peer-connected') === 2);
		expect(countEvents(a, 'peer-lost')).toBe(1);
	});

	it('reports another host at the dialled address without linking it', async () => {
		await using a = await TestHost.open('a');
		await using c = await TestHost.open('c');
		a.links.connect('b', c.address);
		await waitUntil(() => a.events.length > 0);
		expect(a.events[0]).toMatchObject({type: 'peer-message', from: 'c', message: {type: 'hello'}});
		expect(a.links.count).toBe(0);
	});

	it.each([
		['bytes that are not CBOR', Buffer.from([0, 0, 0, 2, 0xFF, 0xFF])],
		['a message that is too long', Buffer.from([0xFF, 0xFF, 0xFF, 0xFF])],
		['an unknown message', Buffer.from([0, 0, 0, 1, 0xA0])],
		['a first message other than a hello', Buffer.from(encodeFrame(createSeal('1')))],
	])('closes a connection that sends %s', async (_name, bytes) => {
		await using a = await TestHost.open('a');
		const socket = connect(a.links.port, '127.0.0.1');
		socket.resume();
		socket.write(bytes);
		await once(socket, 'close');
		expect(a.reasons).toHaveLength(1);
		expect(a.events).toEqual([]);
	});
});

describe('frames', () => {
	it('are decoded the same way wherever the stream is split', () => {
		const stream = Buffer.concat([
			encodeFrame(createHello('a', 1)),
			encodeFrame(createSeal('1')),
			encodeFrame({type: 'configuration', text: 'x'.repeat(70_000)}),
		]);
		for (const size of [1, 3, 1000, stream.length]) {
			const reader = createMessageReader();
			const messages = [];
			for (let from = 0; from < stream.length; from += size) {
				messages.push(...reader.push(stream.subarray(from, from + size)));
			}

			expect(messages.map(message => message.type)).toEqual(['hello', 'seal', 'configuration']);
		}
	});
});

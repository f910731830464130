import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import {describe, expect, it} from 'vitest';
import {type Hello} from '../connection.js';
import {Links, type LinkEvent} from '../links.js';
import {encodeFrame, messageReader} from '../../../protocol/peers.js';

function helloOf(host: string, started: number, port = 1): Hello {
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

class End implements AsyncDisposable {
	static async open(host: string, started = 1): Promise<End> {
		const events: LinkEvent[] = [];
		const reasons: string[] = [];
		const links = await Links.listen({
			listen: {host: '127.0.0.1', port: 0},
			hello: () => helloOf(host, started),
			emit(event) {
				events.push(event);
			},
			report(_host, reason) {
				reasons.push(reason);
			},
		});
		return new End(host, links, events, reasons);
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

	dial(other: End) {
		this.links.connect(other.host, other.address);
	}

	messages(): readonly string[] {
		return this.events.flatMap(event => event.type === 'peer-message' && event.message.type === 'seal' ? [event.message.id] : []);
	}

	async [Symbol.asyncDispose]() {
		await this.links[Symbol.asyncDispose]();
	}
}

function seal(id: string) {
	return {
		type: 'seal', id, right: 't/1', expires: 1, keeper: {host: 'a', started: 1},
	} as const;
}

async function until(holds: () => boolean): Promise<void> {
	while (!holds()) {
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}
}

function ignore() {
	// Not looked at.
}

function count(end: End, type: LinkEvent['type']): number {
	return end.events.filter(event => event.type === type).length;
}

describe('links', () => {
	it('greets both ways and carries messages in order', async () => {
		await using a = await End.open('a');
		await using b = await End.open('b');
		a.dial(b);
		await until(() => a.links.count === 1 && b.links.count === 1);
		expect(a.events.slice(0, 2).map(event => event.type)).toEqual(['peer-connected', 'peer-message']);
		for (const id of ['1', '2', '3']) {
			a.links.send('b', seal(id));
		}

		await until(() => b.messages().length === 3);
		expect(b.messages()).toEqual(['1', '2', '3']);
		expect(b.links.traffic.received).toBe(a.links.traffic.sent);
	});

	it('keeps one link when both dial at once, and loses nothing sent meanwhile', async () => {
		for (let round = 0; round < 10; round++) {
			await using a = await End.open('a');
			await using b = await End.open('b');
			a.dial(b);
			b.dial(a);
			await until(() => a.links.count === 1 && b.links.count === 1);
			let sent = 0;
			for (let index = 0; index < 50; index++) {
				sent += a.links.send('b', seal(String(index))) ? 1 : 0;
				await new Promise(resolve => {
					setImmediate(resolve);
				});
			}

			await until(() => b.messages().length === sent);
			expect([count(a, 'peer-connected'), count(b, 'peer-connected')]).toEqual([1, 1]);
			expect([count(a, 'peer-lost'), count(b, 'peer-lost')]).toEqual([0, 0]);
		}
	});

	it('dials again after a loss until it is told to stop', async () => {
		await using a = await End.open('a');
		const first = await End.open('b');
		a.dial(first);
		await until(() => a.links.count === 1);
		const {port} = first.links;
		await first[Symbol.asyncDispose]();
		await until(() => count(a, 'peer-lost') === 1);
		await using again = await Links.listen({listen: {host: '127.0.0.1', port}, hello: () => helloOf('b', 2), emit: ignore});
		await until(() => a.links.count === 1);
		a.links.disconnect('b');
		await until(() => a.links.count === 0 && again.count === 0);
		expect(count(a, 'peer-connected')).toBe(2);
	});

	it('refuses an older incarnation and lets a newer one take over', async () => {
		await using a = await End.open('a');
		await using current = await End.open('b', 5);
		await using stale = await End.open('b', 4);
		await using newer = await End.open('b', 6);
		current.dial(a);
		await until(() => a.links.count === 1);
		stale.dial(a);
		await until(() => a.reasons.includes('an older incarnation'));
		expect(count(a, 'peer-lost')).toBe(0);
		newer.dial(a);
		await until(() => count(a, 'peer-connected') === 2);
		expect(count(a, 'peer-lost')).toBe(1);
	});

	it('tells of another host at the dialled address without linking it', async () => {
		await using a = await End.open('a');
		await using c = await End.open('c');
		a.links.connect('b', c.address);
		await until(() => a.events.length > 0);
		expect(a.events[0]).toMatchObject({type: 'peer-message', from: 'c', message: {type: 'hello'}});
		expect(a.links.count).toBe(0);
	});

	it.each([
		['what is not CBOR', Buffer.from([0, 0, 0, 2, 0xFF, 0xFF])],
		['a message that is too long', Buffer.from([0xFF, 0xFF, 0xFF, 0xFF])],
		['an unknown message', Buffer.from([0, 0, 0, 1, 0xA0])],
		['a first message that is no hello', Buffer.from(encodeFrame(seal('1')))],
	])('closes a connection that brings %s', async (_name, bytes) => {
		await using a = await End.open('a');
		const socket = connect(a.links.port, '127.0.0.1');
		socket.resume();
		socket.write(bytes);
		await once(socket, 'close');
		expect(a.reasons).toHaveLength(1);
		expect(a.events).toEqual([]);
	});
});

describe('frames', () => {
	it('are read alike however the stream is cut', () => {
		const stream = Buffer.concat([encodeFrame(helloOf('a', 1)), encodeFrame(seal('1')), encodeFrame({type: 'configuration', text: 'x'.repeat(70_000)})]);
		for (const size of [1, 3, 1000, stream.length]) {
			const reader = messageReader();
			const messages = [];
			for (let from = 0; from < stream.length; from += size) {
				messages.push(...reader.push(stream.subarray(from, from + size)));
			}

			expect(messages.map(message => message.type)).toEqual(['hello', 'seal', 'configuration']);
		}
	});
});

/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- The mocks contain only the members that these tests use. */
import {Buffer} from 'node:buffer';
import {EventEmitter} from 'node:events';
import {type ServerResponse} from 'node:http';
import {Readable} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {type Reply} from '../upstreams/attempt.js';
import {GatewayMetrics} from '../metrics.js';
import {CallerResponse} from '../callers/caller-response.js';
import {ResponseBuffer} from '../callers/response-buffer.js';
import {ResponseBuffers} from '../callers/response-buffers.js';
import {forwardEvents, readBody} from '../callers/response-forwarding.js';
import {type RequestTrace} from '../requests/trace.js';

/** A caller that takes bytes only on request. */
// eslint-disable-next-line unicorn/prefer-event-target -- Responses of Node.js are event emitters.
class Caller extends EventEmitter {
	headersSent = false;
	destroyed = false;
	writableEnded = false;
	received = '';
	#pending: (() => void) | undefined;

	writeHead(): void {
		this.headersSent = true;
	}

	write(bytes: Buffer, callback?: () => void): boolean {
		this.received += bytes.toString();
		this.#pending = callback;
		return false;
	}

	/** Takes what has been written to its socket. */
	take(): void {
		const pending = this.#pending;
		this.#pending = undefined;
		pending?.();
	}

	end(): void {
		this.writableEnded = true;
		this.destroy();
	}

	destroy(): void {
		this.destroyed = true;
		this.emit('close');
	}
}

class Fixture {
	now = 0;
	readonly lines: Array<Readonly<Record<string, unknown>>> = [];
	readonly metrics = new GatewayMetrics();
	readonly buffers: ResponseBuffers;

	constructor(budget: number | undefined) {
		this.buffers = new ResponseBuffers({budget, clock: {now: () => this.now}, metrics: this.metrics});
	}

	open(): {readonly caller: Caller; readonly buffer: ResponseBuffer} {
		const caller = new Caller();
		const trace = {
			write: (event: string, fields: Readonly<Record<string, unknown>>) => {
				this.lines.push({event, ...fields});
			},
		} as unknown as RequestTrace;
		return {caller, buffer: new ResponseBuffer(caller as unknown as ServerResponse, this.buffers, trace)};
	}
}

function createReply(chunks: Iterable<Buffer>, status = 200, signal?: AbortSignal): Reply {
	return {
		type: 'reply', status, rawHeaders: [], body: Readable.from(chunks), signal, isComplete: async () => true,
	} as unknown as Reply;
}

const noObserver = {
	yielding: undefined, maxEventBytes: 1_000_000, maxBodyBytes: 100_000_000, leads: () => true, onEvents: () => undefined, onComplete: () => undefined, stopped: () => undefined, resumed: () => undefined,
};

describe('a stream whose caller doesn\'t read', () => {
	// Guards against an unread upstream while there is memory.
	it('is read to its end within the budget, and sent unchanged once the caller reads', async () => {
		const fixture = new Fixture(1_000_000);
		const {caller, buffer} = fixture.open();
		const events = Array.from({length: 50}, (_, index) => `id: ${index}\ndata: ${'x'.repeat(5000)}\n\n`);
		const ending = await forwardEvents(buffer, createReply(events.map(event => Buffer.from(event))), noObserver);
		expect(ending).toEqual({type: 'answered', status: 200});
		expect(fixture.buffers.held).toBeGreaterThan(events.join('').length);
		buffer.finish();
		while (!caller.destroyed) {
			caller.take();
		}

		expect(caller.received).toBe(events.join(''));
		expect(fixture.buffers.held).toBe(0);
		expect(fixture.lines).toEqual([]);
	});

	// Guards against a heap that fills with buffers of a few bytes each, whose overhead exceeds the budget.
	it('takes little more memory than its bytes if its events are small, and is sent unchanged', async () => {
		const fixture = new Fixture(1_000_000);
		const {caller, buffer} = fixture.open();
		const events = Array.from({length: 10_000}, (_, index) => `id: ${index}\n\n`);
		for (const [index, event] of events.entries()) {
			await buffer.write([Buffer.from(event)]);
			if (index % 1000 === 50) {
				caller.take();
			}
		}

		expect(fixture.buffers.held).toBeLessThan((events.join('').length * 1.5) + (64 * 256));
		buffer.finish();
		while (!caller.destroyed) {
			caller.take();
		}

		expect(caller.received).toBe(events.join(''));
		expect(fixture.buffers.held).toBe(0);
	});

	it('stops being read at the limit, tells whoever watches the upstream, and goes on once the caller reads', async () => {
		const fixture = new Fixture(100_000);
		const {caller, buffer} = fixture.open();
		const notices: string[] = [];
		const event = `data: ${'x'.repeat(20_000)}\n\n`;
		const forwarded = forwardEvents(buffer, createReply(Array.from({length: 10}, () => Buffer.from(event))), {
			...noObserver,
			stopped() {
				notices.push('stopped');
			},
			resumed() {
				notices.push('resumed');
			},
		});
		await expect.poll(() => notices).toEqual(['stopped']);
		expect(fixture.buffers.held).toBeLessThanOrEqual(100_000);
		expect(fixture.buffers.stoppedCount).toBe(1);
		expect(fixture.lines).toMatchObject([{
			event: 'response-stopped', bytes: fixture.buffers.held, held: fixture.buffers.held, budget: 100_000,
		}]);
		const timer = setInterval(() => {
			caller.take();
		}, 1);
		await expect(forwarded).resolves.toMatchObject({type: 'answered'});
		clearInterval(timer);
		expect(notices.at(-1)).toBe('resumed');
		expect(fixture.lines.length).toBe(1);
	});

	it('lets an attempt that another one has replaced end at once, and the other one go on', {timeout: 5000}, async () => {
		const fixture = new Fixture(100_000);
		const {caller, buffer} = fixture.open();
		const event = Buffer.from(`data: ${'x'.repeat(20_000)}\n\n`);
		const cancellation = new AbortController();
		const replies = [createReply(Array.from({length: 10}, () => event), 200, cancellation.signal), createReply([event, event])];
		let leader = 0;
		const forward = async (index: number) => forwardEvents(buffer, replies[index]!, {...noObserver, leads: () => index === leader});
		const replaced = forward(0);
		await expect.poll(() => fixture.buffers.stoppedCount).toBe(1);
		leader = 1;
		const kept = forward(1);
		await expect.poll(() => replies[1]!.body.readableDidRead).toBe(true);
		cancellation.abort();
		replies[0]!.body.destroy(new Error('aborted'));
		await expect(replaced).resolves.toMatchObject({type: 'unknown'});
		const timer = setInterval(() => {
			caller.take();
		}, 1);
		await expect(kept).resolves.toMatchObject({type: 'answered'});
		clearInterval(timer);
		expect(fixture.buffers.stoppedCount).toBe(0);
	});

	it('is not continued by another attempt once all of it has arrived', async () => {
		const fixture = new Fixture(1_000_000);
		const caller = new Caller();
		const trace = {noteEvents: () => undefined} as unknown as RequestTrace;
		const response = new CallerResponse(caller as unknown as ServerResponse, trace, () => 0, fixture.buffers);
		const reply = createReply([Buffer.from('id: 1\ndata: x\n\n'), Buffer.from('id: 2\ndata: y\n\n')]);
		Object.assign(reply.body, {headers: {'content-type': 'text/event-stream'}});
		const couldContinue: boolean[] = [];
		const ending = await response.forward({...reply, verdict: {type: 'stream'}}, {
			...noObserver,
			began: () => undefined,
			receivedEvents() {
				couldContinue.push(response.canContinue);
			},
		});
		expect(ending).toMatchObject({type: 'answered'});
		expect(couldContinue).toEqual([true, true]);
		expect([caller.destroyed, response.canContinue, response.lastEventId]).toEqual([false, false, '2']);
	});

	it('frees its bytes and stops waiting when its caller leaves', async () => {
		const fixture = new Fixture(10_000);
		const {caller, buffer} = fixture.open();
		const written = buffer.write([Buffer.alloc(9000)]);
		caller.destroy();
		await written;
		expect([fixture.buffers.held, fixture.buffers.stoppedCount]).toEqual([0, 0]);
	});

	it('is cut off for lack of space only as the largest and slowest', async () => {
		const fixture = new Fixture(100_000);
		const [large, small] = [fixture.open(), fixture.open()];
		for (const {caller} of [large, small]) {
			caller.headersSent = true;
		}

		const written = large.buffer.write([Buffer.alloc(90_000)]);
		fixture.now = 1000;
		await small.buffer.write([Buffer.alloc(20_000)]);
		await written;
		expect([large.caller.destroyed, small.caller.destroyed]).toEqual([true, false]);
		expect(fixture.lines.find(({event}) => event === 'response-ended')).toMatchObject({reason: 'space', bytes: 90_256, stalledFor: 1000});
		expect(await fixture.metrics.text()).toContain('cranberrytide_responses_ended_total{reason="space"} 1');
	});

	it('ends at the deadline if nothing of its complete answer is read, and not while it is read', async () => {
		const fixture = new Fixture(1_000_000);
		const {caller, buffer} = fixture.open();
		buffer.finish([Buffer.alloc(1000)]);
		fixture.now = 5000;
		await buffer.delivered(() => 0);
		expect(caller.destroyed).toBe(false);
		expect(fixture.lines).toMatchObject([{event: 'response-ended', reason: 'stalled', bytes: 1256}]);
	});
});

describe('a body that has not begun', () => {
	it('is passed on as it arrives while memory is short, so that its caller takes it', async () => {
		const fixture = new Fixture(100_000);
		const slow = fixture.open();
		void slow.buffer.write([Buffer.alloc(79_000)]);
		fixture.now = 1000;
		const {buffer} = fixture.open();
		const body = await readBody(createReply([Buffer.alloc(10_000), Buffer.alloc(10_000)]), buffer);
		expect(body.type).toBe('long');
	});

	it('ends as one that could not be delivered, and closes the upstream\'s response', async () => {
		const fixture = new Fixture(100_000);
		const {caller, buffer} = fixture.open();
		const reply = createReply(Array.from({length: 20}, () => Buffer.alloc(10_000)), 500);
		await expect(readBody(reply, buffer)).resolves.toMatchObject({type: 'broken', reason: 'no space to hold the answer'});
		expect([caller.destroyed, buffer.hasEnded, reply.body.destroyed, fixture.buffers.held]).toEqual([false, true, true, 0]);
	});
});

it('waits for the caller as before if no memory is set', async () => {
	const fixture = new Fixture(undefined);
	const {caller, buffer} = fixture.open();
	let isDone = false;
	const written = buffer.write([Buffer.from('abc')]).finally(() => {
		isDone = true;
	});
	await new Promise(resolve => {
		setTimeout(resolve, 10);
	});
	expect([isDone, fixture.buffers.held]).toEqual([false, 0]);
	caller.emit('drain');
	await written;
	expect(caller.received).toBe('abc');
});

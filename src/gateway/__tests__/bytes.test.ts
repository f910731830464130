/** Splitting and encoding of bytes: events of streams, headers, peer messages. */
import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {isFailure} from '../../core/index.js';
import {EventSplitter} from '../../protocol/event-splitter.js';
import {filterEndToEndHeaders} from '../callers/headers.js';
import {fromWireJob, toWireJob} from '../peers/load-messages.js';
import {encode, createMessageReader, type Message} from '../peers/messages.js';

describe('events', () => {
	const stream = 'id: 1\ndata: a\n\nid: 2\r\ndata: ü\r\n\r\ndata: without id\n\nid: 4\ndata: x\n\nid: 5\ndata: half';

	it('are passed on unchanged, whole and with the last id, wherever the chunks are cut', () => {
		fc.assert(fc.property(fc.array(fc.integer({min: 0, max: Buffer.byteLength(stream)}), {maxLength: 12}), cuts => {
			const bytes = Buffer.from(stream);
			const offsets = [0, ...cuts.toSorted((a, b) => a - b), bytes.length];
			const splitter = new EventSplitter();
			const passed: Buffer[] = [];
			let count = 0;
			let last: string | undefined;
			for (let index = 1; index < offsets.length; index++) {
				const events = splitter.push(bytes.subarray(offsets[index - 1], offsets[index]));
				passed.push(events.bytes);
				count += events.count;
				last = events.lastId ?? last;
			}

			expect(count).toBe(4);
			expect(last).toBe('4');
			expect(Buffer.concat([...passed, splitter.rest]).equals(bytes)).toBe(true);
			expect(splitter.rest.toString()).toBe('id: 5\ndata: half');
			expect(splitter.isInsideEvent).toBe(true);
		}));
	});

	it('end inside an event exactly where a part of one is missing, wherever the stream and its chunks are cut', () => {
		const line = fc.constantFrom('\n', '\r', '\r\n');
		const field = fc.constantFrom('id: 7', 'data: ü', 'data:', 'event: x', 'retry: 1');
		const event = fc.tuple(fc.array(field, {minLength: 1, maxLength: 3}), line).map(([fields, end]) => fields.map(each => each + end).join('') + end);
		fc.assert(fc.property(fc.array(event, {minLength: 1, maxLength: 5}), fc.nat(), fc.array(fc.nat(), {maxLength: 6}), (all, cut, cuts) => {
			const bytes = Buffer.from(all.join(''));
			const length = cut % (bytes.length + 1);
			const offsets = [0, ...cuts.map(each => each % (length + 1)).toSorted((a, b) => a - b), length];
			const splitter = new EventSplitter();
			const passed = offsets.slice(1).map((to, index) => splitter.push(bytes.subarray(offsets[index], to)).bytes);
			// A line end of two characters ends the event with its first one.
			let end = 0;
			const isWhole = length === 0 || all.some(each => {
				end += Buffer.byteLength(each);
				return end === length || (each.endsWith('\r\n') && end - 1 === length);
			});
			expect(splitter.isInsideEvent).toBe(!isWhole);
			expect(Buffer.concat([...passed, splitter.rest]).equals(bytes.subarray(0, length))).toBe(true);
		}), {numRuns: 2000});
	});

	it.each(['\n', '\r', '\r\n'])('have their ids found with lines that end with %j', line => {
		const splitter = new EventSplitter();
		expect(splitter.push(Buffer.from(['id:', 'data: id: 8', '', 'id:9', 'data: \u2028id: 10', '', ''].join(line)))).toMatchObject({count: 2, lastId: '9'});
		expect([splitter.isInsideEvent, splitter.isLastIdentified]).toEqual([false, true]);
	});

	it('longer than the limit are passed on in parts, and end where they end', () => {
		const splitter = new EventSplitter();
		expect(splitter.push(Buffer.from(`id: 1\ndata: ${'x'.repeat(1_000_000)}\n`))).toMatchObject({count: 0});
		expect([splitter.isInsideEvent, splitter.hasPassedPart]).toEqual([true, true]);
		expect(splitter.push(Buffer.from('\n'))).toMatchObject({count: 1, lastId: '1'});
		expect([splitter.isInsideEvent, splitter.hasPassedPart]).toEqual([false, false]);
	});
});

it('removes per-connection headers, headers named by Connection, and dropped headers', () => {
	const raw = ['Host', 'a', 'Connection', 'close, X-Hop', 'X-Hop', '1', 'x-keep', '2', 'X-Keep', '3', 'Transfer-Encoding', 'chunked', 'X-Drop', '4'];
	expect(filterEndToEndHeaders(raw, new Set(['x-drop']))).toEqual(['Host', 'a', 'x-keep', '2', 'X-Keep', '3']);
});

describe('peer messages', () => {
	const job = {
		id: 'h.1', host: 'h', upstream: 'e', helpers: ['f'], prompt: 10, answer: 5, isHeld: false, read: 3, readPerPass: 2, placing: 'first' as const, weight: 1, began: 100, due: 400, deadline: 900,
	};

	it('are decoded as they were encoded, with the times of jobs converted to the receiver\'s clock', () => {
		const message: Message = {
			type: 'load', began: [toWireJob(job, 'h', 150)], progressed: ['h.0'], ended: [],
		};
		const [read] = createMessageReader().push(encode(message));
		expect(read).toEqual(message);
		expect(fromWireJob(toWireJob(job, 'h', 150), 'h', 5150)).toEqual({
			...job, began: 5100, due: 5400, deadline: 5900, firstByte: undefined, pause: undefined,
		});
	});

	it('spend no bytes on fractions of milliseconds, and five on a cost', () => {
		const sizeOf = (change: Partial<typeof job>) => encode({
			type: 'load', began: [toWireJob({...job, ...change}, 'h', 150)], progressed: [], ended: [],
		}).length;
		expect(sizeOf({began: 100.123_45, due: 400.123_45, deadline: 900.123_45})).toBe(sizeOf({}));
		expect(sizeOf({read: 24.3817})).toBe(sizeOf({}) - 1 + 5);
	});

	it('name the host of a job that a relay passes on', () => {
		const told = toWireJob(job, 'relay', 150);
		expect(told.host).toBe('h');
		expect(fromWireJob(told, 'relay', 150).host).toBe('h');
	});

	it('raise a failure with a code if they are invalid', () => {
		fc.assert(fc.property(fc.uint8Array({maxLength: 64}), bytes => {
			try {
				createMessageReader().push(bytes);
			} catch (error) {
				expect(isFailure(error) && error.code).toBe(8001);
			}
		}));
	});
});

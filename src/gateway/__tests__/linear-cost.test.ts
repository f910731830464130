/** What reads the bytes of others takes time in proportion to their number, whatever they are and however they are cut into chunks. */
import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {expectLinearCost, type Reading, type Subject} from '../../../__tests__/support/cost.js';
import {EventSplitter} from '../../protocol/event-splitter.js';
import {createFrame, FrameReader} from '../../protocol/frames.js';
import {findFraming} from '../../protocol/response-framing.js';
import {filterEndToEndHeaders} from '../callers/headers.js';

function splitStream(unit: string, pieceBytes: number): Reading {
	return length => {
		const stream = Buffer.from(unit.repeat(Math.ceil(length / unit.length)));
		const splitter = new EventSplitter(Number.POSITIVE_INFINITY);
		for (let start = 0; start < stream.length; start += pieceBytes) {
			splitter.push(stream.subarray(start, start + pieceBytes));
		}

		expect(splitter.bytesWithoutEvent).toBeLessThanOrEqual(stream.length);
		expect(typeof splitter.isInsideEvent).toBe('boolean');
	};
}

const units = new Map([
	['an event without end', 'x'],
	['comments', ': wait\n'],
	['comments that end with CR LF', ': wait\r\n'],
	['comments with a blank line now and then', `${': wait\r\n'.repeat(60)}retry: 1000\r\n\r\n`],
	['blank lines', '\r\n'],
	['carriage returns', '\r'],
	['ids', 'id: 7\r\n'],
	['an id without end', 'id:  '],
	['events', 'id: 1\ndata: x\n\n'],
]);

const streams: readonly Subject[] = [...units].flatMap(([name, unit]) => [1, 256, 65_536].map(pieceBytes => ({
	name: `${name}, in pieces of ${pieceBytes} bytes`, read: splitStream(unit, pieceBytes),
})));

const peerMessages: readonly Subject[] = [
	...[1, 256].map(pieceBytes => ({
		name: `one message in pieces of ${pieceBytes} bytes`,
		read(length: number) {
			const reader = new FrameReader(body => body.length, length);
			const frame = createFrame(Buffer.alloc(length, 1));
			let received = 0;
			for (let start = 0; start < frame.length; start += pieceBytes) {
				received += reader.push(frame.subarray(start, start + pieceBytes)).length;
			}

			expect(received).toBe(1);
		},
	})),
	{
		name: 'many messages in one piece',
		read(length) {
			const frame = createFrame(Buffer.alloc(4, 1));
			const count = Math.ceil(length / frame.length);
			expect(new FrameReader(body => body.length, 4).push(Buffer.concat(Array.from({length: count}, () => frame))).length).toBe(count);
		},
	},
];

const heads: readonly Subject[] = [
	{
		name: 'names in Connection',
		read(length) {
			expect(filterEndToEndHeaders(['Connection', 'x,'.repeat(length / 2), 'X', '1', 'Y', '2'], new Set())).toEqual(['Y', '2']);
		},
	},
	{
		name: 'codings',
		read(length) {
			expect(findFraming('GET', 200, {'transfer-encoding': ' ,'.repeat(length / 2)})).toBe('connection');
		},
	},
];

describe.each([
	['streams', streams], ['messages of peers', peerMessages], ['heads', heads],
] as const)('four times the bytes cost at most eight times as much: %s', (_, subjects) => {
	it.each(subjects)('$name', ({read}) => {
		expectLinearCost(read);
	});
});

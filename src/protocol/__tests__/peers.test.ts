import {Buffer} from 'node:buffer';
import {deflateRawSync} from 'node:zlib';
import {Encoder} from 'cbor-x';
import {describe, expect, it} from 'vitest';
import {codes} from '../../core/index.js';
import {encodeFrame, messageReader, longestMessage} from '../peers.js';

function frameOf(value: unknown): Uint8Array {
	const body = new Encoder({useRecords: false}).encode(value);
	const frame = new Uint8Array(4 + body.length);
	new DataView(frame.buffer).setUint32(0, body.length);
	frame.set(body, 4);
	return frame;
}

describe('relayed documents', () => {
	const text = JSON.stringify(Array.from({length: 5000}, (_, index) => ({id: `organisation-${index}`})));

	it('arrive as they were, in a fraction of their size', () => {
		const frame = encodeFrame({type: 'configuration', text});
		expect(frame.length).toBeLessThan(text.length / 4);
		expect(messageReader().push(frame)).toEqual([{type: 'configuration', text}]);
	});

	it('are refused when they would not fit unpacked, or are not packed', () => {
		const bomb = deflateRawSync(Buffer.alloc(longestMessage * 4));
		for (const packed of [bomb, new Uint8Array([1, 2, 3]), text]) {
			expect(() => messageReader().push(frameOf({type: 'configuration', text: packed})))
				.toThrow(expect.objectContaining({code: codes.badPeerMessage}));
		}
	});
});

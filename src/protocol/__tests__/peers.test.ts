import {Buffer} from 'node:buffer';
import {deflateRawSync} from 'node:zlib';
import {Encoder} from 'cbor-x';
import {describe, expect, it} from 'vitest';
import {codes} from '../../core/index.js';
import {encodeFrame, createMessageReader, maxMessageBytes} from '../peers.js';

function encodeRawFrame(value: unknown): Uint8Array {
	const body = new Encoder({useRecords: false}).encode(value);
	const frame = new Uint8Array(4 + body.length);
	new DataView(frame.buffer).setUint32(0, body.length);
	frame.set(body, 4);
	return frame;
}

describe('configuration documents between hosts', () => {
	const text = JSON.stringify(Array.from({length: 5000}, (_, index) => ({id: `organisation-${index}`})));

	it('arrive unchanged and are sent compressed', () => {
		const frame = encodeFrame({type: 'configuration', text});
		expect(frame.length).toBeLessThan(text.length / 4);
		expect(createMessageReader().push(frame)).toEqual([{type: 'configuration', text}]);
	});

	it('are refused if they exceed the size limit when decompressed, or are not compressed', () => {
		const bomb = deflateRawSync(Buffer.alloc(maxMessageBytes * 4));
		for (const compressed of [bomb, new Uint8Array([1, 2, 3]), text]) {
			expect(() => createMessageReader().push(encodeRawFrame({type: 'configuration', text: compressed})))
				.toThrow(expect.objectContaining({code: codes.badPeerMessage}));
		}
	});
});

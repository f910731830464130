import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {maxHeadBytes, ResponseValidator, type Malformation} from '../response-validator.js';

/** Validates a response that comes in pieces; the offset is that in the whole. */
function validate(text: string, {method = 'POST', pieceLength = text.length}: {readonly method?: string; readonly pieceLength?: number} = {}): Malformation | undefined {
	const validator = new ResponseValidator(method);
	for (let offset = 0; offset < text.length; offset += pieceLength) {
		const malformation = validator.validate(Buffer.from(text.slice(offset, offset + pieceLength), 'latin1'));
		if (malformation !== undefined) {
			return {...malformation, offset: malformation.offset + offset};
		}
	}

	return undefined;
}

const ok = 'HTTP/1.1 200 OK\r\n';
const chunked = 'Transfer-Encoding: chunked\r\n';
const whole = `${ok}Content-Length: 2\r\n\r\nok`;
const names = ['Content-Length', 'Transfer-Encoding', 'Connection', 'Upgrade', 'X-Signature', 'Keep-Alive', 'A'];
const tokenCharacters = '!#$%&\'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ';

const sound: Readonly<Record<string, string>> = {
	'a length': whole,
	'no reason phrase': 'HTTP/1.1 200 \r\n\r\nok',
	'no space after the status': 'HTTP/1.1 200\r\n\r\nok',
	'HTTP/1.0': 'HTTP/1.0 200 OK\r\n\r\nok',
	'any bytes until the end of the connection': `${ok}Connection: close\r\n\r\n\u0000\r\n\r\nX Odd : 1\r\n`,
	'blanks around values': `${ok}A:  1 \t 2\t\r\nB:\r\nContent-Length:\t2 \r\n\r\nok`,
	'bytes over 127 in a value': `${ok}A: \u00E9\u00FF\r\nContent-Length: 2\r\n\r\nok`,
	'each character of tokens': `${ok}!#$%&'*+-.^_\`|~09azAZ: 1\r\nContent-Length: 2\r\n\r\nok`,
	chunks: `${ok}${chunked}\r\n5\r\n\r\n\r\n\r\r\n0A\r\n0123456789\r\n000\r\n\r\n`,
	'chunks with extensions': `${ok}${chunked}\r\n2;a;b=c;d="e \\" f"\r\nok\r\n0;a\r\n\r\n`,
	'a coding that is not chunks': `${ok}Transfer-Encoding: x-none\r\n\r\nok`,
	'an empty coding': `${ok}Transfer-Encoding:\r\n\r\nok`,
	trailers: `${ok}${chunked}\r\n2\r\nok\r\n0\r\nX-Odd: 1\r\nB: \r\n\r\n`,
	'interim responses': `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n${whole}`,
	'empty lines before it': `\r\n\n${whole}`,
	'another response after it': `${whole}${whole}`,
	'an empty line after the last response': 'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok\r\n',
	'no content': `HTTP/1.1 204 No Content\r\n\r\n${whole}`,
	'not modified, with a length': `HTTP/1.1 304 Not Modified\r\nContent-Length: 10\r\n\r\n${whole}`,
	'a head as long as allowed': `${ok}A: ${'x'.repeat(maxHeadBytes - ok.length - 7)}\r\n\r\nok`,
};

const malformed: Readonly<Record<string, string>> = {
	'no response': 'no response\r\n\r\n',
	'another protocol': 'HTTP/2.0 200 OK\r\n\r\n',
	'a version of HTTP/1 that does not exist': 'HTTP/1.2 200 OK\r\n\r\n',
	'a status of two digits': 'HTTP/1.1 20 OK\r\n\r\n',
	'a status of four digits': 'HTTP/1.1 2000 OK\r\n\r\n',
	'two blanks before the status': 'HTTP/1.1  200 OK\r\n\r\n',
	'a control byte in the reason phrase': 'HTTP/1.1 200 O\u0000K\r\n\r\n',
	'a status line without a carriage return': 'HTTP/1.1 200 OK\nContent-Length: 2\r\n\r\nok',
	'a head without a carriage return before its end': `${ok}Content-Length: 2\r\n\nok`,
	'a length beside a coding': `${ok}Content-Length: 2\r\n${chunked}\r\n2\r\nok\r\n0\r\n\r\n`,
	'a coding beside a length': `${ok}${chunked}Content-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n`,
	'two equal lengths': `${ok}Content-Length: 2\r\nContent-Length: 2\r\n\r\nok`,
	'a list of lengths': `${ok}Content-Length: 2, 2\r\n\r\nok`,
	'an empty length': `${ok}Content-Length:\r\n\r\nok`,
	'a negative length': `${ok}Content-Length: -2\r\n\r\nok`,
	'a length that no number holds': `${ok}Content-Length: 99999999999999999\r\n\r\nok`,
	'a coding after chunks': `${ok}Transfer-Encoding: chunked, odd\r\n\r\nok`,
	'a coding before chunks': `${ok}Transfer-Encoding: odd, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`,
	'chunks in chunks': `${ok}${chunked}${chunked}\r\n2\r\nok\r\n0\r\n\r\n`,
	'a chunk without a size': `${ok}${chunked}\r\n\r\nok\r\n0\r\n\r\n`,
	'a chunk with a sign': `${ok}${chunked}\r\n+2\r\nok\r\n0\r\n\r\n`,
	'a chunk with a prefix': `${ok}${chunked}\r\n0x2\r\nok\r\n0\r\n\r\n`,
	'a chunk whose size no number holds': `${ok}${chunked}\r\n10000000000000\r\nok\r\n0\r\n\r\n`.replace('10000000000000', '1'.repeat(14)),
	'a blank before the size of a chunk': `${ok}${chunked}\r\n 2\r\nok\r\n0\r\n\r\n`,
	'an empty extension': `${ok}${chunked}\r\n2;\r\nok\r\n0\r\n\r\n`,
	'an extension without a name': `${ok}${chunked}\r\n2;=a\r\nok\r\n0\r\n\r\n`,
	'an extension without a value': `${ok}${chunked}\r\n2;a=\r\nok\r\n0\r\n\r\n`,
	'a carriage return in an extension': `${ok}${chunked}\r\n2;a\rb\r\nok\r\n0\r\n\r\n`,
	'a carriage return in a quoted value': `${ok}${chunked}\r\n2;a="\r\n"\r\nok\r\n0\r\n\r\n`,
	'extensions without end': `${ok}${chunked}\r\n${`1;${'a'.repeat(1000)}\r\nx\r\n`.repeat(17)}0\r\n\r\n`,
	'a chunk longer than its size': `${ok}${chunked}\r\n1\r\nok\r\n0\r\n\r\n`,
	'a chunk that ends without a carriage return': `${ok}${chunked}\r\n2\r\nok\n0\r\n\r\n`,
	'a trailer that states a length': `${ok}${chunked}\r\n2\r\nok\r\n0\r\nContent-Length: 2\r\n\r\n`,
	'trailers without end': `${ok}${chunked}\r\n2\r\nok\r\n0\r\n${'A: 1\r\n'.repeat(maxHeadBytes)}`,
	'a head without end': `${ok}${'A: 1\r\n'.repeat(maxHeadBytes)}`,
	'a name without end': `${ok}${'A'.repeat(maxHeadBytes)}`,
	'empty lines without end': '\r\n'.repeat(maxHeadBytes),
	'a body of a status that has none': 'HTTP/1.1 204 No Content\r\n\r\nok',
	'a malformed response after it': `${whole}HTTP/1.1 200 OK\r\nX Odd: 1\r\n`,
	'a response after the last one': `HTTP/1.1 200 OK\r\nConnection: x, Close\r\nContent-Length: 2\r\n\r\nok${whole}`,
	'a response after that of HTTP/1.0': `HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok${whole}`,
	'a malformed response after an interim one': 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n',
	'a malformed interim response': `HTTP/1.1 103 Early Hints\r\nX-Odd : 1\r\n\r\n${whole}`,
};

/** Control bytes, the blank, the delete character and bytes over 127. */
const bytesOutsideText = [...Array.from({length: 33}, (_, byte) => byte), ...Array.from({length: 129}, (_, index) => 127 + index)];

describe('a response', () => {
	it.each(Object.entries(sound))('is accepted whole and byte by byte: %s', (_name, text) => {
		expect(validate(text)).toBeUndefined();
		expect(validate(text, {pieceLength: 1})).toBeUndefined();
	});

	it.each(Object.entries(malformed))('is refused whole and byte by byte, at the same place: %s', (_name, text) => {
		const malformation = validate(text);
		expect(malformation).toBeDefined();
		expect(validate(text, {pieceLength: 1})).toEqual(malformation);
	});

	it('to HEAD has no body, whatever length it states', () => {
		expect(validate(`${ok}Content-Length: 10\r\n\r\n${ok}${chunked}\r\n`, {method: 'HEAD'})).toBeUndefined();
		expect(validate(`${ok}${chunked}\r\n2\r\nok\r\n`, {method: 'HEAD'})?.reason).toBe('byte 0x32 in the status line');
	});
});

describe.each(['head', 'trailer section'])('a field of a %s', section => {
	const before = section === 'head' ? ok : `${ok}${chunked}\r\n2\r\nok\r\n0\r\n`;

	it('is refused with any byte in its name that is not part of a token, at this byte', () => {
		for (const name of names) {
			for (let index = 0; index <= name.length; index++) {
				for (const byte of bytesOutsideText.filter(each => each !== 13 || index > 0)) {
					const line = name.slice(0, index) + String.fromCodePoint(byte) + name.slice(index);
					expect.soft(validate(`${before}${line}: 1\r\n\r\n`)?.offset, `byte ${byte} at ${index} of ${name}`).toBe(before.length + index);
				}
			}
		}
	});

	it.each([...String.raw`"(),/;<=>?@[\]{}`])('is refused with %s in its name', character => {
		expect(validate(`${before}A${character}B: 1\r\n\r\n`)?.offset).toBe(before.length + 1);
	});

	it('is refused with a control byte other than a tab in its value, at this byte', () => {
		for (const byte of bytesOutsideText.filter(each => each < 128 && each !== 9 && each !== 32)) {
			const start = `${before}A: 1`;
			// A carriage return is refused by what follows it.
			expect.soft(validate(`${start}${String.fromCodePoint(byte)}2\r\n\r\n`)?.offset, `byte ${byte}`).toBe(start.length + (byte === 13 ? 1 : 0));
		}
	});

	it('is refused without a name or a colon', () => {
		expect(validate(`${before}: 1\r\n\r\n`)).toEqual({reason: 'a field without a name', offset: before.length});
		expect(validate(`${before}X-Odd\r\n\r\n`)).toEqual({reason: 'byte 0x0d in the name of a field', offset: before.length + 5});
	});

	it('is refused if it is folded', () => {
		expect(validate(`${before}A: 1\r\n 2\r\n\r\n`)).toEqual({reason: 'a folded line', offset: before.length + 6});
	});
});

describe('the verdict', () => {
	const bytes = fc.constantFrom(...'HTTP/1.0 234;="\\:,-xA\t\r\n\u0000\u007F\u00FF', 'Content-Length', 'Transfer-Encoding', 'Connection', 'chunked', 'close', '\r\n', 'HTTP/1.1 200 OK\r\n');
	const responses = fc.tuple(fc.constantFrom('', ...Object.values(sound).filter(text => text.length < 200)), fc.array(bytes, {maxLength: 30}), fc.nat({max: 200}))
		.map(([text, inserted, index]) => text.slice(0, index) + inserted.join('') + text.slice(index));

	it('does not depend on the pieces in which a response comes', () => {
		fc.assert(fc.property(responses, fc.integer({min: 1, max: 20}), (text, pieceLength) => {
			expect(validate(text, {pieceLength})).toEqual(validate(text));
		}), {seed: 75, numRuns: 3000});
	});

	it('accepts no token with other characters than RFC 9110 lists', () => {
		for (let byte = 0; byte < 256; byte++) {
			const character = String.fromCodePoint(byte);
			expect.soft(validate(`${ok}X${character}: 1`) === undefined, `byte ${byte}`).toBe(tokenCharacters.includes(character) || character === ':');
		}
	});
});

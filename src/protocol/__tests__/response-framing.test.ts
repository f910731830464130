import {expect, it} from 'vitest';
import {findFraming} from '../response-framing.js';

it.each([
	['GET', 200, {'content-length': '5'}, 'length'],
	['GET', 200, {'transfer-encoding': 'chunked'}, 'chunks'],
	['GET', 200, {'transfer-encoding': 'gzip, Chunked'}, 'chunks'],
	['GET', 200, {'transfer-encoding': 'gzip'}, 'connection'],
	['GET', 200, {}, 'connection'],
	['HEAD', 200, {'content-length': '5'}, 'head'],
	['DELETE', 204, {}, 'head'],
	['GET', 304, {}, 'head'],
] as const)('tells what ends a response to %s with status %i and %j', (method, status, headers, framing) => {
	expect(findFraming(method, status, headers)).toBe(framing);
});

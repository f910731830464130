import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	isFinalStatus, judgeHead, notRunStatuses, type ResponseHead,
} from '../responses/head.js';

const sound: ResponseHead = {
	status: 200, isForeign: false, isEncoded: false, hasContent: true, isEventStream: false, isSigned: true, isNotRun: false,
};
const anyHead: fc.Arbitrary<ResponseHead> = fc.record({
	status: fc.oneof(fc.integer({min: 0, max: 999}), fc.constantFrom(0, 99, 101, 204, 408, 421, 429, 500, 503, 600)),
	isForeign: fc.boolean(),
	isEncoded: fc.boolean(),
	hasContent: fc.boolean(),
	isEventStream: fc.boolean(),
	isSigned: fc.boolean(),
	isNotRun: fc.boolean(),
});

describe('the head of a response', () => {
	it('is never passed on with a status that is not final, or that promises what the upstream didn\'t state', () => {
		fc.assert(fc.property(anyHead, fc.boolean(), (head, isIdempotent) => {
			const {type} = judgeHead(head, isIdempotent);
			if (type === 'body' || type === 'stream') {
				expect(isFinalStatus(head.status) && !notRunStatuses.has(head.status) && !head.isForeign).toBe(true);
			}

			expect(type === 'not-run' && !head.isNotRun).toBe(false);
		}));
	});

	it.each([
		[{}, 'body'],
		[{isEventStream: true}, 'stream'],
		[{isEventStream: true, status: 404}, 'body'],
		[{status: 503, isNotRun: true}, 'not-run'],
		[{status: 503}, 'failed'],
		[{status: 500}, 'failed'],
		[{status: 204, hasContent: false}, 'body'],
		[{status: 204}, 'broken'],
		[{status: 101}, 'broken'],
		[{isSigned: false}, 'broken'],
		[{isEncoded: true}, 'broken'],
	] as const)('%o of a request that may run again: %s', (change, type) => {
		expect(judgeHead({...sound, ...change}, true).type).toBe(type);
	});

	it('of a failure is passed on if the request must not run again', () => {
		expect(judgeHead({...sound, status: 500}, false)).toEqual({type: 'body'});
		expect(judgeHead({...sound, status: 503}, false)).toEqual({type: 'failed', isKept: false});
	});
});

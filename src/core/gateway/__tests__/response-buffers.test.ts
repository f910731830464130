import {describe, expect, it} from 'vitest';
import {computeResponseBudget, ResponseBuffers} from '../limits/response-buffers.js';

const budgetBytes = 16_000_000;
const chunkBytes = 16_384;
/** Bytes that are handed to a socket at once; they count as sent once all of them are. */
const pieceBytes = 65_536;
const tickMs = 10;

type Played = {
	readonly key: string;
	readonly isFast: boolean;
	/** Bytes that its caller reads per tick. */
	readonly rate: number;
	unread: number;
	/** Piece that is being sent, and how much of it the caller has read. */
	piece: number;
	sent: number;
	waits: number;
};

function createLoad(): readonly Played[] {
	const slow = Array.from({length: 200}, (_, index) => ({
		key: `slow-${index}`, isFast: false, rate: 400 + (index * 20), unread: 200_000 + (index * 4000), piece: 0, sent: 0, waits: 0,
	}));
	const fast = Array.from({length: 50}, (_, index) => ({
		key: `fast-${index}`, isFast: true, rate: 1_000_000, unread: 2_000_000, piece: 0, sent: 0, waits: 0,
	}));
	return [...slow, ...fast];
}

/** Reads one chunk from the upstream, if it may be read, and lets the caller read at its rate. */
function playTick(buffers: ResponseBuffers<string>, response: Played, now: number): void {
	if (response.unread > 0 && buffers.mayRead(response.key, now)) {
		const bytes = Math.min(chunkBytes, response.unread);
		response.unread -= bytes;
		buffers.add(response.key, bytes, now);
	} else if (response.unread > 0) {
		response.waits++;
	}

	response.piece = response.piece === 0 ? Math.min(pieceBytes, buffers.size(response.key)) : response.piece;
	response.sent += response.rate;
	if (response.piece > 0 && response.sent >= response.piece) {
		buffers.remove(response.key, response.piece, now);
		response.piece = 0;
	}

	response.sent = response.piece === 0 ? 0 : response.sent;
}

describe('with 200 slow callers beside 50 fast ones', () => {
	// Guards against fast callers that wait for slow ones, memory that grows with the number of slow callers, and responses stopped for good.
	it('never stops a fast response, keeps the budget, and lets each slow response go on in turn', () => {
		const buffers = new ResponseBuffers<string>(budgetBytes);
		const load = createLoad();
		let most = 0;
		let ended = 0;
		let now = 0;
		while (load.some(({unread, key}) => unread > 0 || buffers.size(key) > 0) && now < 60_000) {
			now += tickMs;
			for (const response of load) {
				playTick(buffers, response, now);
				ended += buffers.findExcess(now).length;
				most = Math.max(most, buffers.total);
			}
		}

		expect(load.filter(({isFast, waits}) => isFast && waits > 0)).toEqual([]);
		expect(load.filter(({isFast, waits}) => !isFast && waits > 0).length).toBeGreaterThan(50);
		expect(most).toBeLessThanOrEqual(budgetBytes);
		expect(most).toBeGreaterThan(budgetBytes / 2);
		expect(ended).toBe(0);
		expect(load.filter(({unread, key}) => unread > 0 || buffers.size(key) > 0)).toEqual([]);
		expect(buffers.total).toBe(0);
	});
});

describe('at the limit', () => {
	it('ends the largest and slowest responses, and only as many as the limit requires', () => {
		const buffers = new ResponseBuffers<string>(1_000_000);
		buffers.add('large and slow', 500_000, 0);
		buffers.add('small and slow', 10_000, 0);
		buffers.add('large and new', 450_000, 990);
		expect(buffers.findExcess(1000)).toEqual([]);
		buffers.add('new', 60_000, 1000);
		expect(buffers.findExcess(1000)).toEqual(['large and slow']);
	});

	it('reads on a response whose caller has received all of it, and one that just flows', () => {
		const buffers = new ResponseBuffers<string>(1_000_000);
		buffers.add('slow', 850_000, 0);
		buffers.add('flowing', 30_000, 900);
		buffers.remove('flowing', 10_000, 900);
		expect(buffers.mayRead('slow', 1000)).toBe(false);
		expect(buffers.mayRead('flowing', 1000)).toBe(true);
		expect(buffers.mayRead('flowing', 1500)).toBe(false);
		buffers.remove('flowing', 20_000, 1500);
		expect(buffers.mayRead('flowing', 1500)).toBe(true);
	});

	it('frees the bytes of a response whose caller has left', () => {
		const buffers = new ResponseBuffers<string>(1000);
		buffers.add('a', 900, 0);
		buffers.delete('a');
		buffers.delete('a');
		buffers.remove('a', 900, 1);
		expect([buffers.total, buffers.size('a'), buffers.stalledFor('a', 5)]).toEqual([0, 0, 0]);
	});
});

it('takes half of the memory that the process does not need, and something on the smallest hosts', () => {
	expect([64, 250, 602].map(memory => computeResponseBudget(memory))).toEqual([4_000_000, 25_000_000, 201_000_000]);
});

/** Memory reserved at several engines for one prompt. */
import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {ignore} from '../../entry/ignore.js';
import {Hold} from '../requests/holds.js';
import {type EngineProcess} from '../platform-adapter.js';

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

/** Timeout of the client for an unresponsive engine. */
const responseTimeoutMs = 600;

function createHold() {
	const unresponsive = new Set<string>();
	const released: string[] = [];
	const answer = async (host: string) => {
		if (unresponsive.has(host)) {
			await new Promise(resolve => {
				setTimeout(resolve, responseTimeoutMs);
			});
			throw new Error('no answer');
		}
	};

	const engineControl = {
		async reserve({address: {host}}: EngineProcess) {
			await answer(host);
			return true;
		},
		async release({address: {host}}: EngineProcess) {
			await answer(host);
			released.push(host);
		},
	};
	const parts = ['e0', 'e1', 'e2'].map(name => ({upstream: name, address: {host: name, port: 1}, tokens: 1000}));
	return {unresponsive, released, hold: new Hold('h', parts, engineControl, {write: ignore})};
}

it('reports the loss of a hold soon after an engine becomes unresponsive, so that the other engines do not keep their memory for it', async () => {
	const {unresponsive, hold} = createHold();
	const lossHandler = vi.fn(ignore);
	expect(await hold.acquire()).toEqual([]);
	hold.setLossHandler(lossHandler);
	unresponsive.add('e0');
	await vi.advanceTimersByTimeAsync(2700);
	expect(lossHandler).not.toHaveBeenCalled();
	await vi.advanceTimersByTimeAsync(300);
	expect(lossHandler).toHaveBeenCalledTimes(1);
});

it('keeps a hold after a single unanswered renewal', async () => {
	const {unresponsive, hold} = createHold();
	const lossHandler = vi.fn(ignore);
	await hold.acquire();
	hold.setLossHandler(lossHandler);
	for (let round = 0; round < 4; round++) {
		unresponsive.add('e1');
		await vi.advanceTimersByTimeAsync(1100);
		unresponsive.clear();
		await vi.advanceTimersByTimeAsync(1100);
	}

	expect(lossHandler).not.toHaveBeenCalled();
});

it('reports no loss after a hold was released, and releases it at every responsive engine', async () => {
	const {unresponsive, released, hold} = createHold();
	const lossHandler = vi.fn(ignore);
	await hold.acquire();
	hold.setLossHandler(lossHandler);
	unresponsive.add('e0');
	await vi.advanceTimersByTimeAsync(1200);
	const ended = hold[Symbol.asyncDispose]();
	await vi.advanceTimersByTimeAsync(5000);
	await ended;
	expect(released).toEqual(['e1', 'e2']);
	expect(lossHandler).not.toHaveBeenCalled();
});

it('asks one engine after another, and keeps what was granted while another engine replaces the one that refused', async () => {
	const asked: string[] = [];
	const released: string[] = [];
	const engineControl = {
		async reserve({upstream}: EngineProcess) {
			asked.push(upstream);
			return upstream !== 'e1';
		},
		async release({upstream}: EngineProcess) {
			released.push(upstream);
		},
	};
	const createPart = (upstream: string) => ({upstream, address: {host: upstream, port: 1}, tokens: 1000});
	const hold = new Hold('h', ['e2', 'e0', 'e1'].map(id => createPart(id)), engineControl, {write: ignore});
	expect([await hold.acquire(), asked, hold.unanswered]).toEqual([['e1'], ['e0', 'e1'], []]);
	hold.replace('e1', createPart('e3'));
	expect([await hold.acquire(), asked]).toEqual([[], ['e0', 'e1', 'e2', 'e3']]);
	await hold[Symbol.asyncDispose]();
	expect(released).toEqual(['e0', 'e2', 'e3']);
});

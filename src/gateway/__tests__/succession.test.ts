/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- The mocks contain only the members that these tests use. */
/** What becomes of the attempts of a request when one is to take the place of another. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {type AttemptEnding} from '../../core/gateway/limits/retries.js';
import {type Placement} from '../../core/gateway/placement/placement.js';
import {type RequestState} from '../requests/request-state.js';
import {type RequestSuspicion} from '../requests/request-suspicion.js';
import {type Run} from '../requests/run.js';
import {Succession} from '../requests/succession.js';

const refused: AttemptEnding = {type: 'not-run', reason: 'refused with 503', isShed: true};
const answered: AttemptEnding = {type: 'answered', status: 200};

function createPlacement(upstream: string): Placement {
	return {upstream: {id: upstream}, firstByte: 10} as unknown as Placement;
}

/** A request whose attempts end when the test says so. */
class Fixture {
	readonly runs: Run[] = [];
	readonly result: Promise<AttemptEnding>;
	readonly #ends: Array<(ending: AttemptEnding) => void> = [];

	/**
	 * @param hasBegun - Whether its caller has part of the answer.
	 */
	constructor(hasBegun: boolean) {
		const noCounter = {inc: () => undefined};
		const gateway = {
			canRetry: () => true,
			retries: {countRetry: () => undefined},
			stallDetectors: {view: () => ({silent: new Set(), live: new Set(['e1', 'e2'])})},
		};
		const state = {
			services: {gateway, clock: {now: () => performance.now()}, metrics: {retries: noCounter, successions: noCounter}},
			request: {demand: {service: 's'}},
			callerResponse: {hasBegun, canContinue: true, noteMayHaveRun: () => undefined},
			attempts: {canFailOver: true},
			trace: {write: () => undefined},
			isOver: false,
		} as unknown as RequestState;
		const succession = new Succession({
			state,
			suspicion: {isSuspected: false} as unknown as RequestSuspicion,
			send: async (_, run) => {
				this.runs.push(run);
				return new Promise(resolve => {
					this.#ends.push(resolve);
				});
			},
			onEnded: () => undefined,
		});
		this.result = succession.run(createPlacement('e1'));
		expect(this.runs[0]!.requestSuccessor('moved', createPlacement('e2'))).toBe(true);
	}

	async end(index: number, ending: AttemptEnding): Promise<void> {
		this.#ends[index]!(ending);
		await sleep(0);
	}
}

describe('a request that is moved before its answer has begun', () => {
	let fixture: Fixture;
	let from: Run;
	let to: Run;

	beforeEach(() => {
		fixture = new Fixture(false);
		[from, to] = fixture.runs as [Run, Run];
	});

	it('leaves its engine once the next one has taken it', async () => {
		to.noteConnected();
		expect(from.isDropped).toBe(false);
		await expect.poll(() => from.isDropped).toBe(true);
		expect(to.lead()).toBe(true);
	});

	it('is answered by its engine if the next one refuses it', async () => {
		to.noteConnected();
		await fixture.end(1, refused);
		await sleep(100);
		expect([from.isDropped, from.lead()]).toEqual([false, true]);
		await fixture.end(0, answered);
		expect(await fixture.result).toEqual(answered);
	});
});

describe('a stream that is moved after its answer has begun', () => {
	let fixture: Fixture;
	let from: Run;
	let to: Run;

	beforeEach(() => {
		fixture = new Fixture(true);
		[from, to] = fixture.runs as [Run, Run];
	});

	it('has no event of its engine passed on that the next one would repeat', async () => {
		const wait = from.yielding;
		to.noteConnected();
		await sleep(100);
		expect([wait === undefined, from.isDropped, from.yielding === wait]).toEqual([false, false, true]);
		expect(to.lead()).toBe(true);
		await wait;
		expect([from.isDropped, from.lead()]).toEqual([true, false]);
	});

	it('goes on at its engine if the next one refuses it', async () => {
		const wait = from.yielding;
		await fixture.end(1, refused);
		await wait;
		expect([from.yielding, from.lead()]).toEqual([undefined, true]);
	});

	it('goes on at its engine if the next one sends nothing', async () => {
		await from.yielding;
		expect([from.yielding, from.lead(), to.isDropped]).toEqual([undefined, true, true]);
	});
});
